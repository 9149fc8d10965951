"""Guards against treating a hub's read as newer than it is, and against bursts of reads."""

import asyncio
import random

import pytest

from greengagehoist.gateway.controllers import Reach, RelayController
from greengagehoist.gateway.controllers._relay import (
    ANSWER_TIMEOUT_S,
    AskHub,
    Confirmed,
    HubStale,
    ReadNow,
    ask_relay,
    next_read_delay_s,
    should_read_platform,
)
from greengagehoist.gateway.controllers._replicas import list_token
from greengagehoist.gateway.tests.recorder import Recorder, deliver
from greengagehoist.membership import Member
from greengagehoist.peers import FromPeer, ReadConfirmation, ReadConfirmationRequest, SendTo
from greengagehoist.replicas import Replica
from greengagehoist.utils import Controller, Published

HUB_NEAR, HUB_FAR = Member("hub-a", "a", "x:1", 1), Member("hub-b", "b", "x:2", 1)
HUBS = frozenset({"hub-a", "hub-b"})


@pytest.fixture
def make_relay(clock):
    """Return a function that builds the relay of one VM and the recorder of its peers."""

    def make(vm="vm-1", ready=HUBS):
        peers = Recorder("peers")
        relay = RelayController(
            peers,
            Member(vm, "a", "x:3", 1),
            Published(True),
            Published(HUBS),
            Published((HUB_NEAR, HUB_FAR)),
            Published(Reach(ready, ready)),
            clock,
        )
        return relay, peers

    return make


def test_confirmation_time_is_the_query_time_minus_the_age_of_the_hubs_read(make_relay, clock):
    """A delay of the answer must not make the read look newer."""

    async def scenario():
        relay, peers = make_relay()
        asked_at = clock.monotonic()
        replies = deliver(relay, AskHub("deployment"))
        (question,) = peers.sent(ReadConfirmationRequest)
        await clock.advance(ANSWER_TIMEOUT_S / 2)
        answer = ReadConfirmation(question.number, "7", 0.4)
        deliver(relay, FromPeer("hub-a", "a", 1, answer))
        assert replies == [Confirmed("7", asked_at - 0.4)]

    asyncio.run(scenario())


def test_daemon_reads_the_platform_if_the_hub_does_not_answer(make_relay, clock):
    async def scenario():
        relay, _ = make_relay()
        replies = deliver(relay, AskHub("deployment"))
        await asyncio.sleep(0)
        await clock.advance(ANSWER_TIMEOUT_S * 2)
        while not relay._mailbox.empty():
            deliver(relay, relay._mailbox.get_nowait().message)
        assert replies == [None]

    asyncio.run(scenario())


def test_hub_in_the_own_data_centre_is_asked_first(make_relay):
    async def scenario():
        relay, peers = make_relay()
        deliver(relay, AskHub("deployment"))
        relay, other = make_relay(ready=frozenset({"hub-b"}))
        deliver(relay, AskHub("deployment"))
        targets = [item.vm for item in peers.told + other.told if isinstance(item, SendTo)]
        assert targets == ["hub-a", "hub-b"]

    asyncio.run(scenario())


def test_hubs_and_daemons_without_hubs_read_the_platform(make_relay):
    for vm, ready in (("hub-a", HUBS), ("vm-1", frozenset())):
        relay, _ = make_relay(vm, ready)
        assert deliver(relay, AskHub("deployment")) == [None]


def test_hub_answers_with_the_age_of_its_newest_read(make_relay, clock):
    relay, peers = make_relay("hub-a")
    asyncio.run(clock.advance(5.0))
    relay.sources["deployment"] = Published(Confirmed("7", clock.monotonic() - 1.5))
    for topic in ("deployment", "replicas"):
        deliver(relay, FromPeer("vm-1", "a", 1, ReadConfirmationRequest(3, topic)))
    assert peers.sent(ReadConfirmation) == [
        ReadConfirmation(3, "7", 1.5),
        ReadConfirmation(3, "", 0.0),
    ]


class FixedAnswer(Controller):
    """Answers each query with the same confirmation."""

    def __init__(self, found):
        super().__init__("relay")
        self.found = found

    async def ask(self, message):
        return self.found


@pytest.mark.parametrize(
    ("token", "found", "answer"),
    [
        ("7", Confirmed("7", 99.0), Confirmed("7", 99.0)),
        ("7", Confirmed("8", 99.0), ReadNow()),
        ("7", Confirmed("7", 97.0), HubStale()),
        ("7", Confirmed("8", 97.0), HubStale()),
        ("7", None, ReadNow()),
        ("", Confirmed("", 99.0), ReadNow()),
    ],
)
def test_only_a_fresh_confirmation_of_the_same_content_replaces_a_read(token, found, answer):
    got = asyncio.run(ask_relay(FixedAnswer(found), "deployment", token, 100.0, 2.0))
    assert got == answer


def test_daemons_do_not_all_read_while_hubs_cannot():
    """Otherwise 64 daemons make 400 platform calls per second in an outage; all are refused."""
    assert should_read_platform(ReadNow(), 0.0)
    assert not should_read_platform(HubStale(), 1.0)
    assert should_read_platform(HubStale(), 1.6)
    assert not should_read_platform(Confirmed("7", 1.0), 9.0)


def test_read_periods_of_hub_and_daemon_add_up_to_the_usual_period():
    rng = random.Random(1)
    shared = max(next_read_delay_s(True, 1.8, True, rng) for _ in range(100))
    assert 2 * shared < 1.8 * 1.06


def test_equal_lists_have_equal_tokens():
    one = Replica("i-1", "s", "10.0.0.1", 80, "a", 1, 5, False)
    assert list_token((one,)) == list_token((Replica(*one),))
    assert list_token((one,)) != list_token((one._replace(leaving=True),))
