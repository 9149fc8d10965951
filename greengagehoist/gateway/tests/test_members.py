"""Guards against a daemon that is missing from the list, and against needless reads of it."""

import asyncio
import random

import msgspec
import pytest
from returns.result import Failure, Success

from greengagehoist.base import ErrorCode, not_run
from greengagehoist.gateway.controllers import MemberController, SharedReads, topology_of
from greengagehoist.gateway.controllers import _members as module
from greengagehoist.gateway.controllers._members import (
    PAGE_ROWS,
    REMOVE_AFTER_S,
    WRITE_TIME_S,
    HubList,
    parse_member,
)
from greengagehoist.gateway.controllers._relay import HeldContent
from greengagehoist.gateway.tests.recorder import Recorder
from greengagehoist.membership import Member
from greengagehoist.peers import GetPeers, Peer, SetMembers
from greengagehoist.platform_client import (
    DeleteRow,
    EraChanged,
    ReadRange,
    Row,
    Rows,
    WriteRow,
    Written,
)
from greengagehoist.utils import Controller

OWN = Member("vm-000", "a", "10.0.0.0:1", 1)


def members(count):
    """Return ``OWN`` and other members."""
    others = range(1, count)
    return [OWN, *(OWN._replace(vm=f"vm-{number:03}", address=f"x:{number}") for number in others)]


class FakeTable(Controller):
    """Platform that holds the rows of members and records the calls."""

    def __init__(self, listed):
        super().__init__("platform")
        self.rows = [Row(f"member/{item.vm}", 1, list(item), 0.0) for item in listed]
        self.era = 0
        self.calls = []

    def tell(self, message):
        pass

    async def write(self):
        return Success(Written(2, 0.0))

    async def ask(self, message):
        self.calls.append(message)
        match message:
            case ReadRange(_, after, limit):
                found = [row._replace(era=self.era) for row in self.rows if row.key > after]
                return Success(Rows(tuple(found[:limit]), 0.0, self.era))
            case WriteRow():
                return await self.write()
            case DeleteRow(key):
                self.rows = [row for row in self.rows if row.key != key]
                return Success(Written(3, 0.0))


class FakePeers(Recorder):
    """Peers of which all but one answer."""

    async def ask(self, message):
        if not isinstance(message, GetPeers):
            return await super().ask(message)
        return tuple(Peer(f"vm-{number:03}", "a", 1, None, 0.0) for number in range(2, 20))


class FixedHub(Controller):
    """Relay that holds the answer of one hub."""

    def __init__(self):
        super().__init__("relay")
        self.held = None

    def tell(self, message):
        pass

    async def ask(self, message):
        return self.held if message.skipped == 0 else None


@pytest.fixture
def make_members(clock):
    """Return a function that builds a members controller and its platform, peers and hub."""

    def make(listed):
        platform, peers, hub = FakeTable(listed), FakePeers("peers"), FixedHub()
        topology = topology_of(OWN)
        reads = SharedReads(hub, "members", OWN.vm, topology, clock, random.Random(1), 6.0)
        rng = random.Random(1)
        controller = MemberController(platform, peers, OWN, topology, reads, clock, rng)
        return controller, platform, peers, hub

    return make


async def run_for(controller, clock, seconds):
    task = asyncio.ensure_future(controller.run())
    await clock.advance(seconds)
    task.cancel()


def test_all_pages_of_the_list_are_read(make_members, clock):
    """Members beyond the first page would otherwise be missing, and with them hubs."""
    controller, platform, _, _ = make_members(members(PAGE_ROWS + 20))
    asyncio.run(run_for(controller, clock, 0.1))
    assert controller.topology.count.value == PAGE_ROWS + 20
    assert [type(call) for call in platform.calls] == [ReadRange, ReadRange]


def test_daemon_that_is_no_hub_learns_of_hubs_from_a_hub(make_members, clock):
    """Otherwise hundreds of daemons read the list again and again."""
    large = OWN._replace(vm="hub-1", capacity=9.0, address="x:900")
    hubs = HubList(31, (large, OWN._replace(vm="hub-2", address="x:901")))
    content = msgspec.json.encode(hubs).decode()

    async def scenario():
        controller, platform, peers, hub = make_members([*members(30), large])
        task = asyncio.ensure_future(controller.run())
        await clock.advance(0.1)
        assert controller.topology.shared.value
        reads = len(platform.calls)
        hub.held = HeldContent("t", clock.monotonic() + 60.0, content)
        await clock.advance(20.0)
        task.cancel()
        assert len(platform.calls) == reads
        assert controller.topology.hubs.value == {"hub-1", "hub-2"}
        assert controller.topology.count.value == 31
        told = [item for item in peers.told if isinstance(item, SetMembers)]
        assert {item.vm for item in told[-1].members} == {"hub-1", "hub-2", OWN.vm}

    asyncio.run(scenario())


