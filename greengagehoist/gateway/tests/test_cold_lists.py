"""Guards against lists that change at each heartbeat of a cold replica, and against repeated lines."""

import asyncio
import itertools

import pytest
from returns.result import Success

from greengagehoist.gateway.controllers import ReplicaController, SharedReads, topology_of
from greengagehoist.gateway.controllers import _replicas as module
from greengagehoist.gateway.controllers._replicas import _ReadEnded
from greengagehoist.gateway.tests.recorder import Recorder, deliver
from greengagehoist.membership import Member
from greengagehoist.platform_client import ReplicaPage
from greengagehoist.replicas import Replica

REPLICA = Replica("r", "llm", "10.0.0.1", 80, "a", 8, 1, False)


@pytest.fixture
def make_controller(clock):
    """Return a function that builds a controller that reads a platform."""

    def make(platform):
        topology = topology_of(Member("vm-1", "a", "x:1", 1))
        reads = SharedReads(Recorder("relay"), "replicas", "vm-1", topology, clock, None, 2.0)
        return ReplicaController(platform, reads, clock)

    return make


def test_entries_with_odd_cold_periods_are_named_once(make_controller, monkeypatch):
    logged = []
    monkeypatch.setattr(module, "log_event", lambda event, *args, **fields: logged.append(event))
    controller = make_controller(Recorder("platform"))
    for at, odd in enumerate((("i-1",), ("i-1",), None, ("i-1",), ())):
        deliver(controller, _ReadEnded((), (), float(at), 0, odd))
    assert logged == ["replica_cold_unreadable"] * 2


class CountingDown(Recorder):
    """A list whose one replica is cold for three seconds, with a heartbeat each second."""

    def __init__(self, clock):
        super().__init__("platform")
        self.clock = clock
        self.began = clock.monotonic()

    async def ask(self, message):
        written = int(self.clock.monotonic() - self.began)
        left_s = max(0.0, 3.0 - written)
        replica = REPLICA._replace(cold_s=left_s, cold_row=10 + written if left_s else 0)
        return Success(ReplicaPage((replica,), (), "", 1))


def test_countdown_changes_the_list_that_daemons_pass_on_only_at_its_end(make_controller, clock):
    """The list of a large deployment would be sent to all daemons at each heartbeat."""

    async def scenario():
        controller = make_controller(CountingDown(clock))
        tokens = []
        for _ in range(12):
            await controller._read_platform()
            deliver(controller, controller._mailbox.get_nowait().message)
            tokens.append(controller.held.value.token)
            await clock.advance(0.45)
        changes = sum(one != two for one, two in itertools.pairwise(tokens))
        assert changes == 1
        assert controller._apply_hub_read(controller.held.value)
        (replica,) = controller.table.value.replicas.values()
        assert replica.cold_s == 0.0

    asyncio.run(scenario())
