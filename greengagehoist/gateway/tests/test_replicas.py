"""Guards against excessive log lines, odd entries, and lists of another era of the store."""

import random

import pytest

from greengagehoist.gateway.controllers import ReplicaController, SharedReads, topology_of
from greengagehoist.gateway.controllers import _replicas as module
from greengagehoist.gateway.controllers._relay import HeldContent
from greengagehoist.gateway.controllers._replicas import (
    MAX_LOGGED_CHANGES,
    _ReadEnded,
    encode_replicas,
)
from greengagehoist.gateway.tests.recorder import Recorder, deliver
from greengagehoist.membership import Member
from greengagehoist.replicas import Replica


@pytest.fixture
def controller(clock):
    topology = topology_of(Member("vm-1", "a", "x:1", 1))
    reads = SharedReads(
        Recorder("relay"), "replicas", "vm-1", topology, clock, random.Random(1), 2.0
    )
    return ReplicaController(Recorder("platform"), reads, clock)


@pytest.fixture
def events(monkeypatch):
    """Return the names of the events that the controller logs."""
    logged = []
    monkeypatch.setattr(module, "log_event", lambda event, *args, **fields: logged.append(event))
    return logged


def replicas(count):
    return tuple(Replica(f"i-{n}", "s", "10.0.0.1", n + 1, "a", 1, 1, False) for n in range(count))


@pytest.mark.parametrize(
    ("count", "expected"),
    [(3, ["replica_seen"] * 3), (MAX_LOGGED_CHANGES + 1, ["replica_list_changed"])],
)
def test_many_changes_of_the_list_are_one_line(controller, events, count, expected):
    deliver(controller, _ReadEnded(replicas(count), (), 1.0))
    assert events == expected
    assert len(controller.table.value.replicas) == count


def test_replicas_that_leave_the_list_are_logged_one_by_one(controller, events):
    deliver(controller, _ReadEnded(replicas(MAX_LOGGED_CHANGES + 1), (), 1.0))
    deliver(controller, _ReadEnded(replicas(MAX_LOGGED_CHANGES), (), 2.0))
    assert events[1:] == ["replica_gone"]


def test_list_of_an_earlier_era_is_not_applied(controller):
    """A late answer could bring replicas back that have left."""
    deliver(controller, _ReadEnded(replicas(2), (), 1.0, 2))
    deliver(controller, _ReadEnded(replicas(3), (), 2.0, 1))
    assert len(controller.table.value.replicas) == 2
    assert controller.held.value.era == 2


def test_new_era_counts_as_an_outage_of_the_list(controller, events):
    """Replicas that the copy lacks run; they write their entries again."""
    deliver(controller, _ReadEnded(replicas(3), (), 1.0, 1))
    deliver(controller, _ReadEnded(replicas(2), (), 2.0, 2))
    assert len(controller.table.value.replicas) == 3
    assert "replica_list_restored" in events
    deliver(controller, _ReadEnded(replicas(2), (), 3.0, 2))
    assert len(controller.table.value.replicas) == 2


def test_unreadable_entries_are_named_once(controller, monkeypatch):
    """The line gave a number only, and not at all if another entry became unreadable instead."""
    logged = []
    monkeypatch.setattr(
        module, "log_event", lambda event, *args, **fields: logged.append((event, fields))
    )
    for at, keys in enumerate([("i-1",), ("i-1",), ("i-2",), ("x" * 300, *"abcdefgh")]):
        deliver(controller, _ReadEnded((), keys, float(at)))
    assert [event for event, _ in logged] == ["replica_entries_unreadable"] * 3
    assert [fields["count"] for _, fields in logged] == [1, 1, 9]
    assert "i-1" in logged[0][1]["keys"]
    assert "i-2" in logged[1][1]["keys"]
    assert len(logged[2][1]["keys"]) < 200


@pytest.mark.parametrize(
    "change", [{"port": 99999}, {"host": "x" * 300}, {"replica_id": "i\n"}, {"slots": -1}]
)
def test_hubs_list_costs_only_the_replicas_out_of_range(controller, change):
    """Hubs of an earlier version pass on entries with such fields."""
    sound = replicas(2)
    held = encode_replicas((sound[0], sound[1]._replace(**change)), 1.0)
    assert controller._apply_hub_read(held)
    (read,) = [controller._mailbox.get_nowait().message]
    assert read.replicas == sound[:1]


@pytest.mark.parametrize("content", ["[" * 10_000, "{", '[["i",3]]', "[" * 10_000 + "]" * 10_000])
def test_hubs_list_that_cannot_be_decoded_is_a_failed_read(controller, content):
    assert not controller._apply_hub_read(HeldContent("t", 1.0, content))
