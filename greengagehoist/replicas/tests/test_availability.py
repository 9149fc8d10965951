"""Guards against requests for replicas that leave or have asked for a pause."""

import math
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.replicas import MAX_PAUSE_S, Replica, ReplicaAvailability, ReplicaTable
from greengagehoist.replicas._availability import (
    MAX_REMEMBERED,
    PROBE_TIMEOUT_S,
    REPORT_TIME_S,
)
from greengagehoist.utils import Published

NOW = 100.0
# What the rule allows: two requests from half a second after the answer until the end of the pause.
SETTLE_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2


def replica(born_ms=1, name="r"):
    return Replica(name, "s", "10.0.0.1", 80, "a", 8, born_ms, False)


@pytest.fixture
def availability():
    return ReplicaAvailability()


def test_replica_is_available_until_it_says_otherwise(availability):
    assert availability.sends_from(replica(), NOW) <= NOW


def test_leaving_replica_gets_nothing_until_it_starts_again(availability):
    """The list of replicas may still call it ready."""
    assert availability.observe_answer(replica(), True, None, NOW)
    assert not availability.observe_answer(replica(), True, None, NOW)
    availability.end_send(replica(), True, NOW + 10)
    assert availability.sends_from(replica(), NOW + 1000) == math.inf
    assert availability.sends_from(replica(born_ms=2), NOW) <= NOW


@pytest.fixture
def table():
    """Return a published table of replicas whose list was read at 90 s first."""
    return Published(ReplicaTable(read_at=90.0, fresh_since=90.0))


def read_list(table, at):
    fresh_since = table.value.fresh_since
    fresh_since = at if fresh_since is None else fresh_since
    table.value = table.value._replace(read_at=at, fresh_since=fresh_since)


@pytest.mark.parametrize("born_ms", [2, 0])
def test_statement_holds_for_a_restart_that_is_listed_later(table, born_ms):
    """Guards against requests for the incarnation that has said it; its clock may be set back."""
    availability = ReplicaAvailability(lambda: table.value)
    availability.observe_answer(replica(), True, None, NOW)
    restarted = replica(born_ms)
    for at in (NOW + 0.5, NOW + REPORT_TIME_S - 0.1):
        read_list(table, at)
        assert availability.sends_from(restarted, at) > at
    read_list(table, NOW + REPORT_TIME_S)
    assert availability.sends_from(restarted, NOW + 4.0) == NOW + 4.0
    assert availability.sends_from(replica(), NOW + 4.0) == math.inf


def test_list_that_was_away_shows_nothing_about_a_restart(table):
    availability = ReplicaAvailability(lambda: table.value)
    availability.observe_answer(replica(), True, None, NOW)
    table.value = table.value._replace(fresh_since=None)
    assert availability.sends_from(replica(2), NOW + 60.0) > NOW + 60.0
    read_list(table, NOW + 60.0)
    assert availability.sends_from(replica(2), NOW + 60.0) > NOW + 60.0
    read_list(table, NOW + 60.0 + REPORT_TIME_S)
    assert availability.sends_from(replica(2), NOW + 64.0) == NOW + 64.0
    table.value = table.value._replace(fresh_since=None)
    assert availability.sends_from(replica(2), NOW + 65.0) == NOW + 65.0


def test_second_restart_before_the_list_shows_the_first(table):
    availability = ReplicaAvailability(lambda: table.value)
    availability.observe_answer(replica(1), True, None, NOW)
    read_list(table, NOW + 1.0)
    assert availability.sends_from(replica(2), NOW + 1.0) > NOW + 1.0
    assert availability.observe_answer(replica(2), True, None, NOW + 1.1)
    read_list(table, NOW + 2.0)
    assert availability.sends_from(replica(3), NOW + 2.0) > NOW + 2.0


def test_restart_at_another_address_is_a_later_incarnation(table):
    """The answer came from the former address."""
    availability = ReplicaAvailability(lambda: table.value)
    availability.observe_answer(replica(), True, None, NOW)
    assert availability.sends_from(replica(2)._replace(port=81), NOW) == NOW


