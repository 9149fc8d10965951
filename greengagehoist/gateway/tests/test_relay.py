"""Guards against treating a hub's read as newer than it is, and against bursts of reads."""

import asyncio
import json
import random

import pytest

from greengagehoist.gateway.controllers import Reach, RelayController, SharedReads, Topology
from greengagehoist.gateway.controllers._relay import (
    ANSWER_TIMEOUT_S,
    PIECE_TIMEOUT_S,
    READING_WAIT_S,
    AddSource,
    AskHub,
    HeldContent,
    Waiting,
    _TimedOut,
)
from greengagehoist.gateway.controllers._replicas import encode_replicas
from greengagehoist.gateway.controllers._shared_reads import (
    MAX_BUSY_S,
    PERIOD_JITTER,
    QUERY_PERIOD_FRACTION,
    STALE_CONFIRM_S,
    Changed,
    Confirmed,
    HubBusy,
    HubStale,
    ReadNow,
    ask_hubs,
    next_read_delay_s,
    should_read_platform,
)
from greengagehoist.gateway.tests.recorder import Recorder, deliver
from greengagehoist.membership import Member
from greengagehoist.peers import (
    ContentOffer,
    ContentPiece,
    ContentQuery,
    FromPeer,
    PieceQuery,
    SendTo,
)
from greengagehoist.replicas import Replica
from greengagehoist.transfers import ContentVersions, TransferSlots, content_token, decode_whole
from greengagehoist.utils import Controller, Published

# Two hubs in the data centre "a", in the order in which they read, and one in "b".
FIRST, SECOND = Member("hub-a1", "a", "x:1", 1), Member("hub-a2", "a", "x:2", 1)
FAR = Member("hub-b", "b", "x:3", 1)
HUBS = frozenset({"hub-a1", "hub-a2", "hub-b"})
TEXT = '{"routes":[{"name":"a"},{"name":"b"}]}'
TOKEN = content_token(TEXT)
# Compresses to several pieces.
LARGE = json.dumps([{"key": f"{random.Random(1).getrandbits(800_000):x}"}, {}, {}])
LARGE_TOKEN = content_token(LARGE)


def offer_of(number, text=TEXT, age_s=0.0, **fields):
    """Return a hub's offer of a whole content."""
    versions = ContentVersions()
    versions.note(content_token(text), text)
    payload = versions.payload("")
    offer = ContentOffer(number, payload.token, age_s, digest=payload.digest)
    return offer._replace(size=len(payload.data), data=payload.data)._replace(**fields)


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
        (question,) = peers.sent(ContentQuery)
        await clock.advance(ANSWER_TIMEOUT_S / 2)
        offer = offer_of(question.number, age_s=0.4)
        deliver(relay, FromPeer("hub-a1", "a", 1, offer))
        at, answered_at = asked_at - 0.4, clock.monotonic()
        assert replies == [HeldContent(TOKEN, at, TEXT, answered_at=answered_at)]

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
        deliver(relay, FromPeer(vm, "a", 1, ContentQuery(number, topic, token)))
    same, other, unlisted, unknown = peers.sent(ContentOffer)
    assert same == ContentOffer(0, "7", 1.5)
    assert (other.token, other.age_s, decode_whole(other.data)) == ("7", 1.5, "text")
    assert unlisted == ContentOffer(2, "", 0.0)
    assert unknown == ContentOffer(3, "", 0.0)


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
        ((Waiting(0.2), SAME), Confirmed(-1.0)),
        ((Waiting(0.2), NEW), Changed(NEW)),
        ((Waiting(0.2), None, Waiting(0.3)), HubBusy(0.3)),
        ((Waiting(0.2), SAME._replace(at=-3.0)), HubBusy(0.2)),
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
        (question,) = peers.sent(ContentQuery)
        answer = ContentOffer(question.number, "6", age_s)
        deliver(relay, FromPeer("hub-a1", "a", 1, answer))
        assert replies == [None]

    asyncio.run(scenario())


@pytest.fixture
def pulling(make_relay, clock):
    """Return a daemon's relay that asks a hub, the hub's relay, and a function that passes on."""
    asker, asker_peers = make_relay()
    hub, hub_peers = make_relay("hub-a1")
    deliver(hub, AddSource("deployment", Published(HeldContent(LARGE_TOKEN, 0.0, LARGE))))

    def exchange(limit=1000):
        """Pass messages on between the two; return how many the hub has sent."""
        passed = 0
        while passed < limit:
            to_hub, asker_peers.told[:] = list(asker_peers.told), []
            for item in to_hub:
                deliver(hub, FromPeer("vm-1", "a", 1, item.message))
            to_asker, hub_peers.told[:] = list(hub_peers.told), []
            if not to_asker:
                break
            for item in to_asker:
                deliver(asker, FromPeer("hub-a1", "a", 1, item.message))
                passed += 1
        return passed

    return asker, hub, exchange


