"""Guards against pieces that are lost, repeated beyond the budget, or hang at a pool's owner."""

import pytest

from greengagehoist.deployment import PoolLimits
from greengagehoist.gateway.controllers._owned_pool import OwnedPool
from greengagehoist.gateway.controllers._pool_worker import BatchEnded
from greengagehoist.pieces import InputGone, Made, NotMade, Reservation, StageWork
from greengagehoist.replicas import Replica
from greengagehoist.retries import RetryBudget
from greengagehoist.utils import Published

REPLICAS = {
    name: Replica(name, "s", "10.0.0.1", 80 + number, "a", 1, 1, False)
    for number, name in enumerate(("r0", "r1"))
}


@pytest.fixture
def pool():
    limits = PoolLimits(4, 0.1, 0.01, 10e6)
    budget = RetryBudget(0.0, 5.0, 10.0)
    made = OwnedPool("s", limits, budget, lambda replica: None, Published({}))
    made.sync(REPLICAS.values())
    return made


def work(name="x", count=2):
    return StageWork(name, "s", 0, tuple(range(count)), "k", (), 1, 5.0, 9.0, "", 0.0)


def end_of(member, outcomes, failure=""):
    return BatchEnded(member.replica.replica_id, member.pieces, outcomes, failure, 0.1)


def test_work_ends_with_its_results_in_order(pool):
    pool.queue.add(work(), "", 0.0)
    (member,) = pool.next_calls(REPLICAS, 0.0)
    effect = pool.end_call(end_of(member, (Made("a/1"), Made("a/2"))), 0.2)
    ((job, reason),) = effect.ends
    assert (job.ordered_handles(), reason) == (("a/1", "a/2"), "")


def test_lost_call_is_repeated_at_another_replica(pool):
    pool.queue.add(work(), "", 0.0)
    (member,) = pool.next_calls(REPLICAS, 0.0)
    assert pool.end_call(end_of(member, None, "lost"), 0.2).ends == ()
    (other,) = pool.next_calls(REPLICAS, 0.2)
    assert other is not member


def test_work_fails_when_the_repeat_budget_is_used_up(pool):
    pool.queue.add(work(count=3), "", 0.0)
    (member,) = pool.next_calls(REPLICAS, 0.0)
    pool.end_call(end_of(member, None, "lost"), 0.2)
    (member,) = pool.next_calls(REPLICAS, 0.2)
    ((_, reason),) = pool.end_call(end_of(member, None, "lost"), 0.4).ends
    assert reason == "failed"


def test_call_that_ends_after_its_work_was_replaced_is_harmless(pool):
    """A stage that is submitted again has no send counts, so the end of the old call must not
    raise KeyError.
    """
    pool.queue.add(work(), "", 0.0)
    (member,) = pool.next_calls(REPLICAS, 0.0)
    pool.queue.add(work(), "", 0.1)
    effect = pool.end_call(end_of(member, (NotMade("room"), NotMade("room"))), 0.2)
    assert effect.ends == ()
    assert pool.queue.waiting_pieces() == 2


def test_result_that_nobody_waits_for_is_orphaned(pool):
    pool.queue.add(work(), "", 0.0)
    (member,) = pool.next_calls(REPLICAS, 0.0)
    pool.queue.drop_request("x")
    assert pool.end_call(end_of(member, (Made("a/1"), InputGone())), 0.2).orphaned == ("a/1",)


def test_overdue_call_is_repeated_once_and_its_late_results_count(pool):
    pool.queue.add(work(), "", 0.0)
    (slow,) = pool.next_calls(REPLICAS, 0.0)
    pool.requeue_overdue(2.0)
    pool.requeue_overdue(2.1)
    (other,) = pool.next_calls(REPLICAS, 2.1)
    assert len(other.pieces) == 2
    ((_, reason),) = pool.end_call(end_of(slow, (Made("a/1"), Made("a/2"))), 2.2).ends
    assert reason == ""
    assert pool.end_call(end_of(other, (Made("b/1"), Made("b/2"))), 2.3).orphaned == ("b/1", "b/2")


