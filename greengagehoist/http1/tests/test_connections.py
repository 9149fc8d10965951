"""Guards against clients that hold connections and lock others out."""

import pytest

from greengagehoist.gateway import ClientLimits, divide_descriptors
from greengagehoist.http1 import (
    Admitted,
    ConnectionTable,
    Refused,
    Replacing,
)


@pytest.fixture
def loud():
    """Return the connections on which a part of a request has been received."""
    return set()


@pytest.fixture
def table(loud):
    return ConnectionTable(3, 0, lambda conn: conn not in loud)


def add(table, *names, address="a"):
    for name in names:
        table.add(name, address)


def test_connections_below_the_limit_are_admitted(table):
    add(table, 1, 2)
    assert table.admit("a") == Admitted()


def test_oldest_silent_new_connection_is_replaced(table, loud):
    add(table, 1, 2, 3)
    loud.add(1)
    assert table.admit("a") == Replacing(2)


def test_used_connection_is_kept_before_one_without_a_request(table):
    """Guards against silent clients that close the kept connections of ordinary ones."""
    add(table, 1, 2, 3)
    for conn in (1, 2):
        table.set_busy(conn)
        table.set_idle(conn)
    assert table.admit("a") == Replacing(3)
    table.set_busy(3)
    assert table.admit("a") == Replacing(1)


def test_connection_whose_request_has_arrived_is_not_replaced(table, loud):
    """Guards against a request that is dropped without an answer."""
    add(table, 1, 2, 3)
    for conn in (1, 2, 3):
        table.set_busy(conn)
    assert table.admit("a") == Refused("connections")
    # Only a part of the next request has been received, which is refused as not run.
    table.set_idle(1)
    loud.add(1)
    assert table.admit("a") == Replacing(1)
    table.set_busy(1)
    assert table.admit("a") == Refused("connections")


def test_incomplete_first_request_is_replaced_if_nothing_else_can(table, loud):
    """Guards against clients that lock all others out by half a request each."""
    add(table, 1, 2, 3)
    loud.update((1, 2, 3))
    assert table.admit("a") == Replacing(1)


def test_limit_of_one_address_leaves_others_alone():
    table = ConnectionTable(10, 2, lambda conn: True)
    add(table, 1, 2)
    assert table.admit("a") == Refused("connections_of_address")
    assert table.admit("b") == Admitted()
    table.remove(1)
    table.remove(1)
    assert table.admit("a") == Admitted()
    assert len(table) == 1


@pytest.mark.parametrize("max_fds", [1, 300, 400, 1024, 1638, 4100, 65536])
def test_divided_descriptors_leave_some_for_peers_and_the_store(max_fds):
    limits = divide_descriptors(max_fds, ClientLimits())
    assert min(limits) >= 4
    assert sum(limits) <= max(64, max_fds - 200)


def test_settings_can_only_lower_the_connections():
    limits = divide_descriptors(1638, ClientLimits(connections=50_000, in_progress=10))
    assert (limits.clients, limits.in_progress) == (719, 10)


def test_incomplete_later_requests_make_way_if_nothing_else_can(table, loud):
    """Clients that send the bodies of their second requests slowly locked out all others."""
    add(table, 1, 2, 3)
    for conn in (1, 2, 3):
        table.set_busy(conn)
        table.set_idle(conn)
        loud.add(conn)
    assert table.admit("a") == Replacing(1)
    table.set_busy(1)
    assert table.admit("a") == Replacing(2)
