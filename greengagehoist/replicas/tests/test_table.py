"""Guards against replicas that are wrongly dropped or kept around outages of the list."""

import pytest

from greengagehoist.replicas import (
    Replica,
    ReplicaTable,
    apply_outage,
    apply_read,
    apply_restore,
    drop_missing,
)
from greengagehoist.replicas._table import LEFT_MEMORY_S, RESTORED_S, RETURN_GRACE_S


def replica(name, address="10.0.0.1:80", leaving=False, born=1):
    host, _, port = address.partition(":")
    return Replica(name, "s", host, int(port), "z", 4, born, leaving)


@pytest.fixture
def table():
    return apply_read(ReplicaTable(), [replica("a"), replica("b", "10.0.0.2:80")], 10.0)


def test_missing_replica_is_dropped(table):
    assert set(apply_read(table, [replica("a")], 11.0).replicas) == {"a"}


def test_missing_replica_is_kept_shortly_after_an_outage(table):
    after = apply_read(apply_outage(table, 11.0), [replica("a")], 12.0)
    assert set(after.replicas) == {"a", "b"}
    assert set(apply_read(after, [replica("a")], 14.0).replicas) == {"a"}


def test_kept_replica_is_dropped_when_its_time_has_come(table):
    """It was kept until the next read, up to a read period later."""
    outage = apply_outage(table, 11.0)
    after = apply_read(outage, [replica("a")], 12.0)
    assert drop_missing(after, 11.0 + RETURN_GRACE_S - 0.1) == after
    dropped = drop_missing(after, 11.0 + RETURN_GRACE_S)
    assert set(dropped.replicas) == {"a"}
    assert set(dropped.left) == {"b"}


def test_earlier_failure_does_not_shorten_the_time_after_an_outage(table):
    assert apply_outage(apply_outage(table, 12.0), 11.0) == apply_outage(table, 12.0)


def test_kept_replica_yields_to_the_new_holder_of_its_address(table):
    outage = apply_outage(table, 11.0)
    after = apply_read(outage, [replica("a"), replica("c", "10.0.0.2:80")], 12.0)
    assert set(after.replicas) == {"a", "c"}


def test_read_that_was_sent_earlier_changes_nothing(table):
    assert apply_read(table, [], 9.0) == table


def test_leaving_replica_gets_no_requests(table):
    after = apply_read(table, [replica("a", leaving=True), replica("b", "10.0.0.2:80")], 11.0)
    assert [item.replica_id for item in after.of_service("s")] == ["b"]


@pytest.mark.parametrize("left", [[replica("a", leaving=True)], []])
def test_replica_that_had_left_stays_out_after_a_restore(table, left):
    """The copy calls it ready, but it ends soon or has ended."""
    b = replica("b", "10.0.0.2:80")
    gone = apply_read(table, [*left, b], 11.0)
    restored = apply_read(apply_restore(gone, 12.0), [replica("a"), b], 12.0)
    assert [item.replica_id for item in restored.of_service("s")] == ["b"]
    later = apply_read(restored, [replica("a"), b], 12.0 + RESTORED_S)
    assert {item.replica_id for item in later.of_service("s")} == {"a", "b"}


def test_later_start_of_a_replica_that_had_left_is_used_after_a_restore(table):
    gone = apply_read(table, [replica("b", "10.0.0.2:80")], 11.0)
    restored = apply_read(apply_restore(gone, 12.0), [replica("a", born=2)], 12.0)
    assert "a" in restored.replicas


def test_replica_that_the_copy_lacks_is_kept_for_a_moment(table):
    restored = apply_read(apply_restore(table, 12.0), [replica("a")], 12.0)
    assert set(restored.replicas) == {"a", "b"}
    assert set(apply_read(restored, [replica("a")], 12.0 + RETURN_GRACE_S).replicas) == {"a"}


def test_replicas_that_left_are_forgotten_in_the_end(table):
    """Otherwise the table grows with each replica that was ever replaced."""
    gone = apply_read(table, [], 11.0)
    assert set(gone.left) == {"a", "b"}
    assert not apply_read(gone, [], 11.0 + LEFT_MEMORY_S).left
