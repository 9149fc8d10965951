"""Guards against short prompts that wait behind long ones, and requests of any length that starve.

The times are those of the model, which has its own clock.
"""

from functools import lru_cache

import pytest

from greengagehoist.replicas.tests.placement_model import (
    HUGE,
    LONG,
    MIDDLE,
    SHORT,
    ByTime,
    ByUtilization,
    HoldBack,
    Model,
    Partition,
)

SEEDS = (1, 2, 3)
HOT = LONG._replace(name="hot", parts=1)
USUAL = ((LONG, 4.8), (MIDDLE, 5.7), (SHORT, 5.1))
BURST = ((LONG, 14.4), (MIDDLE, 17.0), (SHORT, 15.3))
LONG_BURST = ((LONG, 30.0), (MIDDLE, 5.7), (SHORT, 15.3))
OVERLOAD = ((LONG, 60.0), (MIDDLE, 20.0), (SHORT, 20.0))
UNEQUAL = (1.0, 1.0, 1.0, 1.0, 0.6, 0.6, 1.6, 1.6)
COLD = (1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 4.0, 4.0)


def part_of(mix, share):
    return tuple((kind, share * per_s) for kind, per_s in mix)


@lru_cache(maxsize=256)
def played(policy, mix, seed, **fields):
    return Model(policy, dict(mix), seed, **fields).run()


def in_time(policy, mix, kind, **fields):
    found = [played(policy, mix, seed, **fields).in_time(kind) for seed in SEEDS]
    return sum(found) / len(found)


def worst_s(policy, mix, kind, **fields):
    return max(played(policy, mix, seed, **fields).worst_s(kind) for seed in SEEDS)


CASES = [
    (USUAL, {}),
    (BURST, {}),
    (LONG_BURST, {}),
    (LONG_BURST, {"slowdowns": UNEQUAL}),
    (LONG_BURST, {"slowdowns": COLD}),
    (BURST, {"wrong_length": True}),
    (part_of(USUAL, 1 / 8), {"reachable": 1}),
]


@pytest.mark.parametrize("mix, fields", CASES)
def test_short_prompts_are_in_time_as_if_no_long_ones_ran(mix, fields):
    alone = tuple(item for item in mix if item[0] is SHORT)
    expected = in_time(ByTime(), alone, SHORT, **fields)
    assert in_time(ByTime(), mix, SHORT, **fields) >= expected - 0.05


@pytest.mark.parametrize(
    "mix, fields",
    [
        *CASES,
        (((LONG, 30.0),), {}),
        (((SHORT, 150.0),), {}),
        (OVERLOAD, {}),
        (part_of(BURST, 1 / 8), {"reachable": 1}),
        (part_of(BURST, 1 / 4), {"reachable": 2}),
        (((HUGE, 2.0), (SHORT, 30.0)), {}),
    ],
)
def test_each_length_is_in_time_as_often_as_by_utilization(mix, fields):
    for kind, _ in mix:
        before = in_time(ByUtilization(), mix, kind, **fields)
        assert in_time(ByTime(), mix, kind, **fields) >= before - 0.005


@pytest.mark.parametrize("mix, fields", CASES)
def test_nobody_starves(mix, fields):
    for kind, _ in mix:
        assert worst_s(ByTime(), mix, kind, **fields) < 4 * max(kind.budget_s, 0.8)


@pytest.mark.parametrize("per_s", [8.0, 15.0, 25.0])
def test_hot_part_gets_more_homes_in_time(per_s):
    """One part that many requests share exceeds what its home can read."""
    mix = (
        (HOT, per_s),
        *((kind, rate) for kind, rate in USUAL if kind is not SHORT),
        (SHORT, 15.0),
    )
    for kind, _ in mix:
        before = in_time(ByUtilization(), mix, kind)
        assert in_time(ByTime(), mix, kind) >= max(0.85, before - 0.005)
    copies = sum("hot-0" in item.parts for item in played(ByTime(), mix, 1).engines.values())
    assert copies <= 1 + per_s / 5


def test_overload_does_not_feed_itself():
    """Parts that leave late homes are read again, which makes more homes late."""
    before = worst_s(ByUtilization(), OVERLOAD, LONG)
    assert worst_s(ByTime(), OVERLOAD, LONG) < before


def test_all_requests_are_answered_at_any_length():
    mix = ((HUGE, 2.0), (SHORT, 30.0))
    for seed in SEEDS:
        model = played(ByTime(), mix, seed)
        assert not any(item.queue or item.reading for item in model.engines.values())


def test_partition_by_length_loses_when_one_length_prevails():
    assert in_time(Partition(), ((SHORT, 150.0),), SHORT) < 0.5
    assert in_time(Partition(), LONG_BURST, LONG) < in_time(ByTime(), LONG_BURST, LONG) - 0.05


def test_holding_back_loses_when_no_replica_is_idle():
    mix = part_of(USUAL, 1 / 8)
    held = in_time(HoldBack(), mix, LONG, reachable=1)
    assert held < in_time(ByTime(), mix, LONG, reachable=1) - 0.02


def test_priority_by_time_left_starves_patient_requests_in_an_overload():
    """The header is set at the send, so that a request does not become urgent as it waits."""
    starved_s = worst_s(ByTime(urgent_first=True), OVERLOAD, MIDDLE)
    assert starved_s > 2 * worst_s(ByTime(), OVERLOAD, MIDDLE)
