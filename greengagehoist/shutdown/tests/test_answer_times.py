"""Guards against estimates that are shorter than the answers of a route take."""

import pytest

from greengagehoist.shutdown import AnswerTimes

INITIAL_S = 0.3


@pytest.fixture
def times():
    return AnswerTimes()


@pytest.fixture
def observe(times):
    """Return a function that records a whole answer."""

    def record(begin_s, body_s=0.0, tokens=0, route="r"):
        key = object()
        times.begin_send(key, route, tokens, 100.0)
        if body_s:
            times.begin_body(key, 100.0 + begin_s)
        times.end_send(key, True, 100.0 + begin_s + body_s)

    return record


def expected(times, tokens=0, now=0.0, route="r"):
    return times.expected_s(route, tokens, INITIAL_S, now)


def test_unknown_route_has_the_initial_estimate(times):
    assert expected(times) == INITIAL_S
    assert expected(times, tokens=100) > INITIAL_S


def test_estimate_covers_the_slowest_known_answer(times, observe):
    for begin_s in (0.2, 0.9, 0.1):
        observe(begin_s)
    observe(5.0, route="other")
    assert expected(times) == pytest.approx(0.9)


def test_long_answers_take_longer_than_short_ones(times, observe):
    observe(0.2, body_s=1.0, tokens=50)
    assert expected(times, tokens=50) == pytest.approx(1.2)
    assert expected(times, tokens=200) == pytest.approx(4.2)


def test_body_of_unknown_length_is_estimated_by_its_time(times, observe):
    observe(0.2, body_s=1.0)
    assert expected(times) == pytest.approx(1.2)


def test_awaited_answer_raises_the_estimate(times, observe):
    """Replicas that turn slow just before a stop are seen by the requests that wait for them."""
    observe(0.1)
    times.begin_send("key", "r", 0, 10.0)
    assert expected(times, now=10.05) == pytest.approx(0.1)
    assert expected(times, now=13.0) == pytest.approx(3.0)
    times.end_send("key", False, 13.0)
    assert expected(times, now=13.0) == pytest.approx(0.1)


def test_slow_answers_are_forgotten_after_many_faster_ones(times, observe):
    observe(9.0)
    for _ in range(64):
        observe(0.1)
    assert expected(times) == pytest.approx(0.1)
