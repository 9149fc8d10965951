"""Guards against late, scattered or oversized batches of stage work."""

import pytest

from greengagehoist.deployment import PoolLimits
from greengagehoist.pieces import RANK_HEAD_START_S, PoolQueue, Reservation, ResultMemory, StageWork

ZONES = frozenset({"a", "b"})
LARGE = 1e12


@pytest.fixture
def queue():
    return PoolQueue(PoolLimits(6, 0.15, 0.01, 10e6))


def work(name, count=3, rank=0, due=1.5, zone="", size=0.0, deadline=9.0):
    return StageWork(name, "s", 0, tuple(range(count)), "k", (), rank, due, deadline, zone, size)


def ids(batch):
    return [(item.request_id, item.segment) for item in batch]


def test_work_goes_by_due_time_with_a_head_start_for_urgent_ranks(queue):
    """A strict order by rank starves the last rank in a burst of an urgent kind."""
    queue.add(work("third", rank=0, due=1.0 + RANK_HEAD_START_S), "", 0.0)
    queue.add(work("second", rank=1, due=0.95), "", 0.0)
    queue.add(work("first", rank=0, due=0.9 + RANK_HEAD_START_S), "", 0.0)
    batch = queue.pop_batch("a", ZONES, LARGE, 4, 0.0)
    assert [item.request_id for item in batch] == ["first"] * 3 + ["second"] * 3


def test_equal_due_times_go_by_rank(queue):
    for name, rank in (("last", 2), ("first", 0), ("second", 1)):
        queue.add(work(name, rank=rank), "", 0.0)
    batch = queue.pop_batch("a", ZONES, LARGE, 4, 0.0)
    assert [item.request_id for item in batch] == ["first"] * 3 + ["second"] * 3


def test_pieces_of_several_requests_fill_a_call(queue):
    queue.add(work("x", 2), "", 0.0)
    queue.add(work("y", 4), "vm-2", 0.0)
    assert len(queue.pop_batch("a", ZONES, LARGE, 4, 0.0)) == 6
    assert queue.waiting_pieces() == 0


def test_work_of_one_stage_stays_together(queue):
    queue.add(work("x", 4, due=1.0), "", 0.0)
    queue.add(work("y", 4, due=2.0), "", 0.0)
    assert {item.request_id for item in queue.pop_batch("a", ZONES, LARGE, 4, 0.0)} == {"x"}


def test_calls_are_filled_when_the_idle_replicas_cannot_take_all(queue):
    """Never splitting a stage leaves calls part empty, a fifth of an overloaded pool's capacity."""
    queue.add(work("x", 4, due=1.0), "", 0.0)
    queue.add(work("y", 4, due=2.0), "", 0.0)
    assert len(queue.pop_batch("a", ZONES, LARGE, 1, 0.0)) == 6


def test_work_in_time_goes_before_late_work(queue):
    queue.add(work("late", rank=0, due=0.1), "", 0.0)
    queue.add(work("in-time", 6, rank=2, due=2.0), "", 0.0)
    batch = queue.pop_batch("a", ZONES, LARGE, 1, 0.0)
    assert {item.request_id for item in batch} == {"in-time"}


def wait_s(queue, rank, due=5.0, replicas=2):
    return queue.wait_s(Reservation(3, rank, due), replicas, 0.0)


def test_wait_counts_what_goes_before_new_work(queue):
    queue.add(work("x", 6, rank=0, due=5.0), "", 0.0)
    queue.add(work("y", 6, rank=2, due=5.0), "", 0.0)
    assert 0 < wait_s(queue, 0) < wait_s(queue, 2)


def test_work_that_is_late_from_the_start_waits_for_all_other(queue):
    queue.add(work("x", 6, rank=2, due=5.0), "", 0.0)
    assert wait_s(queue, 0) == 0.0
    assert wait_s(queue, 0, due=0.1) > 0.0


def test_wait_counts_reserved_work_once(queue):
    """Without reservations, admission ignores the load that recent requests put on later pools."""
    queue.reserve("x", Reservation(6, 1, 5.0))
    before = wait_s(queue, 1)
    assert before > 0.0
    queue.add(work("x", 6, rank=1, due=5.0), "", 0.0)
    assert wait_s(queue, 1) == before


