"""Guards against herds, late homes, needless copies of prompt parts and load that ignores speed."""

import random
from collections import Counter

import pytest

from greengagehoist.replicas import (
    AnyReplica,
    Need,
    PlainWork,
    PromptAffinity,
    PromptWork,
    Replica,
    ReplicaCounts,
    ReplicaKnowledge,
    choose_by_time,
    expected_s,
)

NOW = 100.0
LONG = PromptWork(17_000, 13_300, 200)
SHORT = PromptWork(1_460, 350, 200)
IDLE = ReplicaKnowledge()
READING_LONG = ReplicaKnowledge(ReplicaCounts(1, 17_000, 0, 17_200))


@pytest.fixture
def candidates():
    return [
        Replica(f"i-{number}", "s", "10.0.0.1", 80 + number, zone, 64, 1, False)
        for number, zone in enumerate("aaaabbbb")
    ]


@pytest.fixture
def choose(candidates):
    rng = random.Random(5)

    def make(need, known=None, among=candidates, zone="a"):
        found = known or {}
        return choose_by_time(among, lambda key: found.get(key, IDLE), need, zone, NOW, rng)

    return make


def long_need(part="p"):
    return Need(LONG, PromptAffinity(part))


def test_equal_replicas_are_not_all_sent_to_the_first(choose):
    """With equal costs each daemon chose the first replica of the list, so all rushed on it."""
    chosen = Counter(choose(Need(PlainWork(), AnyReplica())).replica.replica_id for _ in range(400))
    assert set(chosen) == {"i-0", "i-1", "i-2", "i-3"} and max(chosen.values()) < 160


def test_load_is_in_proportion_to_speed(choose):
    """The fastest replica got all requests, or slow ones as many as fast ones."""
    known = {
        f"i-{number}": ReplicaKnowledge(slowdown=slowdown)
        for number, slowdown in enumerate((1.0, 1.0, 1.02, 2.0))
    }
    need = Need(PromptWork(100), AnyReplica())
    chosen = Counter(choose(need, known).replica.replica_id for _ in range(2000))
    fast = (chosen["i-0"] + chosen["i-1"] + chosen["i-2"]) / 3
    assert 0.4 < chosen["i-3"] / fast < 0.6


def test_less_busy_replica_goes_before_a_busy_one(choose):
    known = {"i-0": ReplicaKnowledge(ReplicaCounts(1, 1_000, 3, 9_000))}
    chosen = Counter(choose(Need(PromptWork(100), AnyReplica()), known).replica for _ in range(900))
    assert min(count for item, count in chosen.items() if item.replica_id != "i-0") > 250


def test_parts_have_one_home_that_other_replicas_do_not_share(choose, candidates):
    homes = {n: {choose(long_need(f"p{n}"), zone=z).replica for z in "ab"} for n in range(60)}
    assert all(len(found) == 1 for found in homes.values())
    assert {found.pop() for found in homes.values()} == set(candidates)


def test_other_homes_stay_when_a_replica_leaves(choose, candidates):
    before = {n: choose(long_need(f"p{n}")).replica for n in range(60)}
    gone = candidates[2]
    rest = [item for item in candidates if item is not gone]
    after = {n: choose(long_need(f"p{n}"), among=rest).replica for n in range(60)}
    assert all(after[n] == home for n, home in before.items() if home != gone)


def test_small_parts_have_a_home_in_each_data_centre(choose):
    """A short prompt would cross data centres to save the reading of a few hundred tokens."""
    need = Need(SHORT, PromptAffinity("p"))
    assert {choose(need, zone=zone).replica.zone for zone in "ab"} == {"a", "b"}
    assert len({choose(need).replica for _ in range(20)}) == 1


def test_home_that_is_a_little_late_keeps_the_part(choose):
    """A second copy takes the place of another part, which must then be read again."""
    home = choose(long_need()).replica.replica_id
    busy = {home: ReplicaKnowledge(ReplicaCounts(2, 8_000, 4, 90_000))}
    assert choose(long_need(), busy).replica.replica_id == home


def test_home_that_is_late_yields_and_all_daemons_agree_on_the_next(choose):
    home = choose(long_need()).replica.replica_id
    late = {home: ReplicaKnowledge(ReplicaCounts(10, 90_000, 4, 200_000))}
    found = {choose(long_need(), late).replica.replica_id for _ in range(20)}
    assert len(found) == 1 and home not in found


