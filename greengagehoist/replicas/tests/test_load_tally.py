"""Guards against sends of other daemons that are counted twice, too long or not at all."""

import random

import pytest

from greengagehoist.replicas import (
    NO_REQUESTS,
    REPORT_MAX_AGE_S,
    VIEW_MAX_AGE_S,
    LearntSlowdown,
    LoadTally,
    LoadView,
    ReplicaCounts,
    ReplicaFigures,
    Source,
)

ONE = ReplicaFigures(ReplicaCounts(1, 500, 0, 600))
TWO = ReplicaFigures(ReplicaCounts(2, 900, 1, 1500))


def source(vm, incarnation=1):
    return Source(vm, vm, incarnation)


@pytest.fixture
def tally():
    return LoadTally()


def test_newest_report_of_each_source_counts(tally):
    tally.apply(source("a"), 1, {"r": ONE}, 0.0)
    tally.apply(source("b"), 1, {"r": ONE, "q": ONE}, 0.0)
    assert tally.apply(source("a"), 2, {"r": TWO}, 0.1) == {"r"}
    assert tally.sum_of("r").counts == ReplicaCounts(3, 1400, 1, 2100)
    assert tally.sum_of("q") == ONE


@pytest.mark.parametrize("seed", range(5))
def test_lost_repeated_and_reordered_reports_end_in_the_same_sums(tally, seed):
    rng = random.Random(seed)
    reports = [(vm, seq) for vm in "abc" for seq in range(1, 9)]
    told = [item for item in reports if item[1] == 8 or rng.random() < 0.6]
    told += rng.choices(told, k=10)
    rng.shuffle(told)
    for vm, seq in told:
        tally.apply(source(vm), seq, {f"r{seq % 3}": ONE}, 0.0)
    assert tally.sums() == {"r2": ReplicaFigures(ReplicaCounts(3, 1500, 0, 1800))}


def test_restarted_source_begins_anew(tally):
    tally.apply(source("a", 1), 70, {"r": TWO}, 0.0)
    tally.apply(source("a", 2), 1, {"q": ONE}, 0.0)
    assert tally.apply(source("a", 1), 71, {"r": TWO}, 0.1) == frozenset()
    assert tally.sums() == {"q": ONE}


def test_sends_of_a_lost_source_are_forgotten(tally):
    tally.apply(source("a"), 1, {"r": ONE}, 0.0)
    tally.apply(source("b"), 1, {"r": ONE}, 2.0)
    assert tally.expire(REPORT_MAX_AGE_S + 0.1) == {"r"}
    assert tally.sum_of("r") == ONE
    assert tally.forget("b") == {"r"}
    assert tally.sum_of("r").counts == NO_REQUESTS


def test_partial_report_keeps_the_rest_of_the_same_source_only(tally):
    """Sums of a data centre come from another hub after the loss of the first."""
    first, second = Source("dc", "hub1", 1), Source("dc", "hub2", 1)
    tally.apply(first, 1, {"r": ONE, "q": ONE}, 0.0)
    tally.apply(first, 2, {"r": ReplicaFigures()}, 0.0, is_whole=False)
    assert tally.sums() == {"q": ONE}
    tally.apply(second, 1, {"r": TWO}, 0.0, is_whole=False)
    assert tally.sums() == {"r": TWO}


def test_learnt_speeds_are_merged_by_weight(tally):
    for vm, log, weight in (("a", 0.0, 10.0), ("b", 0.4, 30.0)):
        figures = ReplicaFigures(NO_REQUESTS, LearntSlowdown(log, weight))
        tally.apply(source(vm), 1, {"r": figures}, 0.0)
    assert tally.sum_of("r").slowdown.log == pytest.approx(0.3)


def test_old_view_is_not_used():
    """A daemon that was frozen or is cut off must not count requests that have long ended."""
    view = LoadView({"r": ONE}, 10.0)
    assert view.figures("r", 10.0 + VIEW_MAX_AGE_S - 0.1) == ONE
    assert view.figures("r", 10.0 + VIEW_MAX_AGE_S + 0.1) == ReplicaFigures()