def test_hub_answers_only_daemons_that_are_listed(make_members, clock):
    """A daemon whose entry was removed must read the list, and registers again."""
    controller, _, _, _ = make_members(members(30))
    asyncio.run(run_for(controller, clock, 0.1))
    assert controller.held.value.may_read("vm-001")
    assert not controller.held.value.may_read("vm-999")


def test_daemon_that_is_not_listed_registers(make_members, clock):
    controller, platform, _, _ = make_members(members(30)[1:])
    asyncio.run(run_for(controller, clock, 1.0))
    (written,) = [call for call in platform.calls if isinstance(call, WriteRow)]
    assert written.value == list(OWN)


def test_entry_of_a_daemon_that_stays_away_is_removed(make_members, clock):
    """A daemon that stops keeps its entry, so the others must remove it if it does not return."""

    async def scenario():
        controller, platform, _, _ = make_members(members(4))
        task = asyncio.ensure_future(controller.run())
        await clock.advance(REMOVE_AFTER_S - 1.0)
        assert not any(isinstance(call, DeleteRow) for call in platform.calls)
        await clock.advance(2 * REMOVE_AFTER_S)
        task.cancel()
        deleted = [call.key for call in platform.calls if isinstance(call, DeleteRow)]
        assert deleted == ["member/vm-001"]
        assert controller.topology.count.value == 3

    asyncio.run(scenario())


def test_hubs_are_known_before_the_own_entry_is_written(make_members, clock):
    """Answers the pattern of a common restart: the writes of all daemons wait for each other, and
    daemons that do not know the hubs would call the replicas of the pools alone.
    """
    large = OWN._replace(vm="hub-1", capacity=9.0, address="x:900")

    async def scenario():
        controller, platform, _, _ = make_members([*members(30)[1:], large])
        platform.write = asyncio.get_running_loop().create_future
        task = asyncio.ensure_future(controller.run())
        await clock.advance(1.0)
        assert any(isinstance(call, WriteRow) for call in platform.calls)
        assert controller.topology.known.value
        assert "hub-1" in controller.topology.hubs.value
        task.cancel()

    asyncio.run(scenario())


def test_registration_that_failed_is_repeated(make_members, clock):
    """A hub that still lists an earlier entry of the daemon would never tell it to register."""

    async def scenario():
        controller, platform, _, hub = make_members(members(30)[1:])

        async def fail():
            return Failure(not_run("platform", ErrorCode.PLATFORM, "refused"))

        platform.write = fail
        task = asyncio.ensure_future(controller.run())
        await clock.advance(1.0)
        hub.held = HeldContent(controller.held.value.token, clock.monotonic() + 60.0)
        await clock.advance(10.0)
        task.cancel()
        assert sum(isinstance(call, WriteRow) for call in platform.calls) > 1

    asyncio.run(scenario())


@pytest.mark.parametrize("count", [4, 400])
def test_lost_entry_is_written_again_soon_after_a_restore(make_members, clock, count):
    """At a random time, because all daemons learn of the restore at once."""

    async def scenario():
        controller, platform, _, _ = make_members(members(count))
        task = asyncio.ensure_future(controller.run())
        await clock.advance(1.0)
        assert not any(isinstance(call, WriteRow) for call in platform.calls)
        platform.era = 2
        platform.rows = [row for row in platform.rows if row.key != f"member/{OWN.vm}"]
        controller.tell(EraChanged(2))
        await clock.advance(2 * count * WRITE_TIME_S + 0.1)
        task.cancel()
        (written,) = [call for call in platform.calls if isinstance(call, WriteRow)]
        assert (written.value, written.expect, written.era) == (list(OWN), 0, 2)

    asyncio.run(scenario())


