"""Guards against due times that ignore the time until an engine begins its answer."""

import pytest

from greengagehoist.deployment import NonIdempotent, Route
from greengagehoist.gateway.filters import FirstEventLatency
from greengagehoist.gateway.filters._first_event_latency import INITIAL_ESTIMATE_S


@pytest.fixture
def routes():
    return [Route(name, "h", "/", NonIdempotent(), 1.0, 1.0, 1, (), 1, (), False) for name in "ab"]


def test_estimate_converges_to_samples(routes):
    latency = FirstEventLatency()
    assert latency.expected_s(routes[0]) == INITIAL_ESTIMATE_S
    for _ in range(100):
        latency.observe(routes[0], 0.5)
    assert latency.expected_s(routes[0]) == pytest.approx(0.5, abs=0.01)


def test_routes_are_independent(routes):
    latency = FirstEventLatency()
    latency.observe(routes[0], 9.0)
    assert latency.expected_s(routes[1]) == INITIAL_ESTIMATE_S


def test_single_slow_answer_changes_little(routes):
    latency = FirstEventLatency()
    latency.observe(routes[0], 2.0)
    assert latency.expected_s(routes[0]) < 0.25