def test_pause_holds_for_a_restart_that_is_listed_later(table):
    availability = ReplicaAvailability(lambda: table.value)
    availability.observe_answer(replica(), False, 2.0, NOW)
    read_list(table, NOW + 0.5)
    assert availability.sends_from(replica(2), NOW + 0.5) == NOW + 2.0


def test_first_request_after_a_pause_goes_alone(availability):
    """All requests that waited would otherwise meet the replica together."""
    availability.observe_answer(replica(), False, 2.0, NOW)
    assert availability.sends_from(replica(), NOW + 1.9) == NOW + 2.0
    assert availability.sends_from(replica(), NOW + 2.0) == NOW + 2.0
    availability.begin_send(replica(), NOW + 2.0)
    assert availability.sends_from(replica(), NOW + 2.1) > NOW + 2.1
    availability.end_send(replica(), True, NOW + 2.2)
    assert availability.sends_from(replica(), NOW + 2.2) == NOW + 2.2


def test_request_without_an_answer_leaves_the_next_one_alone_too(availability):
    availability.observe_answer(replica(), False, 2.0, NOW)
    availability.begin_send(replica(), NOW + 2.0)
    availability.end_send(replica(), False, NOW + 2.5)
    assert availability.sends_from(replica(), NOW + 2.5) == NOW + 2.5
    availability.begin_send(replica(), NOW + 2.5)
    assert availability.sends_from(replica(), NOW + 2.6) > NOW + 2.6


def test_silent_probe_does_not_close_the_replica_for_good(availability):
    availability.observe_answer(replica(), False, 2.0, NOW)
    availability.begin_send(replica(), NOW + 2.0)
    later = NOW + 2.0 + PROBE_TIMEOUT_S
    assert availability.sends_from(replica(), later) == later


def test_later_answer_does_not_shorten_a_pause(availability):
    availability.observe_answer(replica(), False, 5.0, NOW)
    availability.observe_answer(replica(), False, 0.1, NOW + 0.1)
    availability.end_send(replica(), True, NOW + 0.2)
    assert availability.sends_from(replica(), NOW + 1.0) == NOW + 5.0


def test_absurd_pause_is_bounded(availability):
    availability.observe_answer(replica(), False, 1e12, NOW)
    assert availability.sends_from(replica(), NOW) == NOW + MAX_PAUSE_S


def test_memory_is_bounded(availability):
    for number in range(2 * MAX_REMEMBERED):
        availability.observe_answer(replica(name=f"r{number}"), True, 1.0, NOW)
    last = replica(name=f"r{2 * MAX_REMEMBERED - 1}")
    assert availability.sends_from(last, NOW) == math.inf
    assert availability.sends_from(replica(name="r0"), NOW) <= NOW


class Step(NamedTuple):
    """Part of a history: time passes, then requests are tried, and the replica answers as it likes."""

    passes_s: float
    tries: int
    answer: str
    pause_s: float


steps = st.lists(
    st.builds(
        Step,
        st.floats(0.0, 3.0),
        st.integers(0, 5),
        st.sampled_from(["ok", "shed", "shed", "lost", "leave", "restart", "none"]),
        st.floats(0.1, 6.0),
    ),
    max_size=40,
)


@given(steps)
def test_replica_gets_what_it_asked_for(history):
    """Checks both rules from what the replica has seen."""
    availability, now, born_ms = ReplicaAvailability(), NOW, 1
    pauses, left_at, arrivals, running = [], None, [], 0
    for step in history:
        now += step.passes_s
        target = replica(born_ms)
        for _ in range(step.tries):
            if availability.sends_from(target, now) <= now:
                availability.begin_send(target, now)
                arrivals.append(now)
                running += 1
                assert left_at is None
        if step.answer == "restart":
            born_ms, pauses, left_at, arrivals, running = born_ms + 1, [], None, [], 0
        elif running and step.answer != "none":
            running -= 1
            if step.answer == "shed":
                pauses.append((now + SETTLE_S, now + step.pause_s))
                availability.observe_answer(target, False, step.pause_s, now)
            if step.answer == "leave":
                left_at = now
                availability.observe_answer(target, True, None, now)
            availability.end_send(target, step.answer != "lost", now)
        for start, end in pauses:
            inside = sum(start <= at < end for at in arrivals)
            assert inside <= MAX_REQUESTS_IN_PAUSE
