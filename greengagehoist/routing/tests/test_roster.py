"""Guards against herding, stale load reports, mass ejection and choices outside the subset."""

import random
from collections import Counter

import pytest

from greengagehoist.routing import (
    CacheEvents,
    Demand,
    Ejected,
    ExpectedTime,
    LeastReported,
    LoadReport,
    Member,
    PowerOfTwo,
    RandomChoice,
    Roster,
    RoundRobin,
    SlowStart,
)

DISTANCES = {"dc1": 0.001, "dc2": 0.002}
POLICIES = [ExpectedTime(), RandomChoice(), RoundRobin(), LeastReported(), PowerOfTwo()]


@pytest.fixture
def roster():
    """Return a roster of ten targets with load reports, half of them in the local data centre."""
    return build_roster(10)


def build_roster(count, policy=None, weight=0.5):
    """Return a roster of ``count`` targets over two data centres."""
    found = Roster("vm1", "dc0", DISTANCES, policy, weight)
    for index in range(count):
        found.add(Member(f"t{index}", f"dc{index % 2}"), 0.0)
        found.observe_report(f"t{index}", LoadReport(0, 4, 16, 0.0))
    return found


def demand(number=0, **more):
    """Return a demand of one busy second."""
    return Demand(f"r{number}", 1.0, **more)


def count_choices(roster, now, rng, count):
    """Send ``count`` requests and return how many each target got."""
    found = Counter()
    for number in range(count):
        name = roster.choose(demand(number), now, rng)
        roster.observe_sent(name, demand(number), now)
        found[name] += 1
    return found


@pytest.mark.parametrize("policy", POLICIES)
def test_every_policy_honours_exclusion(policy, rng):
    roster = build_roster(3, policy)
    chosen = {roster.choose(demand(exclude=("t0", "t2")), 0.0, rng) for _ in range(50)}
    assert chosen == {"t1"}
    assert roster.choose(demand(exclude=("t0", "t1", "t2")), 0.0, rng) is None


def test_subset_is_bounded_and_prefers_the_local_data_centre():
    roster = build_roster(400)
    names = roster.candidates()
    own = [name for name in names if int(name[1:]) % 2 == 0]
    assert (len(names), len(own)) == (64, 48)


def test_subset_of_another_daemon_differs():
    other = Roster("vm2", "dc0", DISTANCES)
    for index in range(400):
        other.add(Member(f"t{index}", f"dc{index % 2}"), 0.0)
    assert set(other.candidates()) != set(build_roster(400).candidates())


def test_remote_targets_are_used_when_the_local_data_centre_has_none(rng):
    roster = build_roster(10)
    for index in range(0, 10, 2):
        roster.remove(f"t{index}")
    assert roster.choose(demand(), 0.0, rng) in {"t1", "t3", "t5", "t7", "t9"}


def test_does_not_herd_on_the_least_reported_target(roster, rng):
    roster.observe_report("t3", LoadReport(0, 0, 16, 0.1))
    found = count_choices(roster, 0.2, rng, 100)
    assert found["t3"] <= 25


def test_requests_sent_since_a_report_count_as_load(roster, rng):
    for index in range(10):
        roster.observe_report(f"t{index}", LoadReport(0, 10 if index == 3 else 18, 16, 0.1))
    assert count_choices(roster, 0.2, rng, 100)["t3"] <= 14


def test_least_reported_herds(rng):
    roster = build_roster(10, LeastReported())
    roster.observe_report("t3", LoadReport(0, 0, 16, 0.1))
    assert count_choices(roster, 0.2, rng, 100)["t3"] == 100


def test_old_report_does_not_replace_a_newer_one(roster, rng):
    roster.observe_report("t3", LoadReport(500, 16, 16, 0.2))
    roster.observe_report("t3", LoadReport(0, 0, 16, 0.1))
    assert count_choices(roster, 0.2, rng, 30)["t3"] == 0


def test_stale_report_is_discounted(roster, rng):
    roster.observe_report("t3", LoadReport(500, 16, 16, 0.2))
    for index in range(10):
        if index != 3:
            roster.observe_report(f"t{index}", LoadReport(0, 4, 16, 30.0))
    assert count_choices(roster, 30.0, rng, 200)["t3"] > 0


def test_target_with_an_overdue_request_gets_no_new_ones(roster, rng):
    roster.observe_sent("t3", demand(999), 0.0)
    assert count_choices(roster, 20.0, rng, 60)["t3"] == 0


