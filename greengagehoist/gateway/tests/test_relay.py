"""Guards against treating a hub's read as newer than it is, and against bursts of reads."""

import asyncio
import random

import pytest

from greengagehoist.gateway.controllers import Reach, RelayController, SharedReads, Topology
from greengagehoist.gateway.controllers._relay import (
    ANSWER_TIMEOUT_S,
    AddSource,
    AskHub,
    HeldContent,
)
from greengagehoist.gateway.controllers._replicas import encode_replicas
from greengagehoist.gateway.controllers._shared_reads import (
    Changed,
    Confirmed,
    HubStale,
    ReadNow,
    ask_hubs,
    next_read_delay_s,
    should_read_platform,
)
from greengagehoist.gateway.tests.recorder import Recorder, deliver
from greengagehoist.membership import Member
from greengagehoist.peers import FromPeer, SendTo, SharedRead, SharedReadRequest
from greengagehoist.replicas import Replica
from greengagehoist.utils import Controller, Published

# Two hubs in the data centre "a", in the order in which they read, and one in "b".
FIRST, SECOND = Member("hub-a1", "a", "x:1", 1), Member("hub-a2", "a", "x:2", 1)
FAR = Member("hub-b", "b", "x:3", 1)
HUBS = frozenset({"hub-a1", "hub-a2", "hub-b"})


@pytest.fixture
def make_relay(clock):
    """Return a function that builds the relay of one VM and the recorder of its peers."""

    def make(vm="vm-1", ready=HUBS):
        peers = Recorder("peers")
        links = tuple(item for item in (FIRST, SECOND, FAR) if item.vm != vm)
        topology = Topology(
            Published(True), Published(20), Published(links), Published(HUBS), Published(True)
        )
        relay = RelayController(
            peers, Member(vm, "a", "x:9", 1), topology, Published(Reach(ready, ready)), clock
        )
        return relay, peers

    return make


def hubs_asked(relay, peers, count=4):
    """Return the hubs that the relay asks when each one before gave no usable answer."""
    for skipped in range(count):
        deliver(relay, AskHub("deployment", "7", skipped))
    return [item.vm for item in peers.told if isinstance(item, SendTo)]


def test_time_of_a_hubs_read_is_the_query_time_minus_its_age(make_relay, clock):
    """A delay of the answer must not make the read look newer."""

    async def scenario():
        relay, peers = make_relay()
        asked_at = clock.monotonic()
        replies = deliver(relay, AskHub("deployment", "6"))
        (question,) = peers.sent(SharedReadRequest)
        await clock.advance(ANSWER_TIMEOUT_S / 2)
        answer = SharedRead(question.number, "7", 0.4, "text")
        deliver(relay, FromPeer("hub-a1", "a", 1, answer))
        assert replies == [HeldContent("7", asked_at - 0.4, "text")]

    asyncio.run(scenario())


def test_query_without_an_answer_ends(make_relay, clock):
    async def scenario():
        relay, _ = make_relay()
        replies = deliver(relay, AskHub("deployment", "7"))
        await asyncio.sleep(0)
        await clock.advance(ANSWER_TIMEOUT_S * 2)
        while not relay._mailbox.empty():
            deliver(relay, relay._mailbox.get_nowait().message)
        assert replies == [None]

    asyncio.run(scenario())


def test_hubs_of_the_own_data_centre_are_asked_first_and_then_another(make_relay):
    async def scenario():
        near = hubs_asked(*make_relay())[:2]
        assert set(near) == {"hub-a1", "hub-a2"}
        assert hubs_asked(*make_relay()) == [*near, "hub-b"]
        assert hubs_asked(*make_relay(vm="vm-2"))[:2] == near
        assert hubs_asked(*make_relay(ready=frozenset({"hub-b"}))) == ["hub-b"]
        assert hubs_asked(*make_relay(ready=frozenset())) == []

    asyncio.run(scenario())


def test_one_hub_of_a_data_centre_reads_and_the_other_asks_it(make_relay):
    """Otherwise each hub reads, which doubles the calls of the platform."""

    async def scenario():
        reader, deputy = hubs_asked(*make_relay())[:2]
        assert hubs_asked(*make_relay(vm=reader)) == []
        assert hubs_asked(*make_relay(vm=deputy)) == [reader]
        assert hubs_asked(*make_relay(vm=deputy, ready=HUBS - {reader})) == []

    asyncio.run(scenario())


