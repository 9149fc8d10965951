"""Guards against replicas of evacuated data centres that are chosen, and against lost statistics."""

import random

import pytest

from greengagehoist.deployment import PoolLimits
from greengagehoist.gateway.controllers import (
    NO_REPLICA_WAIT_S,
    Choose,
    Evacuated,
    EvacuationController,
    FindHome,
    NotBefore,
    PlacementController,
    Reach,
    RequestEnded,
    TimeRanking,
)
from greengagehoist.gateway.controllers import _evacuation as module
from greengagehoist.gateway.controllers._owned_pool import OwnedPool
from greengagehoist.gateway.controllers._placement import AnswerObserved
from greengagehoist.gateway.controllers._pool_worker import WITHHELD, BatchEnded
from greengagehoist.gateway.tests.recorder import deliver
from greengagehoist.pieces import Made, Reservation, StageWork
from greengagehoist.replicas import (
    AnyReplica,
    ColdState,
    LoadView,
    PromptAffinity,
    Replica,
    ReplicaTable,
)
from greengagehoist.retries import RetryBudget
from greengagehoist.utils import Published, Tick

REPLICAS = {
    name: Replica(name, "s", "10.0.0.1", 80 + number, name[0], 1, 1, False)
    for number, name in enumerate(("a1", "a2", "b1", "b2"))
}
TABLE = ReplicaTable(REPLICAS, read_at=0.0)


@pytest.fixture
def evacuated():
    return Published(frozenset())


def make_ranking(zone):
    return TimeRanking(
        Published(None), Published(False), Published(LoadView()), zone, random.Random(1)
    )


@pytest.fixture
def placement(clock, evacuated):
    views = Published(TABLE), Published(Reach()), Published({})
    return PlacementController(*views, clock, "b", make_ranking("b"), evacuated=evacuated)


@pytest.fixture
def pool(evacuated):
    budget = RetryBudget(0.0, 5.0, 10.0)
    made = OwnedPool(
        "s",
        PoolLimits(4, 0.1, 0.01, 10e6),
        budget,
        lambda replica: None,
        Published({}),
        None,
        evacuated,
    )
    made.sync(REPLICAS.values())
    return made


@pytest.fixture
def logged(monkeypatch):
    """Return the events of the evacuation controller as they are logged."""
    events = []
    monkeypatch.setattr(
        module, "log_event", lambda name, level="INFO", **fields: events.append((name, fields))
    )
    return events


def work(name="x", count=2, zone=""):
    return StageWork(name, "s", 0, tuple(range(count)), "k", (), 1, 5.0, 9.0, zone, 0.0)


def end_of(member, outcomes, failure=""):
    return BatchEnded(member.replica.replica_id, member.pieces, outcomes, failure, 0.1)


def zones_of(members):
    return {member.replica.zone for member in members}


def test_no_replica_of_an_evacuated_data_centre_is_chosen(placement, evacuated):
    evacuated.value = frozenset({"b"})
    parts = [f"part{number}" for number in range(20)]
    affinities = [AnyReplica(), *(PromptAffinity(part, "b") for part in parts)]
    for affinity in affinities:
        for query in (
            Choose("s", affinity),
            Choose("s", affinity, permitted="b1"),
            FindHome("s", affinity),
        ):
            (found,) = deliver(placement, query)
            assert found.zone == "a"


def test_replica_that_is_avoided_is_not_replaced_by_an_evacuated_one(placement, evacuated):
    """If all replicas are avoided, the best of them is tried; it must not be an evacuated one."""
    evacuated.value = frozenset({"b"})
    for name in ("a1", "a2"):
        deliver(placement, RequestEnded(name, "unreachable"))
    (found,) = deliver(placement, Choose("s", AnyReplica()))
    assert found.zone == "a"
    (found,) = deliver(placement, Choose("s", AnyReplica(), frozenset({"a1", "a2"})))
    assert found is None


def test_end_of_a_pause_in_an_evacuated_data_centre_is_not_waited_for(placement, evacuated):
    evacuated.value = frozenset({"b"})
    for name, pause_s in (("a1", 9.0), ("a2", 9.0), ("b1", 1.0), ("b2", 1.0)):
        deliver(placement, AnswerObserved(REPLICAS[name], False, pause_s))
    (found,) = deliver(placement, Choose("s", AnyReplica()))
    assert isinstance(found, NotBefore)
    assert found.replica.zone == "a"


@pytest.mark.parametrize("zones", [{"a", "b"}, {"a", "b", "unknown"}])
def test_placement_says_that_all_replicas_are_evacuated(placement, evacuated, zones):
    evacuated.value = frozenset(zones)
    for query in (Choose("s", AnyReplica()), FindHome("s", AnyReplica())):
        assert deliver(placement, query) == [Evacuated()]
    assert deliver(placement, Choose("other", AnyReplica())) == [None]


def test_evacuated_replica_keeps_its_statistics(placement, evacuated):
    """An evacuation is not the end of a replica."""
    evacuated.value = frozenset({"b"})
    deliver(placement, RequestEnded("b1", "unreachable"))
    avoid_until = placement._health["b1"].observed.avoid_until
    evacuated.value = frozenset()
    deliver(placement, Choose("s", AnyReplica()))
    assert placement._health["b1"].observed.avoid_until == avoid_until > 0


def test_pieces_are_made_only_outside_an_evacuated_data_centre(pool, evacuated):
    """Also those whose inputs or readers are there."""
    evacuated.value = frozenset({"b"})
    for number in range(4):
        pool.queue.add(work(f"x{number}", 4, zone="b"), "", 0.0)
    assert zones_of(pool.next_calls(REPLICAS, 0.0)) == {"a"}
    evacuated.value = frozenset()
    assert zones_of(pool.next_calls(REPLICAS, 0.1)) == {"b"}


