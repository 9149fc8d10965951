"""Guards against replicas that are dropped or kept wrongly around outages of the list."""

import pytest

from greengagehoist.replicas import Book, Replica, apply_outage, apply_read


def replica(name, address="10.0.0.1:80", leaving=False, born=1):
    host, _, port = address.partition(":")
    return Replica(name, "s", host, int(port), "z", 4, born, leaving)


@pytest.fixture
def book():
    return apply_read(Book(), [replica("a"), replica("b", "10.0.0.2:80")], 10.0)


def test_missing_replica_is_gone(book):
    assert set(apply_read(book, [replica("a")], 11.0).replicas) == {"a"}


def test_missing_replica_is_kept_shortly_after_an_outage(book):
    after = apply_read(apply_outage(book, 11.0), [replica("a")], 12.0)
    assert set(after.replicas) == {"a", "b"}
    assert set(apply_read(after, [replica("a")], 14.0).replicas) == {"a"}


def test_kept_replica_yields_to_the_new_holder_of_its_address(book):
    outage = apply_outage(book, 11.0)
    after = apply_read(outage, [replica("a"), replica("c", "10.0.0.2:80")], 12.0)
    assert set(after.replicas) == {"a", "c"}


def test_read_that_was_sent_earlier_changes_nothing(book):
    assert apply_read(book, [], 9.0) == book


def test_leaving_replica_gets_no_requests(book):
    after = apply_read(book, [replica("a", leaving=True), replica("b", "10.0.0.2:80")], 11.0)
    assert [item.replica_id for item in after.of_service("s")] == ["b"]
