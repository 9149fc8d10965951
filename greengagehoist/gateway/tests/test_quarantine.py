"""Guards against evidence that does not spread, and a part that many daemons try at once."""

import asyncio
import socket

import pytest

from greengagehoist.gateway.controllers import (
    QuarantineController,
    Reach,
    ReportAnswer,
    ReportBroken,
    RequestTrial,
    Topology,
    TrialDecision,
)
from greengagehoist.gateway.controllers._quarantine import OWNER_TIMEOUT_S, PENDING_RETRY_AFTER_S
from greengagehoist.gateway.tests.recorder import Recorder, deliver
from greengagehoist.membership import Member
from greengagehoist.peers import (
    Broadcast,
    FromPeer,
    Hello,
    PromptAnswered,
    ReplicaCrash,
    SendTo,
    TrialReply,
    TrialRequest,
)
from greengagehoist.replicas import Replica
from greengagehoist.utils import Published

OWN, OTHER = "vm-1", "vm-2"
SYSTEM, BAD, DOC = 1, 2, 3


@pytest.fixture
def make_controller(clock):
    """Return a function that builds the controller of one VM and the recorder of its peers."""

    def make(ready=frozenset(), hubs=frozenset({OWN}), shared=False):
        peers = Recorder("peers")
        topology = Topology(
            Published(True), Published(2), Published(()), Published(hubs), Published(shared)
        )
        reach = Published(Reach(ready, ready))
        own = Member(OWN, "a", "x:1", 1)
        return QuarantineController(peers, own, topology, reach, clock), peers

    return make


def from_peer(message, vm=OTHER):
    return FromPeer(vm, "a", 1, message)


def crash_message(number, *parts):
    # The second crash is one second after the first.
    return ReplicaCrash("llm", f"r{number}", 1, 5.0 - number, ((*parts, 100 + number),))


def hold_part(controller, *parts):
    """Let other daemons report two crashes and an answer to another prompt."""
    for number in range(2):
        deliver(controller, from_peer(crash_message(number, *parts)))
    deliver(controller, from_peer(PromptAnswered("llm", (), 0.0)))


def held_parts(controller):
    view = controller.view.value.services.get("llm")
    return set(view.held) if view is not None else set()


def broadcasts(peers, kind):
    found = [item.message for item in peers.told if isinstance(item, Broadcast)]
    return [item for item in found if isinstance(item, kind)]


def test_part_is_held_by_what_other_daemons_report(make_controller):
    controller, _ = make_controller()
    hold_part(controller, BAD)
    assert held_parts(controller) == {BAD}


def test_hub_passes_evidence_on_once_within_its_data_centre(make_controller):
    """In large deployments daemons have links to hubs only, and tell all of them themselves."""
    controller, peers = make_controller(frozenset({OTHER, "vm-3", "vm-4", "vm-5"}), shared=True)
    for vm, data_centre in ((OTHER, "a"), ("vm-3", "a"), ("vm-4", "a"), ("vm-5", "b")):
        deliver(controller, FromPeer(vm, data_centre, 1, Hello(vm, data_centre, 1, "x:1")))
    deliver(controller, from_peer(crash_message(0, BAD)))
    deliver(controller, from_peer(crash_message(0, BAD), "vm-3"))
    told = [(item.vm, type(item.message)) for item in peers.told if isinstance(item, SendTo)]
    assert told == [("vm-3", ReplicaCrash), ("vm-4", ReplicaCrash)]
    assert broadcasts(peers, ReplicaCrash) == []


def test_late_report_is_not_a_second_crash(make_controller):
    """A daemon that was suspended learns of a crash seconds later and passes that time on."""
    controller, _ = make_controller()
    for delay_s in (0.0, 3.0):
        message = ReplicaCrash("llm", "r0", 1, 4.0 - delay_s, ((BAD, 100), (BAD, 101)))
        deliver(controller, from_peer(message))
    deliver(controller, from_peer(PromptAnswered("llm", (), 0.0)))
    assert held_parts(controller) == set()


def test_daemons_of_a_full_mesh_pass_nothing_on(make_controller):
    controller, peers = make_controller()
    hold_part(controller, BAD)
    assert broadcasts(peers, ReplicaCrash | PromptAnswered) == []