def test_end_of_a_call_of_another_pool_is_ignored(pool):
    assert pool.end_call(BatchEnded("other", (), (), "", 0.1), 0.0) is None


def test_wait_covers_the_back_off_of_the_only_replicas(pool):
    """Guards against requests that are accepted although no replica of the pool can be reached."""
    assert pool.wait_s(Reservation(2, 1, 5.0), 0.0) == 0.0
    for number in range(2):
        pool.queue.add(work(f"x{number}", 4), "", 0.0)
    for member in pool.next_calls(REPLICAS, 0.0):
        member.failures = 3
        pool.end_call(end_of(member, None, "unreachable"), 0.1)
    back_off_s = min(member.avoid_until for member in pool.members.values()) - 0.1
    assert 1.0 < back_off_s <= pool.wait_s(Reservation(2, 1, 5.0), 0.1)


@pytest.mark.parametrize("silent_zones", [frozenset(), frozenset({"b"})])
def test_unreachable_replica_of_a_silent_data_centre_holds_back_the_others_there(
    pool, silent_zones
):
    """Answers the pattern of a zone cut: each replica there would hold a batch until a time-out."""
    far = {name: REPLICAS["r0"]._replace(replica_id=name, zone="b") for name in ("b0", "b1")}
    pool.sync({**REPLICAS, **far}.values())
    pool.silent_zones = silent_zones
    pool.queue.add(work(), "", 0.0)
    (member,) = pool.next_calls(far, 0.0)
    pool.end_call(end_of(member, None, "unreachable"), 0.1)
    (other,) = {"b0", "b1"} - {member.replica.replica_id}
    assert (pool.members[other].avoid_until > 0.1) is bool(silent_zones)
    assert pool.members["r0"].avoid_until == 0.0


@pytest.mark.parametrize("limit", [0.0, 1.0])
def test_replica_with_a_limit_gets_a_call_only_with_a_permit(pool, limit):
    """Calls of a pool count within the limit like requests."""
    pool.limit_view.value = {("r0", 1): limit, ("r1", 1): limit}
    pool.queue.add(work(), "", 0.0)
    assert pool.next_calls(REPLICAS, 0.0) == []
    first, second = pool.permits_to_ask(REPLICAS, 0.0)
    assert pool.permits_to_ask(REPLICAS, 0.0) == []
    pool.end_permit_ask(first.replica, 2.0, 0.0)
    pool.end_permit_ask(second.replica, None, 0.0)
    assert pool.next_calls(REPLICAS, 0.0) == [second]
    pool.queue.add(work("y"), "", 0.1)
    assert pool.permits_to_ask(REPLICAS, 0.1) == []
    assert pool.permits_to_ask(REPLICAS, 2.1) == [first]


def test_pool_with_limited_replicas_announces_a_longer_wait(pool):
    pool.queue.add(work(count=40), "", 0.0)
    reservation = Reservation(4, 1, 9.0)
    unlimited_s = pool.wait_s(reservation, 0.0)
    pool.limit_view.value = {("r0", 1): 0.5, ("r1", 1): 0.5}
    assert pool.wait_s(reservation, 0.0) > 2 * unlimited_s


def test_wait_counts_only_the_replicas_that_get_work(pool):
    """Slow replicas get none beside fast ones; counting them admits what will be late."""
    pool.queue.add(work(count=40), "", 0.0)
    pool.members["r1"].slowness, pool.members["r1"].slowness_updated_at = 3.0, 0.0
    with_slow_s = pool.wait_s(Reservation(4, 1, 9.0), 0.0)
    del pool.members["r1"]
    assert with_slow_s == pool.wait_s(Reservation(4, 1, 9.0), 0.0)
