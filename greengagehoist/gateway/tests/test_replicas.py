"""Guards against excessive log lines, odd entries, and lists of another era of the store."""

import asyncio
import random

import pytest
from returns.result import Failure, Success

from greengagehoist.base import ErrorCode, Outcome, StepError
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
from greengagehoist.platform_client import ReplicaPage
from greengagehoist.replicas import Replica
from greengagehoist.replicas._table import RETURN_GRACE_S
from greengagehoist.transfers import apply_change, encode_change, encode_whole
from greengagehoist.utils import Published


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


def test_change_of_one_replica_is_small():
    """Each change moved the whole list to each daemon."""
    before = replicas(200)
    after = (*before[:70], before[70]._replace(leaving=True), *before[71:])
    texts = [encode_replicas(found, 0.0).content for found in (before, after)]
    change = encode_change(*texts)
    assert apply_change(texts[0], change) == texts[1]
    assert len(change) < 200 < len(encode_whole(texts[1]))


READ_PERIOD_S = 1.2
AWAY_FROM_S, AWAY_UNTIL_S = 4.0, 7.0
# Reads are late by this at most.
STEP_S = 0.05


class PlatformAway(Recorder):
    """Answers no read for three seconds; reads begin anew after a call has failed.

    :param silent_s: seconds after which a read without an answer fails.
    :param listed: returns the replicas that are listed at a time.
    """

    def __init__(self, clock, silent_s, listed):
        super().__init__("platform")
        self.clock = clock
        self.silent_s = silent_s
        self.listed = listed
        self.began = clock.monotonic()
        self.failed_at = Published(float("-inf"))

    async def ask(self, message):
        sent_at = self.clock.monotonic()
        await self.clock.sleep(0.01)
        if AWAY_FROM_S <= sent_at - self.began < AWAY_UNTIL_S:
            await self.clock.sleep(self.silent_s)
            self.failed_at.value = sent_at
            return Failure(StepError("platform", "", Outcome.UNKNOWN, ErrorCode.PLATFORM, "away"))
        return Success(ReplicaPage(self.listed(sent_at - self.began), (), "", 1))


@pytest.fixture
def known_over_time(clock):
    """Return a function that plays a platform that was away; it returns the known ids by time."""

    def play(platform, first_read_s):
        async def scenario():
            topology = topology_of(Member("vm-1", "a", "x:1", 1))
            reads = SharedReads(
                NoHub("relay"), "replicas", "vm-1", topology, clock, random.Random(1), READ_PERIOD_S
            )
            controller = ReplicaController(platform, reads, clock, (), platform.failed_at)
            await clock.advance(first_read_s)
            task = asyncio.get_running_loop().create_task(controller.run())
            known = {}
            while (at := clock.monotonic() - platform.began) < AWAY_UNTIL_S + 5.0:
                known[at] = frozenset(controller.table.value.replicas)
                await clock.advance(STEP_S)
            task.cancel()
            return known

        return asyncio.run(scenario())

    return play


class NoHub(Recorder):
    """Has no hub to ask."""

    async def ask(self, message):
        return None


@pytest.mark.parametrize("silent_s", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("first_read_s", [0.0, 0.2, 0.4, 0.6, 0.8, 1.0])
@pytest.mark.parametrize("removed_s", [5.0, AWAY_UNTIL_S + 0.4])
def test_replica_that_left_around_a_cut_is_not_kept(
    clock, known_over_time, silent_s, first_read_s, removed_s
):
    """Guards against requests to replicas that left while only this daemon was cut off.

    They were kept for 2.5 s from the time at which the last read had failed, and for a read period.
    """

    def listed(now):
        return replicas(3) if now < removed_s else replicas(2)

    known = known_over_time(PlatformAway(clock, silent_s, listed), first_read_s)
    late = {at for at, ids in known.items() if "i-2" in ids and at > AWAY_UNTIL_S}
    assert max(late, default=AWAY_UNTIL_S) <= AWAY_UNTIL_S + RETURN_GRACE_S + 2 * STEP_S
    assert all({"i-0", "i-1"} <= ids for at, ids in known.items() if at > 1.5)


@pytest.mark.parametrize("silent_s", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("first_read_s", [0.0, 0.2, 0.4, 0.6, 0.8, 1.0])
def test_replica_whose_entry_lapsed_in_an_outage_is_kept(
    clock, known_over_time, silent_s, first_read_s
):
    """Guards against pools that are empty after an outage, until replicas write their entries."""

    def listed(now):
        is_back = now < AWAY_FROM_S or now >= AWAY_UNTIL_S + READ_PERIOD_S
        return replicas(3) if is_back else replicas(1)

    known = known_over_time(PlatformAway(clock, silent_s, listed), first_read_s)
    assert {len(ids) for at, ids in known.items() if at > 1.5} == {3}


DRAIN_S = 3.0


class StaleHub(Recorder):
    """A hub that is cut off from the platform: it has read nothing since ``AWAY_FROM_S``."""

    def __init__(self, clock):
        super().__init__("relay")
        self.clock = clock
        self.began = clock.monotonic()

    async def ask(self, message):
        at = min(self.clock.monotonic(), self.began + AWAY_FROM_S)
        return encode_replicas(replicas(3), at)._replace(era=1)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("left_s", [5.0, 6.0, 7.0, 8.0, 9.0])
def test_replica_that_left_while_the_hubs_are_cut_off_is_dropped(clock, seed, left_s):
    """Guards against sends to replicas that left more than the drain time ago.

    Each old answer of a hub counted as an outage of the platform, so that the list which the daemon
    then read itself removed nothing until the hubs could read again.
    """

    async def scenario():
        topology = topology_of(Member("vm-1", "a", "x:1", 1))
        topology.hubs.value, topology.shared.value = frozenset({"hub"}), True
        hub, platform = StaleHub(clock), PlatformAway(clock, 1.0, lambda now: listed(now))
        platform.began -= 100.0  # It is never away.
        reads = SharedReads(
            hub, "replicas", "vm-1", topology, clock, random.Random(seed), 0.6 * DRAIN_S
        )
        controller = ReplicaController(platform, reads, clock, (), platform.failed_at)
        task = asyncio.get_running_loop().create_task(controller.run())
        known = {}
        while (at := clock.monotonic() - hub.began) < left_s + 2 * DRAIN_S:
            known[at] = frozenset(controller.table.value.replicas)
            await clock.advance(STEP_S)
        task.cancel()
        return known

    def listed(now):
        return replicas(3) if now - 100.0 < left_s else replicas(2)

    known = asyncio.run(scenario())
    late = {at for at, ids in known.items() if "i-2" in ids}
    assert left_s - STEP_S <= max(late) <= left_s + DRAIN_S - 5 * STEP_S
