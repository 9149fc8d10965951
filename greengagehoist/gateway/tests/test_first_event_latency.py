"""Guards against due times that ignore how long engines take to begin an answer."""

import pytest

from greengagehoist.deployment import NonIdempotent, Route
from greengagehoist.gateway.filters import FirstEventLatency
from greengagehoist.gateway.filters._first_event_latency import FIRST_GUESS_S


@pytest.fixture
def routes():
    return [Route(name, "h", "/", NonIdempotent(), 1.0, 1.0, 1, (), 1, (), False) for name in "ab"]


def test_expected_time_follows_what_was_seen(routes):
    starts = FirstEventLatency()
    assert starts.expected_s(routes[0]) == FIRST_GUESS_S
    for _ in range(100):
        starts.observe(routes[0], 0.5)
    assert starts.expected_s(routes[0]) == pytest.approx(0.5, abs=0.01)


def test_routes_are_told_apart(routes):
    starts = FirstEventLatency()
    starts.observe(routes[0], 9.0)
    assert starts.expected_s(routes[1]) == FIRST_GUESS_S


def test_one_slow_answer_changes_little(routes):
    starts = FirstEventLatency()
    starts.observe(routes[0], 2.0)
    assert starts.expected_s(routes[0]) < 0.25
