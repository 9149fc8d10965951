"""Guards against repeated execution, untruthful answers and joined answers."""

import itertools

import pytest

from greengagehoist.deployment import Idempotent, NonIdempotent, Streaming
from greengagehoist.retries import (
    AbortAnswer,
    Broken,
    FailUnknown,
    Lost,
    NotSent,
    RefuseNotRun,
    Rejected,
    RetryBudget,
    SendAgain,
    SendState,
    decide_next,
    may_repeat,
)

KINDS = [Idempotent(), NonIdempotent(), Streaming(True, 0.4), Streaming(False, 0.4)]
ENDS = [NotSent(), Rejected(), Rejected(True), Lost(), Broken()]
STATES = [
    SendState(ran, sends, attempts, left, budget, started)
    for ran, sends, attempts, left, budget, started in itertools.product(
        range(3), range(1, 10), (1, 2), (0.0, 1.0), (True, False), (True, False)
    )
    if started <= ran <= sends
]


def cases():
    """Return all reachable combinations: a lost or broken send may have run."""
    for kind, end, state in itertools.product(KINDS, ENDS, STATES):
        if isinstance(end, Lost | Broken) and state.may_have_run == 0:
            continue
        yield kind, end, state, decide_next(kind, end, state)


def test_what_may_run_once_is_never_sent_again_after_it_may_have_run():
    for kind, _, state, step in cases():
        if isinstance(step, SendAgain) and not may_repeat(kind) and state.may_have_run:
            raise AssertionError((kind, state, step))


def test_not_run_is_said_only_if_no_replica_may_have_run_it():
    for _, end, state, step in cases():
        if isinstance(step, RefuseNotRun):
            assert state.may_have_run == 0
            assert not isinstance(end, Lost | Broken)


def test_answer_that_has_started_is_resumed_or_aborted():
    """A failed connection to a second replica was once answered 502 within a started stream."""
    for _, _, state, step in cases():
        if state.answer_started:
            assert step in (SendAgain(resume=True), AbortAnswer())
        else:
            assert step != SendAgain(resume=True)
            assert not isinstance(step, AbortAnswer)


def test_attempts_time_and_budget_bound_the_sends():
    for _, end, state, step in cases():
        if not isinstance(step, SendAgain):
            continue
        assert state.time_left_s > 0
        assert state.sends < 8
        assert state.budget_left or isinstance(end, NotSent)
        if isinstance(end, Lost | Broken):
            assert state.may_have_run < state.max_attempts


@pytest.mark.parametrize("kind", KINDS)
def test_rejected_request_is_moved_to_another_replica(kind):
    assert decide_next(kind, Rejected(), SendState(0, 1, 1, 1.0, True)) == SendAgain()


def test_lost_booking_is_reported_as_unknown():
    state = SendState(1, 1, 2, 1.0, True)
    assert decide_next(NonIdempotent(), Lost(), state) == FailUnknown()


def test_repeats_stay_within_ratio_and_slack_in_each_window():
    window = RetryBudget(0.2, 5.0, 10.0)
    taken = []
    for step in range(3000):
        now = step * 0.01
        window.observe_request(now)
        if window.try_acquire(now):
            taken.append(now)
    for start in range(20):
        repeats = sum(start <= item < start + 10 for item in taken)
        assert repeats <= 0.2 * 1000 + 5


def test_budget_is_refilled_when_the_window_has_passed():
    window = RetryBudget(0.2, 5.0, 10.0)
    assert [window.try_acquire(0.0) for _ in range(6)] == [True] * 4 + [False] * 2
    assert window.try_acquire(10.1)