def test_reservation_of_two_stages_ends_with_the_second(queue):
    queue.reserve("x", Reservation(6, 1, 5.0))
    queue.add(work("x", 2, rank=1, due=5.0), "", 0.0)
    assert queue.reserved["x"].pieces == 4
    queue.add(work("x", 4, rank=1, due=5.0), "", 0.0)
    assert not queue.reserved


def test_reservation_ends_with_its_request_or_its_time(queue):
    queue.reserve("x", Reservation(6, 1, 1.0))
    queue.reserve("y", Reservation(6, 1, 1.0))
    queue.drop_request("x")
    assert list(queue.reserved) == ["y"]
    queue.expire(3.0)
    assert not queue.reserved


def test_late_work_is_dropped_while_it_waits(queue):
    queue.add(work("x", due=1.0, deadline=6.0), "", 0.0)
    assert queue.expire(1.7) == []
    assert [job.key.request_id for job in queue.expire(1.9)] == ["x"]


def test_retry_of_a_client_waits_for_spare_capacity(queue):
    queue.add(work("x", due=-5.0, deadline=8.0), "", 0.0)
    assert queue.expire(1.9) == []
    assert [job.key.request_id for job in queue.expire(2.1)] == ["x"]


def test_large_results_wait_for_their_zone_for_a_bounded_time(queue):
    queue.add(work("x", zone="b"), "", 0.0)
    assert queue.pop_batch("a", ZONES, LARGE, 4, 0.05) == ()
    assert len(queue.pop_batch("a", ZONES, LARGE, 4, 0.5)) == 3


def test_work_does_not_wait_for_a_zone_without_replicas(queue):
    queue.add(work("x", zone="b"), "", 0.0)
    assert len(queue.pop_batch("a", frozenset({"a"}), LARGE, 4, 0.0)) == 3


def test_batch_fits_into_the_memory_for_results(queue):
    queue.add(work("x", 6, size=2e6), "", 0.0)
    assert len(queue.pop_batch("a", ZONES, 7e6, 4, 0.0)) == 3


def test_replica_with_little_free_memory_waits_for_more(queue):
    """Calls with one or two pieces use up the time of an overloaded pool."""
    queue.add(work("x", 6, size=3e6), "", 0.0)
    assert queue.pop_batch("a", ZONES, 7e6, 4, 0.0) == ()
    assert queue.waiting_pieces() == 6


def test_work_past_its_deadline_is_removed(queue):
    queue.add(work("x", deadline=1.0), "", 0.0)
    assert [job.key.request_id for job in queue.expire(1.0)] == ["x"]
    assert queue.waiting_pieces() == 0


def test_work_that_cannot_end_by_its_deadline_is_not_begun(queue):
    """Its results would be thrown away, and the call takes the place of useful work."""
    queue.add(work("x", 3, due=1.0, deadline=1.1), "", 0.0)
    assert queue.pop_batch("a", ZONES, LARGE, 4, 0.95) == ()
    assert [job.key.request_id for job in queue.expire(0.95)] == ["x"]


def test_work_in_a_call_is_kept_until_its_deadline(queue):
    queue.add(work("x", 3, due=1.0, deadline=1.1), "", 0.0)
    assert len(queue.pop_batch("a", ZONES, LARGE, 4, 0.9)) == 3
    assert queue.expire(1.0) == []
    assert len(queue.expire(1.1)) == 1


def test_reservations_end_with_their_daemon(queue):
    """Reserved work of a daemon that was lost would keep others out until it is overdue."""
    queue.reserve("x", Reservation(6, 1, 9.0, origin="vm-1"))
    queue.reserve("y", Reservation(6, 1, 9.0))
    queue.drop_origin("vm-1")
    assert list(queue.reserved) == ["y"]


def test_memory_is_released_by_freeing_and_by_expiry():
    memory = ResultMemory(10e6)
    memory.add("h1", 6e6, 0.0)
    assert memory.available_bytes(0.0) < 4e6
    memory.free("h1")
    assert memory.available_bytes(0.0) > 9e6
    memory.add("h2", 6e6, 0.0)
    assert memory.available_bytes(10.0) > 9e6
    memory.free("h2")
    assert memory.available_bytes(10.0) <= 10e6


def test_full_replica_gets_no_pieces_for_a_short_time():
    memory = ResultMemory(10e6)
    memory.mark_full(0.0)
    assert memory.available_bytes(0.1) <= 0
    assert memory.available_bytes(1.0) > 9e6