def drain(controller):
    while not controller._mailbox.empty():
        deliver(controller, controller._mailbox.get_nowait().message)


def test_large_content_is_pulled_in_pieces(pulling):
    async def scenario():
        asker, hub, exchange = pulling
        replies = deliver(asker, AskHub("deployment", "old"))
        assert exchange() > 5
        assert [item.content for item in replies] == [LARGE]
        assert asker.transfers == hub.transfers == 0
        assert asker.received["deployment"] == hub.offers.sent["deployment"] > 100_000

    asyncio.run(scenario())


def test_slow_transfer_goes_on_while_pieces_arrive(pulling, clock):
    """A time-out for the whole answer discarded what had arrived, again and again."""

    async def scenario():
        asker, _, exchange = pulling
        replies = deliver(asker, AskHub("deployment", "old"))
        exchange(limit=1)
        for _ in range(4):
            await clock.advance(PIECE_TIMEOUT_S * 0.9)
            drain(asker)
            exchange(limit=1)
        assert replies == [] and asker.transfers == 1
        exchange()
        assert replies[0].content == LARGE

    asyncio.run(scenario())


def test_transfer_is_continued_from_the_next_hub(pulling, clock):
    """A hub that was lost during a transfer cost all that had arrived."""

    async def scenario():
        asker, hub, exchange = pulling
        replies = deliver(asker, AskHub("deployment", "old"))
        exchange(limit=4)
        await clock.advance(2 * PIECE_TIMEOUT_S)
        drain(asker)
        assert replies == [None]
        sent = hub.offers.sent["deployment"]
        replies = deliver(asker, AskHub("deployment", "old", 1))
        asker.peers.told[:] = [item._replace(vm="hub-a1") for item in asker.peers.told]
        exchange()
        assert replies[0].content == LARGE
        assert hub.offers.sent["deployment"] < sent + asker.received["deployment"]

    asyncio.run(scenario())


def test_busy_hub_says_so_at_once_and_is_not_silent(pulling):
    async def scenario():
        asker, hub, exchange = pulling
        hub.offers.slots = TransferSlots(limit=1)
        hub.offers.slots.admit("vm-2", "deployment", 0.0)
        replies = deliver(asker, AskHub("deployment", "old"))
        assert exchange() == 1
        assert isinstance(replies[0], Waiting)

    asyncio.run(scenario())


def test_content_that_is_too_old_is_not_transferred(pulling, clock):
    async def scenario():
        asker, _, exchange = pulling
        await clock.advance(5.0)
        replies = deliver(asker, AskHub("deployment", "old", max_age_s=2.0))
        assert exchange() == 1
        assert (replies[0].token, replies[0].content) == (LARGE_TOKEN, "")

    asyncio.run(scenario())


def test_change_that_does_not_fit_is_replaced_by_the_whole_content(pulling):
    """Guards against a daemon that asks for the same change for ever."""

    async def scenario():
        asker, hub, exchange = pulling
        earlier, later = TEXT, TEXT.replace("b", "c") + " " * 50
        for text in (earlier, later):
            held = HeldContent(content_token(text), 0.0, text)
            deliver(hub, AddSource("deployment", Published(held)))
            hub.offers._versions["deployment"].note(held.token, text)
        own = HeldContent(TOKEN, 0.0, "another text under this token")
        deliver(asker, AddSource("deployment", Published(own)))
        replies = deliver(asker, AskHub("deployment", TOKEN))
        assert exchange() == 2
        assert replies[0].content == later

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "fields",
    [{"size": -1}, {"size": 10**12}, {"table": "x"}, {"wait_s": float("nan")}, {"digest": "d"}],
)
def test_offer_with_impossible_fields_is_no_answer(make_relay, fields):
    async def scenario():
        relay, peers = make_relay()
        replies = deliver(relay, AskHub("deployment", "6"))
        (question,) = peers.sent(ContentQuery)
        deliver(relay, FromPeer("hub-a1", "a", 1, offer_of(question.number, **fields)))
        assert replies == [None]

    asyncio.run(scenario())


def test_piece_of_an_unknown_payload_is_empty(make_relay):
    relay, peers = make_relay("hub-a1")
    deliver(relay, FromPeer("vm-1", "a", 1, PieceQuery(3, "deployment", "d", 0)))
    assert peers.sent(ContentPiece) == [ContentPiece(3, 0, b"")]


