"""Guards against requests that look older than they are and are therefore served last."""

import pytest

from greengagehoist.deployment import Route, Streaming
from greengagehoist.gateway.filters._route import AGE_WINDOW_S, AttemptAges


@pytest.fixture
def route():
    return Route("r", "h", "/", Streaming(False, 0.4), 8.0, 1.0, 0, (), 1, (), False)


def test_shorter_deadline_than_the_longest_is_that_of_a_later_attempt(route):
    ages = AttemptAges()
    assert ages.age_s(route, 8.0, 0.0) == 0.0
    assert ages.age_s(route, 5.5, 2.5) == 2.5


def test_one_long_deadline_does_not_make_all_later_requests_look_old(route):
    """A client that waited for 60 s once would make all others late for good."""
    ages = AttemptAges()
    ages.age_s(route, 60.0, 0.0)
    for second in range(1, int(3 * AGE_WINDOW_S)):
        age_s = ages.age_s(route, 8.0, float(second))
    assert age_s == 0.0


def test_age_is_known_across_the_end_of_a_window(route):
    ages = AttemptAges()
    ages.age_s(route, 8.0, AGE_WINDOW_S - 0.1)
    assert ages.age_s(route, 6.0, AGE_WINDOW_S + 1.9) == 2.0
