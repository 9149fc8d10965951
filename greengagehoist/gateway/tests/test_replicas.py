"""Guards against a start that logs too much, and against lists of another era of the store."""

import random

import pytest

from greengagehoist.gateway.controllers import ReplicaController, SharedReads, topology_of
from greengagehoist.gateway.controllers import _replicas as module
from greengagehoist.gateway.controllers._replicas import MAX_LOGGED_CHANGES, _ReadEnded
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
    deliver(controller, _ReadEnded(replicas(count), 0, 1.0))
    assert events == expected
    assert len(controller.table.value.replicas) == count


def test_replicas_that_leave_the_list_are_logged_one_by_one(controller, events):
    deliver(controller, _ReadEnded(replicas(MAX_LOGGED_CHANGES + 1), 0, 1.0))
    deliver(controller, _ReadEnded(replicas(MAX_LOGGED_CHANGES), 0, 2.0))
    assert events[1:] == ["replica_gone"]


def test_list_of_an_earlier_era_is_not_applied(controller):
    """A late answer could bring replicas back that have left."""
    deliver(controller, _ReadEnded(replicas(2), 0, 1.0, 2))
    deliver(controller, _ReadEnded(replicas(3), 0, 2.0, 1))
    assert len(controller.table.value.replicas) == 2
    assert controller.held.value.era == 2


def test_new_era_counts_as_an_outage_of_the_list(controller, events):
    """Replicas that the copy lacks run; they write their entries again."""
    deliver(controller, _ReadEnded(replicas(3), 0, 1.0, 1))
    deliver(controller, _ReadEnded(replicas(2), 0, 2.0, 2))
    assert len(controller.table.value.replicas) == 3
    assert "replica_list_restored" in events
    deliver(controller, _ReadEnded(replicas(2), 0, 3.0, 2))
    assert len(controller.table.value.replicas) == 2