def test_daemon_that_is_no_hub_learns_of_the_restore_from_a_hub(make_members, clock):
    """It calls the platform too rarely to learn of it by itself."""
    large = OWN._replace(vm="hub-1", capacity=9.0, address="x:900")

    async def scenario():
        controller, platform, _, hub = make_members([*members(30), large])
        task = asyncio.ensure_future(controller.run())
        await clock.advance(0.1)
        token = controller.held.value.token
        hub.held = HeldContent(token, clock.monotonic() + 60.0)
        await clock.advance(5.0)
        reads = len(platform.calls)
        platform.era = 2
        platform.rows = [row for row in platform.rows if row.key != f"member/{OWN.vm}"]
        hub.held = hub.held._replace(era=2)
        await clock.advance(5.0)
        task.cancel()
        calls = platform.calls[reads:]
        assert any(isinstance(call, WriteRow) and call.era == 2 for call in calls)

    asyncio.run(scenario())


def test_pages_of_different_eras_are_no_list(make_members, clock):
    """Members between the pages could be missing, and with them hubs."""
    controller, platform, _, _ = make_members(members(PAGE_ROWS + 20))
    ask = platform.ask

    async def restore_after_first_page(message):
        reply = await ask(message)
        platform.era = 2
        return reply

    platform.ask = restore_after_first_page

    async def scenario():
        task = asyncio.ensure_future(controller.run())
        await clock.advance(0.1)
        assert not controller.topology.known.value
        await clock.advance(1.0)
        assert controller.topology.count.value == PAGE_ROWS + 20
        task.cancel()

    asyncio.run(scenario())


SOUND_ROW = ["vm-1", "a", "10.0.0.1:7740", 5, 2.0]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        (0, ""),
        (0, "vm-2"),
        (0, "vm-1\n"),
        (0, "v" * 300),
        (1, "a\x00"),
        (1, ""),
        (2, "10.0.0.1"),
        (2, "10.0.0.1:0"),
        (2, "10.0.0.1:99999"),
        (2, "10.0.0.1:" + "9" * 5000),
        (2, "10.0.0.1/x:80"),
        (2, ":80"),
        (3, -1),
        (3, True),
        (3, 2**64),
        (4, float("nan")),
        (4, float("inf")),
        (4, -1.0),
        (4, True),
        (4, 10**400),
    ],
)
def test_odd_row_gives_no_member(field, value):
    """Such a member was dialled, replaced another one, or made its order undefined."""
    assert parse_member(Row("member/vm-1", 1, SOUND_ROW, 0.0)) == Member(*SOUND_ROW)
    odd = [value if index == field else item for index, item in enumerate(SOUND_ROW)]
    assert parse_member(Row("member/vm-1", 1, odd, 0.0)) is None


def test_odd_entry_of_the_own_vm_is_replaced(make_members, clock):
    """The daemon expected no entry, so that each registration was refused."""
    controller, platform, _, _ = make_members(members(3))
    platform.rows[0] = Row(f"member/{OWN.vm}", 7, "odd", 0.0)
    asyncio.run(run_for(controller, clock, 1.0))
    assert [call.expect for call in platform.calls if isinstance(call, WriteRow)] == [7]


def test_unreadable_members_are_logged_once(make_members, clock, monkeypatch):
    """A line at each read hides others."""
    logged = []
    monkeypatch.setattr(
        module, "log_event", lambda event, *args, **fields: logged.append((event, fields))
    )
    controller, platform, _, _ = make_members(members(3))
    platform.rows[1] = Row("member/odd\n", 7, "odd", 0.0)
    asyncio.run(run_for(controller, clock, 30.0))
    found = [fields for event, fields in logged if event == "member_unreadable"]
    assert len([call for call in platform.calls if isinstance(call, ReadRange)]) > 3
    assert len(found) == 1
    assert "member/odd" in found[0]["key"]


@pytest.mark.parametrize(
    "change", [{"address": "10.0.0.1:99999"}, {"vm": "hub\n"}, {"incarnation": -1}]
)
@pytest.mark.parametrize("count", [31, -1, 10**15])
def test_hubs_out_of_range_are_a_failed_read(make_members, change, count):
    """They were dialled, and their number divided this daemon's rate of platform calls."""
    controller, *_ = make_members(members(3))
    hub = OWN._replace(vm="hub-1", address="x:900")
    odd = HubList(count, (hub, hub._replace(**change)))
    held = HeldContent("t", 1.0, msgspec.json.encode(odd).decode())
    assert not controller._decode_hub_read(held)
    assert not controller._decode_hub_read(held._replace(content="[" * 10_000))