def test_daemon_reads_itself_if_hubs_stay_busy(clock):
    """A hub that never has a free place would keep a daemon from the configuration."""
    topology = Topology(
        Published(True), Published(20), Published(()), Published(HUBS), Published(True)
    )
    relay = FixedAnswers(Waiting(0.2))
    reads = SharedReads(relay, "deployment", "vm-1", topology, clock, random.Random(1), 2.0)
    assert asyncio.run(reads.next_step("7")) == HubBusy(0.2)
    asyncio.run(clock.advance(MAX_BUSY_S))
    assert asyncio.run(reads.next_step("7")) == ReadNow()


def test_daemon_reads_itself_if_hubs_are_busy_and_stale_by_turns(clock):
    """Each kind of answer began the wait for the other one anew, so it had no end."""
    topology = Topology(
        Published(True), Published(20), Published(()), Published(HUBS), Published(True)
    )
    relay = FixedAnswers(Waiting(0.2))
    reads = SharedReads(relay, "deployment", "vm-1", topology, clock, random.Random(1), 2.0)
    old = HeldContent("7", -100.0)
    steps = []
    for answer in [Waiting(0.2), old] * 4:
        relay.found = (answer,)
        steps.append(asyncio.run(reads.next_step("7")))
        asyncio.run(clock.advance(0.2))
    assert ReadNow() in steps


def test_keys_are_still_confirmed_when_hubs_are_busy():
    """The longest wait for busy hubs, with the largest read period, exceeded the age of valid keys."""
    query_s = 1.8 * QUERY_PERIOD_FRACTION * (1 + PERIOD_JITTER)
    assert 1.8 + query_s + MAX_BUSY_S + 0.4 + 1.0 < 4.8


def test_daemon_that_was_held_up_does_not_take_the_hub_for_silent(make_relay, clock):
    """The answer had arrived, but the timer was handled before it."""

    async def scenario():
        relay, _ = make_relay()
        replies = deliver(relay, AskHub("deployment", "7"))
        await clock.advance(2 * ANSWER_TIMEOUT_S)
        deliver(relay, _TimedOut(1, ANSWER_TIMEOUT_S))
        assert replies == []
        deliver(relay, FromPeer("hub-a1", "a", 1, offer_of(1)))
        assert [item.content for item in replies] == [TEXT]

    asyncio.run(scenario())


def test_hub_that_receives_a_large_response_is_waited_for(pulling, clock):
    """Its read grew old meanwhile, and all daemons read the large response themselves."""

    async def scenario():
        asker, hub, exchange = pulling
        await clock.advance(5.0)
        hub.arriving.value = 1
        replies = deliver(asker, AskHub("deployment", "old", max_age_s=2.0))
        assert exchange() == 1
        assert replies == [Waiting(READING_WAIT_S)]
        hub.arriving.value = 0
        replies = deliver(asker, AskHub("deployment", "old", max_age_s=2.0))
        exchange()
        assert isinstance(replies[0], HeldContent)

    asyncio.run(scenario())


@pytest.fixture
def make_reads(clock):
    """Return a function that builds the reads of a daemon with these answers of hubs."""

    def make(*found):
        topology = Topology(
            Published(True), Published(20), Published(()), Published(HUBS), Published(True)
        )
        relay = FixedAnswers(*found)
        return SharedReads(relay, "deployment", "vm-1", topology, clock, random.Random(1), 2.0)

    return make


def test_daemons_read_only_if_the_hubs_reads_stay_old(make_reads, clock):
    """All daemons read a large configuration when their hub's read of it had taken long."""

    async def scenario():
        reads = make_reads(SAME._replace(at=-3.0))
        assert await reads.next_step("7") == HubStale()
        await clock.advance(STALE_CONFIRM_S)
        assert await reads.next_step("7") == ReadNow()
        # Later ones keep their distance.
        await clock.advance(STALE_CONFIRM_S)
        assert await reads.next_step("7") == HubStale()

    asyncio.run(scenario())


def test_read_that_took_long_is_followed_by_the_next_at_once(make_reads, clock):
    """What a slow read proves is old when it ends, and others cannot use it."""

    async def scenario():
        reads = make_reads(None)
        step = await reads.next_step("7")
        await clock.advance(3.0)
        pause = asyncio.ensure_future(reads.pause(step, True))
        await clock.advance(0.05)
        assert pause.done()

    asyncio.run(scenario())