def test_new_peer_is_told_what_is_known(make_controller):
    """A daemon that has restarted would otherwise send requests with the part again."""
    controller, peers = make_controller()
    hold_part(controller, BAD)
    deliver(controller, from_peer(Hello(OTHER, "a", 2, "x:1")))
    assert [item.replica_id for item in peers.sent(ReplicaCrash)] == ["r0", "r1"]


def test_answer_that_clears_a_part_is_told_once(make_controller):
    controller, peers = make_controller()
    hold_part(controller, BAD, DOC)
    for _ in range(3):
        deliver(controller, ReportAnswer("llm", frozenset({DOC})))
    assert held_parts(controller) == {BAD}
    assert [item.parts for item in broadcasts(peers, PromptAnswered)] == [(DOC,)]


def test_trial_is_refused_until_it_is_due_and_granted_once(make_controller, clock):
    """Requests with the part arrive at all daemons; one of them shall try it."""

    async def scenario():
        controller, _ = make_controller()
        hold_part(controller, BAD)
        request = RequestTrial("llm", frozenset({SYSTEM, BAD}))
        (decision,) = deliver(controller, request)
        assert not decision.granted
        await clock.advance(decision.retry_after_s)
        assert deliver(controller, request) == [TrialDecision(True, 0.0)]
        assert deliver(controller, request) == [TrialDecision(False, PENDING_RETRY_AFTER_S)]

    asyncio.run(scenario())


def test_owner_decides_for_other_daemons(make_controller):
    controller, peers = make_controller()
    hold_part(controller, BAD)
    deliver(controller, from_peer(TrialRequest(7, "llm", (BAD,))))
    (answer,) = peers.sent(TrialReply)
    assert (answer.number, answer.granted) == (7, False)


def test_trial_needs_the_word_of_the_owner(make_controller, clock):
    async def scenario():
        # With hubs, another daemon than this one decides.
        controller, peers = make_controller(frozenset({OTHER}), frozenset({OTHER}), shared=True)
        task = asyncio.ensure_future(controller.run())
        hold_part(controller, BAD)
        answer = asyncio.ensure_future(controller.ask(RequestTrial("llm", frozenset({BAD}))))
        await clock.advance(0.01)
        (question,) = peers.sent(TrialRequest)
        controller.tell(from_peer(TrialReply(question.number, True, 0.0)))
        assert await answer == TrialDecision(True, 0.0)
        silent = asyncio.ensure_future(controller.ask(RequestTrial("llm", frozenset({BAD}))))
        await clock.advance(OWNER_TIMEOUT_S + 0.01)
        assert await silent == TrialDecision(False, PENDING_RETRY_AFTER_S)
        task.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize("ended", [True, False])
def test_only_a_replica_that_refuses_connections_has_crashed(make_controller, clock, ended):
    """A connection that was reset by a live replica says nothing about the prompt."""

    async def scenario():
        controller, peers = make_controller()
        task = asyncio.ensure_future(controller.run())
        listener = socket.create_server(("127.0.0.1", 0))
        replica = Replica("r1", "llm", *listener.getsockname(), "a", 8, 1, False)
        if ended:
            listener.close()
        reports = [ReportBroken("llm", replica, (BAD, own)) for own in (100, 101)]
        assert await asyncio.gather(*map(controller.ask, reports)) == [ended, ended]
        (*told,) = broadcasts(peers, ReplicaCrash)
        assert [len(item.prompts) for item in told] == ([2] if ended else [])
        assert (held_parts(controller), bool(controller.view.value.services)) == (set(), ended)
        listener.close()
        task.cancel()

    asyncio.run(scenario())


def test_leaving_the_peers_out_a_daemon_decides_alone(make_controller):
    controller, peers = make_controller(frozenset(), frozenset({OTHER}), shared=True)
    hold_part(controller, BAD)
    (decision,) = deliver(controller, RequestTrial("llm", frozenset({BAD})))
    assert not decision.granted
    assert not [item for item in peers.told if isinstance(item, SendTo)]