def test_hot_part_uses_its_copies_before_it_is_copied_again(choose, candidates):
    """Without knowledge of the copies, each late request would pay for another one."""
    found = choose(long_need()).replica
    home, zone = found.replica_id, found.zone
    copy = next(item.replica_id for item in candidates if item.zone == zone and item != found)
    need = long_need()._replace(copies=frozenset({copy}))
    assert choose(need, zone=zone).replica.replica_id == home
    busy = {home: ReplicaKnowledge(ReplicaCounts(3, 12_000, 0, 50_000))}
    assert choose(long_need(), busy, zone=zone).replica.replica_id == home
    found = choose(need, busy, zone=zone)
    assert found.replica.replica_id == copy and found.holds_parts


def test_parts_stay_at_their_homes_when_all_replicas_are_late(choose):
    """Parts that leave must be read again, so that an overload would feed itself."""
    late = {f"i-{n}": ReplicaKnowledge(ReplicaCounts(10, 60_000, 4, 200_000)) for n in range(8)}
    for number in range(20):
        need = long_need(f"p{number}")
        assert choose(need, late).replica == choose(need).replica


def test_short_prompts_avoid_replicas_that_read_a_long_one(choose):
    known = {f"i-{number}": READING_LONG for number in range(3)}
    for part in range(20):
        need = Need(SHORT, PromptAffinity(f"p{part}"))
        assert choose(need, known).replica.replica_id == "i-3"


def test_work_leaves_its_data_centre_only_if_that_is_sooner(choose):
    need = Need(SHORT, AnyReplica())
    a_little = {f"i-{n}": ReplicaKnowledge(ReplicaCounts(1, 3_000, 0, 3_000)) for n in range(4)}
    assert choose(need, a_little).replica.zone == "a"
    much = {f"i-{n}": READING_LONG for n in range(4)}
    assert choose(need, much).replica.zone == "b"


def test_plain_requests_leave_their_data_centre_after_a_round_of_others(choose, candidates):
    few = [item._replace(slots=6) for item in candidates if item.replica_id in ("i-0", "i-4")]
    need = Need(PlainWork(), AnyReplica())
    for running, zone in ((5, "a"), (6, "a"), (12, "b")):
        known = {
            "i-0": ReplicaKnowledge(ReplicaCounts(running=running), 0.5),
            "i-4": ReplicaKnowledge(slowdown=0.5),
        }
        assert choose(need, known, among=few).replica.zone == zone


def test_large_results_keep_their_data_centre_until_it_is_late(choose):
    need = Need(SHORT, PromptAffinity("p", "b"))
    busy = {f"i-{n}": ReplicaKnowledge(ReplicaCounts(1, 12_000, 0, 12_000)) for n in range(4, 8)}
    assert choose(need).replica.zone == choose(need, busy).replica.zone == "b"
    late = {f"i-{n}": ReplicaKnowledge(ReplicaCounts(9, 90_000, 0, 90_000)) for n in range(4, 8)}
    assert choose(need, late).replica.zone == "a"


def test_full_slots_and_full_memory_delay_a_request():
    slots = ReplicaKnowledge(ReplicaCounts(0, 0, 64, 100_000))
    memory = ReplicaKnowledge(ReplicaCounts(0, 0, 30, 570_000))
    idle_s = expected_s(LONG, IDLE, 64, 572_328, True)
    assert expected_s(LONG, slots, 64, 572_328, True) > idle_s
    assert expected_s(LONG, memory, 64, 572_328, True) > idle_s
    assert expected_s(LONG, memory, 64, 0, True) == idle_s


def test_plain_requests_count_to_the_end_of_those_before_them():
    full = ReplicaKnowledge(ReplicaCounts(running=6))
    assert expected_s(PlainWork(), full, 6, 0, False) > expected_s(PlainWork(), IDLE, 6, 0, False)


def test_avoided_replica_is_used_only_if_no_other_is_left(choose, candidates):
    home = choose(long_need()).replica
    avoided = {home.replica_id: IDLE._replace(avoid_until=NOW + 1)}
    assert choose(long_need(), avoided).replica != home
    assert choose(long_need(), avoided, among=[home]).replica == home
    assert choose(long_need(), among=[]) is None