def test_no_permit_is_asked_for_an_evacuated_replica(pool, evacuated):
    pool.limit_view.value = {(name, 1): 1.0 for name in REPLICAS}
    evacuated.value = frozenset({"b"})
    pool.queue.add(work(), "", 0.0)
    assert zones_of(pool.permits_to_ask(REPLICAS, 0.0)) == {"a"}
    pool.end_permit_ask(REPLICAS["a1"], None, 0.0)
    evacuated.value = frozenset({"a", "b"})
    assert pool.next_calls(REPLICAS, 0.1) == []


def test_pool_whose_replicas_are_all_evacuated_refuses_work(pool, evacuated):
    evacuated.value = frozenset({"a", "b"})
    assert pool.wait_s(Reservation(2, 1, 5.0), 0.0) == NO_REPLICA_WAIT_S
    pool.queue.add(work(), "", 0.0)
    ((job, reason),) = pool.fail_without_replicas()
    assert (job.work.request_id, reason) == ("x", "failed")
    assert not pool.queue.jobs


def test_call_in_an_evacuated_data_centre_is_finished(pool, evacuated):
    """Its pieces must be neither failed nor made again while nobody else can make them."""
    pool.queue.add(work(), "", 0.0)
    (member,) = pool.next_calls(REPLICAS, 0.0)
    evacuated.value = frozenset({"a", "b"})
    pool.requeue_overdue(2.0)
    assert pool.fail_without_replicas() == []
    ((_, reason),) = pool.end_call(end_of(member, (Made("a/1"), Made("a/2"))), 2.1).ends
    assert reason == ""


def test_overdue_pieces_are_made_again_outside_the_evacuated_data_centre(pool, evacuated):
    pool.queue.add(work(), "", 0.0)
    (member,) = pool.next_calls(REPLICAS, 0.0)
    evacuated.value = frozenset({member.replica.zone})
    pool.requeue_overdue(2.0)
    (other,) = pool.next_calls(REPLICAS, 2.1)
    assert other.replica.zone != member.replica.zone


def test_call_that_was_withheld_counts_as_no_send(pool, evacuated):
    """A replica that was not called has not failed, and its pieces are not repeats."""
    pool.queue.add(work(), "", 0.0)
    (member,) = pool.next_calls(REPLICAS, 0.0)
    evacuated.value = frozenset({member.replica.zone})
    assert pool.end_call(end_of(member, None, WITHHELD), 0.1).ends == ()
    assert (member.failures, member.avoid_until) == (0, 0.0)
    (other,) = pool.next_calls(REPLICAS, 0.1)
    assert other.replica.zone != member.replica.zone
    (job,) = pool.queue.jobs.values()
    assert set(job.sends.values()) == {1}


def test_evacuations_are_logged_once_with_their_replicas(clock, evacuated, logged):
    """Names that nobody knows are named once, and have no effect."""
    controller = EvacuationController(
        evacuated, Published(TABLE), frozenset({"a", "b", "c"}), clock
    )
    for zones in ({"b", "c"}, {"b", "c", "x"}, {"b", "x"}, set(), {"x"}):
        evacuated.value = frozenset(zones)
        deliver(controller, Tick())
        deliver(controller, Tick())
        assert controller.known.value == zones - {"x"}
    assert logged == [
        ("data_centre_evacuated", {"zone": "b", "replicas": 2}),
        ("data_centre_evacuated", {"zone": "c", "replicas": 0}),
        ("evacuated_data_centre_unknown", {"zone": "'x'"}),
        ("data_centre_taken_back", {"zone": "c", "replicas": 0}),
        ("data_centre_taken_back", {"zone": "b", "replicas": 2}),
    ]


def test_data_centre_without_settings_is_known_by_its_replicas(clock, evacuated, logged):
    """A daemon whose settings name no data centres, or that has not read the list yet."""
    table = Published(ReplicaTable())
    controller = EvacuationController(evacuated, table, frozenset(), clock)
    evacuated.value = frozenset({"a"})
    deliver(controller, Tick())
    assert logged == []
    table.value = TABLE
    deliver(controller, Tick())
    table.value = ReplicaTable(read_at=1.0)
    deliver(controller, Tick())
    assert controller.known.value == {"a"}
    assert [name for name, _ in logged] == ["data_centre_evacuated"]


def test_search_for_a_home_does_not_count_as_a_choice_of_a_cold_replica(clock, evacuated):
    """Requests with stages search for a home before they are placed, so the share would be another."""
    cold = Published({("a2", 1): ColdState(clock.monotonic() + 10.0, clock.monotonic() - 10.0)})
    table = Published(ReplicaTable({name: REPLICAS[name] for name in ("a1", "a2")}, read_at=0.0))
    views = table, Published(Reach()), Published({})
    placement = PlacementController(
        *views, clock, "a", make_ranking("a"), evacuated=evacuated, cold=cold
    )
    for _ in range(5):
        deliver(placement, Choose("s", AnyReplica(), frozenset({"a2"})))
    chosen = []
    for _ in range(20):
        deliver(placement, FindHome("s", AnyReplica()))
        chosen.extend(deliver(placement, Choose("s", AnyReplica())))
        deliver(placement, RequestEnded(chosen[-1].replica_id))
    assert 9 <= sum(item.replica_id == "a2" for item in chosen) <= 10
