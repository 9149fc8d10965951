"""Guards against repeated execution, false reports of "not run" and mixed answers."""

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
    is_retryable,
)

KINDS = [Idempotent(), NonIdempotent(), Streaming(True, 0.4), Streaming(False, 0.4)]
ENDS = [NotSent(), Rejected(), Rejected(True), Lost(), Broken()]
STATES = [
    SendState(ran, sends, attempts, left, has_budget, started)
    for ran, sends, attempts, left, has_budget, started in itertools.product(
        range(3), range(1, 10), (1, 2), (0.0, 1.0), (True, False), (True, False)
    )
    if started <= ran <= sends
]


def cases():
    """Yield all reachable combinations; after a lost or broken send the request may have run."""
    for kind, end, state in itertools.product(KINDS, ENDS, STATES):
        if isinstance(end, Lost | Broken) and state.may_have_run == 0:
            continue
        yield kind, end, state, decide_next(kind, end, state)


def test_request_that_may_run_once_is_not_resent_after_it_may_have_run():
    for kind, _, state, step in cases():
        if isinstance(step, SendAgain) and not is_retryable(kind) and state.may_have_run:
            raise AssertionError((kind, state, step))


def test_not_run_is_reported_only_if_no_replica_may_have_run_it():
    for _, end, state, step in cases():
        if isinstance(step, RefuseNotRun):
            assert state.may_have_run == 0
            assert not isinstance(end, Lost | Broken)


def test_answer_that_cannot_be_resumed_is_aborted_once_it_has_started():
    """A replica that cannot tell where to continue would start from the beginning."""
    for kind, end, state, step in cases():
        fixed = decide_next(kind, end, state._replace(can_resume=False))
        assert fixed == (AbortAnswer() if state.answer_started else step)


def test_answer_that_has_started_is_resumed_or_aborted():
    """A failed connection to a second replica must not put a 502 into a started stream."""
    for _, _, state, step in cases():
        if state.answer_started:
            assert step in (SendAgain(resume=True), AbortAnswer())
        else:
            assert step != SendAgain(resume=True)
            assert not isinstance(step, AbortAnswer)


def test_sends_are_limited_by_attempts_time_and_budget():
    for _, end, state, step in cases():
        if not isinstance(step, SendAgain):
            continue
        assert state.time_left_s > 0
        assert state.sends < 8
        assert state.budget_left or isinstance(end, NotSent)
        if isinstance(end, Lost | Broken):
            assert state.may_have_run < state.max_attempts


@pytest.mark.parametrize("kind", KINDS)
def test_rejected_request_is_sent_to_another_replica(kind):
    assert decide_next(kind, Rejected(), SendState(0, 1, 1, 1.0, True)) == SendAgain()


def test_lost_non_idempotent_request_is_reported_as_unknown():
    state = SendState(1, 1, 2, 1.0, True)
    assert decide_next(NonIdempotent(), Lost(), state) == FailUnknown()


def test_retries_stay_within_ratio_and_slack_in_each_window():
    budget = RetryBudget(0.2, 5.0, 10.0)
    retried_at = []
    for step in range(3000):
        now = step * 0.01
        budget.observe_request(now)
        if budget.try_acquire(now):
            retried_at.append(now)
    for start in range(20):
        retries = sum(start <= item < start + 10 for item in retried_at)
        assert retries <= 0.2 * 1000 + 5


def test_retries_expire_at_the_end_of_the_window():
    budget = RetryBudget(0.2, 5.0, 10.0)
    assert [budget.try_acquire(0.0) for _ in range(6)] == [True] * 4 + [False] * 2
    assert budget.try_acquire(10.1)