def fail_targets(roster, names, now, count=10):
    """Send requests that fail on the named targets and succeed on the others."""
    for number in range(count):
        for name in roster.candidates():
            sent = demand(f"{name}-{number}")
            roster.observe_sent(name, sent, now)
            roster.observe_done(name, sent.request_id, 1.0, name not in names, now + 1)
        now += 1.0
    return now


def test_failing_target_is_ejected_and_returns_through_a_probe(roster, rng):
    now = fail_targets(roster, {"t3"}, 0.0)
    assert isinstance(roster.health("t3"), Ejected)
    assert count_choices(roster, now, rng, 50)["t3"] == 0
    now += 60.0
    roster.observe_report("t3", LoadReport(0, 0, 16, now))
    sent = demand("probe", exclude=tuple(f"t{i}" for i in range(10) if i != 3))
    assert roster.choose(sent, now, rng) == "t3"
    roster.observe_sent("t3", sent, now)
    roster.observe_done("t3", "rprobe", 1.0, True, now + 1.0)
    assert isinstance(roster.health("t3"), SlowStart)


def test_at_most_three_in_ten_are_ejected(roster):
    fail_targets(roster, {f"t{i}" for i in range(4)}, 0.0)
    ejected = [i for i in range(10) if isinstance(roster.health(f"t{i}"), Ejected)]
    assert len(ejected) == 3


def test_failure_of_all_targets_ejects_none(roster):
    fail_targets(roster, set(roster.candidates()), 0.0)
    assert not any(isinstance(roster.health(f"t{i}"), Ejected) for i in range(10))


def test_slow_target_is_ejected(roster):
    for number in range(20):
        for name in roster.candidates():
            sent = demand(f"{name}-{number}")
            roster.observe_sent(name, sent, float(number))
            latency = 10.0 if name == "t5" else 1.0
            roster.observe_done(name, sent.request_id, latency, True, number + 1.0)
    assert isinstance(roster.health("t5"), Ejected)


def test_request_goes_to_a_target_with_its_prefix_until_that_is_busy(roster, rng):
    prefix = (1, 2, 3, 4)
    roster.observe_cache_events("t6", CacheEvents(0, 4, prefix, ()), 0.0)
    sent = demand(prefix=prefix, block_cost=0.2)
    assert {roster.choose(sent, 0.1, rng) for _ in range(20)} == {"t6"}
    roster.observe_report("t6", LoadReport(100, 16, 16, 0.2))
    assert roster.choose(sent, 0.2, rng) != "t6"


def test_gap_in_cache_events_lowers_confidence(roster):
    roster.observe_cache_events("t6", CacheEvents(0, 4, (1, 2), ()), 0.0)
    before = roster.cache.expected_blocks("t6", (1, 2), 0.0)
    roster.observe_cache_events("t6", CacheEvents(9, 1, (), ()), 0.0)
    assert roster.cache.expected_blocks("t6", (1, 2), 0.0) == before / 2


def test_repeated_cache_events_are_ignored(roster):
    roster.observe_cache_events("t6", CacheEvents(0, 2, (1,), ()), 0.0)
    roster.observe_cache_events("t6", CacheEvents(2, 1, (), (1,)), 0.0)
    roster.observe_cache_events("t6", CacheEvents(0, 2, (1,), ()), 0.0)
    assert roster.cache.expected_blocks("t6", (1,), 0.0) == 0.0


def test_expensive_target_is_avoided_where_cost_weighs_more(rng):
    roster = Roster("vm1", "dc0", {}, attainment_weight=0.0)
    roster.add(Member("expensive", "dc0", price=3.0), 0.0)
    roster.add(Member("cheap", "dc0"), 0.0)
    assert {roster.choose(demand(), 0.0, rng) for _ in range(20)} == {"cheap"}


def test_in_flight_returns_to_zero(roster):
    rng = random.Random(5)
    for number in range(500):
        sent = demand(number)
        name = roster.choose(sent, number / 100, rng)
        roster.observe_sent(name, sent, number / 100)
        roster.observe_done(name, sent.request_id, 1.0, True, number / 100 + 1)
        roster.observe_done(name, sent.request_id, 1.0, True, number / 100 + 1)
    assert all(not state.in_flight for state in roster._states.values())
