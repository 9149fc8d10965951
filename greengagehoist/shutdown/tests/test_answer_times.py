"""Guards against estimates that are shorter than the answers of a route take."""

import math

import pytest

from greengagehoist.shutdown import AnswerTimes

INITIAL_S = 0.3


@pytest.fixture
def times():
    return AnswerTimes()


@pytest.fixture
def observe(times):
    """Return a function that records a whole answer."""

    def record(begin_s, body_s=0.0, tokens=0, route="r", events=0):
        key = object()
        times.begin_send(key, route, tokens, 100.0)
        if body_s:
            times.begin_body(key, route, 0, 100.0 + begin_s)
        times.end_send(key, route, True, events, 100.0 + begin_s + body_s)

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


def test_short_limit_of_tokens_does_not_shorten_the_estimate_without_evidence(times, observe):
    """Answers may be far shorter than their limit, so a limit says little of the time of the body."""
    observe(0.2, body_s=1.5, tokens=400)
    assert expected(times, tokens=30) == pytest.approx(1.7)


def test_answers_of_few_tokens_do_not_raise_the_estimate_of_long_ones(times, observe):
    observe(0.1, body_s=0.05, tokens=1)
    for _ in range(4):
        observe(0.1, body_s=0.2, tokens=200)
    assert expected(times, tokens=200) == pytest.approx(0.3)
    assert expected(times, tokens=150) == pytest.approx(0.3)


def test_body_of_unknown_length_is_estimated_by_its_time(times, observe):
    observe(0.2, body_s=1.0)
    assert expected(times) == pytest.approx(1.2)


def test_awaited_answer_raises_the_estimate(times, observe):
    """Replicas that turn slow just before a stop are seen by the requests that wait for them."""
    observe(0.1)
    times.begin_send("key", "r", 0, 10.0)
    assert expected(times, now=10.05) == pytest.approx(0.1)
    assert expected(times, now=13.0) == pytest.approx(3.0)
    times.end_send("key", "r", False, 0, 13.0)
    assert expected(times, now=13.0) == pytest.approx(0.1)


def test_slow_answers_are_forgotten_after_many_faster_ones(times, observe):
    observe(9.0)
    for _ in range(64):
        observe(0.1)
    assert expected(times) == pytest.approx(0.1)


def test_awaited_body_raises_the_estimate(times, observe):
    """Engines that turn slow in the middle of their streams are seen by those streams."""
    observe(0.1, body_s=0.5)
    times.begin_send("key", "r", 0, 10.0)
    times.begin_body("key", "r", 0, 10.1)
    assert expected(times, now=13.1) == pytest.approx(3.1)


def longest(times, tokens, now=0.0, received=()):
    return times.longest_s("r", tokens, INITIAL_S, dict(received).get, now)


def test_longest_answer_has_an_event_for_each_token_of_its_limit(times, observe):
    """The last answers were far shorter than their limit, the next one need not be."""
    for _ in range(64):
        observe(0.2, body_s=1.0, tokens=400, events=11)
    assert expected(times, tokens=400) == pytest.approx(1.2)
    assert longest(times, tokens=400) == pytest.approx(0.2 + 400 * 0.1)


def test_slowest_stream_gives_the_pace_of_the_longest_answer(times, observe):
    observe(0.2, body_s=1.0, tokens=400, events=11)
    observe(0.2, body_s=1.0, tokens=400, events=101)
    assert longest(times, tokens=10) == pytest.approx(0.2 + 10 * 0.1)
    times.begin_send("key", "r", 400, 10.0)
    times.begin_body("key", "r", 3, 10.1)
    assert longest(times, tokens=10, now=12.1, received=[("key", 8)]) == pytest.approx(5.2)


def test_answer_without_a_limit_or_a_known_pace_has_no_bound(times, observe):
    assert longest(times, tokens=10) == math.inf
    observe(0.2, tokens=10)
    assert longest(times, tokens=10) == math.inf
    observe(0.2, body_s=1.0, events=11)
    assert longest(times, tokens=0) == math.inf


def test_routes_that_are_not_used_any_more_are_forgotten(times, observe):
    """Guards against memory that grows with each change of the configuration."""
    for number in range(3000):
        observe(0.1, route=f"r{number}")
    assert len(times._routes) <= 1024
