"""Guards against prompt parts without a stable home, and overloaded or failing replicas."""

import pytest

from greengagehoist.replicas import (
    AnyReplica,
    Load,
    Observed,
    PromptAffinity,
    Replica,
    choose,
)

NOW = 100.0


@pytest.fixture
def candidates():
    return [
        Replica(f"i-{number}", "s", "10.0.0.1", 80 + number, zone, 10, 1, False)
        for number, zone in enumerate("aabb")
    ]


def chosen(candidates, affinity, **seen):
    def observed(key):
        return seen.get(key.replace("-", "_"), Observed())

    return choose(candidates, observed, affinity, "a", NOW)


def test_part_has_one_home(candidates):
    homes = {chosen(candidates, PromptAffinity("p")).replica_id for _ in range(10)}
    assert len(homes) == 1


def test_parts_spread_over_the_replicas(candidates):
    homes = {chosen(candidates, PromptAffinity(f"p{number}")).replica_id for number in range(60)}
    assert len(homes) == 4


def test_other_homes_stay_when_a_replica_leaves(candidates):
    before = {n: chosen(candidates, PromptAffinity(f"p{n}")).replica_id for n in range(60)}
    rest = [item for item in candidates if item.replica_id != "i-2"]
    after = {n: chosen(rest, PromptAffinity(f"p{n}")).replica_id for n in range(60)}
    assert all(after[n] == home for n, home in before.items() if home != "i-2")


def test_requests_skip_a_full_home(candidates):
    home = chosen(candidates, PromptAffinity("p")).replica_id
    full = Observed(load=Load(10, 2, 10), reported_at=NOW)
    assert (
        chosen(candidates, PromptAffinity("p"), **{home.replace("-", "_"): full}).replica_id != home
    )


def test_old_load_report_is_ignored(candidates):
    home = chosen(candidates, PromptAffinity("p")).replica_id
    old = Observed(load=Load(10, 2, 10), reported_at=NOW - 60)
    assert (
        chosen(candidates, PromptAffinity("p"), **{home.replace("-", "_"): old}).replica_id == home
    )


def test_avoided_replica_is_used_only_if_no_other_is_left(candidates):
    home = chosen(candidates, PromptAffinity("p")).replica_id
    avoided = {home.replace("-", "_"): Observed(avoid_until=NOW + 1)}
    assert chosen(candidates, PromptAffinity("p"), **avoided).replica_id != home
    alone = [item for item in candidates if item.replica_id == home]
    assert chosen(alone, PromptAffinity("p"), **avoided).replica_id == home


def test_own_zone_goes_first_until_it_is_busier(candidates):
    assert chosen(candidates, AnyReplica()).zone == "a"
    busy = Observed(in_flight=6)
    assert chosen(candidates, AnyReplica(), i_0=busy, i_1=busy).zone == "b"


def test_no_candidate_gives_none():
    assert choose([], lambda key: Observed(), AnyReplica(), "a", NOW) is None


def test_zone_of_the_inputs_goes_before_the_home(candidates):
    """Else large stage results cross zones to reach a replica that holds a few shared tokens."""
    zones = {item.zone for item in candidates}
    for zone in zones:
        chosen_there = {chosen(candidates, PromptAffinity(f"p{n}", zone)).zone for n in range(20)}
        assert chosen_there == {zone}


def test_requests_skip_a_full_zone(candidates):
    zone = candidates[0].zone
    full = {
        item.replica_id.replace("-", "_"): Observed(load=Load(10, 2, 10), reported_at=NOW)
        for item in candidates
        if item.zone == zone
    }
    assert chosen(candidates, PromptAffinity("p", zone), **full).zone != zone