def test_hub_answers_with_the_age_of_its_read_and_content_that_the_asker_lacks(make_relay, clock):
    relay, peers = make_relay("hub-a1")
    asyncio.run(clock.advance(5.0))
    held = HeldContent("7", clock.monotonic() - 1.5, "text", frozenset({"vm-1"}))
    deliver(relay, AddSource("deployment", Published(held)))
    queries = [("vm-1", "deployment", "7"), ("vm-1", "deployment", "6")]
    queries += [("vm-2", "deployment", "6"), ("vm-1", "replicas", "")]
    for number, (vm, topic, token) in enumerate(queries):
        deliver(relay, FromPeer(vm, "a", 1, SharedReadRequest(number, topic, token)))
    assert peers.sent(SharedRead) == [
        SharedRead(0, "7", 1.5, ""),
        SharedRead(1, "7", 1.5, "text"),
        SharedRead(2, "", 0.0, ""),
        SharedRead(3, "", 0.0, ""),
    ]


class FixedAnswers(Controller):
    """Gives fixed answers, one for each hub that is asked in turn."""

    def __init__(self, *found):
        super().__init__("relay")
        self.found = found

    async def ask(self, message):
        return self.found[message.skipped] if message.skipped < len(self.found) else None


NEW, SAME = HeldContent("8", -1.0, "text"), HeldContent("7", -1.0)


@pytest.mark.parametrize(
    ("found", "answer"),
    [
        ((SAME,), Confirmed(-1.0)),
        ((NEW,), Changed(NEW)),
        ((SAME._replace(at=-3.0),), HubStale()),
        ((NEW._replace(at=-3.0),), HubStale()),
        ((None,), ReadNow()),
        ((None, SAME), Confirmed(-1.0)),
        ((SAME._replace(at=-3.0), NEW), Changed(NEW)),
        ((SAME._replace(at=-3.0), None, SAME), Confirmed(-1.0)),
        ((SAME._replace(at=-3.0), None, None), HubStale()),
        ((NEW._replace(content=""),), ReadNow()),
        ((SAME._replace(era=3),), Confirmed(-1.0, 3)),
    ],
)
def test_only_a_fresh_read_of_a_hub_replaces_an_own_one(found, answer, clock):
    assert asyncio.run(ask_hubs(FixedAnswers(*found), "deployment", "7", clock, 2.0)) == answer


def test_daemons_do_not_all_read_while_hubs_cannot():
    """Otherwise 64 daemons make 400 platform calls per second in an outage; all are refused."""
    assert should_read_platform(ReadNow(), 0.0, False)
    assert not should_read_platform(HubStale(), 1.0, True)
    assert should_read_platform(HubStale(), 1.6, True)
    assert not should_read_platform(HubStale(), 1.6, False)
    assert should_read_platform(HubStale(), 3.1, False)
    assert not should_read_platform(Confirmed(1.0), 9.0, True)
    assert not should_read_platform(Changed(NEW), 9.0, True)


def test_daemon_that_holds_nothing_reads_the_platform(clock):
    topology = Topology(
        Published(True), Published(20), Published(()), Published(HUBS), Published(True)
    )
    relay = FixedAnswers(NEW)
    reads = SharedReads(relay, "deployment", "vm-1", topology, clock, random.Random(1), 2.0)
    assert asyncio.run(reads.next_step("")) == ReadNow()
    assert asyncio.run(reads.next_step("7")) == Changed(NEW)


def test_read_periods_of_hub_and_daemon_add_up_to_the_usual_period():
    rng = random.Random(1)
    longest = {
        step: max(next_read_delay_s(step, True, 1.8, True, rng) for _ in range(100))
        for step in (ReadNow(), Confirmed(0.0))
    }
    assert sum(longest.values()) < 1.8 * 1.06


def test_equal_lists_have_equal_tokens():
    one = Replica("i-1", "s", "10.0.0.1", 80, "a", 1, 5, False)
    held = encode_replicas((one,), 1.0)
    assert held == encode_replicas((Replica(*one),), 1.0)
    assert held.token != encode_replicas((one._replace(leaving=True),), 1.0).token


def test_hub_of_an_earlier_era_is_not_believed(clock):
    """Its read may be of the time before the store was restored."""
    relay = FixedAnswers(SAME._replace(era=1), NEW._replace(era=2))
    answer = asyncio.run(ask_hubs(relay, "deployment", "7", clock, 2.0, era=2))
    assert answer == Changed(NEW._replace(era=2))
    only_early = FixedAnswers(SAME._replace(era=1))
    assert asyncio.run(ask_hubs(only_early, "deployment", "7", clock, 2.0, era=2)) == HubStale()


@pytest.mark.parametrize("age_s", [float("nan"), float("inf"), -1.0, -1e300])
def test_answer_with_an_impossible_age_is_no_answer(make_relay, age_s):
    """A negative age made an old read look newer than the question, and keys stayed valid."""

    async def scenario():
        relay, peers = make_relay()
        replies = deliver(relay, AskHub("deployment", "6"))
        (question,) = peers.sent(SharedReadRequest)
        answer = SharedRead(question.number, "6", age_s, "")
        deliver(relay, FromPeer("hub-a1", "a", 1, answer))
        assert replies == [None]

    asyncio.run(scenario())
