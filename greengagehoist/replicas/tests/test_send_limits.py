"""Guards against limits of replicas that end early, never end, or depend on the order of reports."""

import itertools

import pytest

from greengagehoist.replicas import Limited, LimitState, SendLimits, Unlimited, UnreadableLimit

KEY = ("r", 1)


@pytest.fixture
def limits():
    return SendLimits()


def test_limit_holds_from_the_answer_that_names_it(limits):
    assert limits.observe(KEY, Limited(4.0), 1.0, 2.0)
    assert limits.in_force() == {KEY: 4.0}


def test_answer_to_an_earlier_request_does_not_end_a_limit(limits):
    """Answers overtake each other on different connections."""
    limits.observe(KEY, Limited(4.0), 1.0, 2.0)
    assert not limits.observe(KEY, Unlimited(), 1.5, 2.5)
    assert limits.in_force() == {KEY: 4.0}


def test_answer_to_a_later_request_ends_a_limit(limits):
    limits.observe(KEY, Limited(4.0), 1.0, 2.0)
    assert limits.observe(KEY, Unlimited(), 2.5, 2.6)
    assert limits.in_force() == {}


def test_limit_follows_the_newest_value(limits):
    limits.observe(KEY, Limited(4.0), 1.0, 2.0)
    assert limits.observe(KEY, Limited(0.5), 2.0, 3.0)
    assert not limits.observe(KEY, Limited(0.5), 3.0, 4.0)
    assert limits.in_force() == {KEY: 0.5}


def test_new_incarnation_has_no_limit(limits):
    limits.observe(KEY, Limited(4.0), 1.0, 2.0)
    assert ("r", 2) not in limits.in_force()


def test_unreadable_limit_is_reported_once_and_ends_nothing(limits):
    limits.observe(KEY, Limited(4.0), 1.0, 2.0)
    assert limits.observe(KEY, UnreadableLimit("x"), 3.0, 3.1)
    assert not limits.observe(KEY, UnreadableLimit("y"), 4.0, 4.1)
    assert limits.in_force() == {KEY: 4.0}


def test_reports_of_other_daemons_give_the_same_state_in_any_order():
    reports = (LimitState(4.0, 2.0), LimitState(4.0, 2.0, 2.5), LimitState(1.0, 3.0))
    states = set()
    for order in itertools.permutations(reports):
        limits = SendLimits()
        for report in order:
            limits.merge(KEY, report)
        states.add(limits.state_of(KEY))
    assert states == {LimitState(1.0, 3.0, 2.5)}
