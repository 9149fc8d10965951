"""Guards against allowances of cold replicas that two daemons grant, or that nobody keeps."""

import asyncio
import math

import pytest

from greengagehoist.deployment import Deployment, DeploymentSnapshot, Limits, Service
from greengagehoist.gateway.controllers import (
    AcquireSend,
    ColdObserved,
    LimitObserved,
    Reach,
    SendLimitController,
    SetColdRule,
    Topology,
)
from greengagehoist.gateway.controllers import _cold_limits as cold_module
from greengagehoist.gateway.controllers import _send_limits as module
from greengagehoist.gateway.controllers._owned_permits import PENDING
from greengagehoist.gateway.controllers._ownership import SETTLE_S
from greengagehoist.gateway.controllers._reach import ReachChanged
from greengagehoist.gateway.controllers._replicas import ReplicasChanged
from greengagehoist.gateway.tests.recorder import Recorder, deliver
from greengagehoist.membership import Member
from greengagehoist.peers import (
    Broadcast,
    FromPeer,
    Hello,
    PermitCancel,
    PermitReply,
    PermitRequest,
    ReplicaCold,
)
from greengagehoist.replicas import (
    ColdRule,
    Granted,
    Limited,
    Refused,
    Replica,
    ReplicaTable,
    rendezvous_rank,
)
from greengagehoist.utils import Published, Tick

REPLICA = Replica("r", "llm", "10.0.0.1", 80, "a", 8, 1, False)
COLD = REPLICA._replace(cold_s=9.0, cold_row=1)
KEY = ("r", 1)
OTHER, OWNER = sorted(("vm-1", "vm-2"), key=lambda vm: rendezvous_rank("llm", vm))
PER_S = 8.0


class Running(SendLimitController):
    """A controller whose tasks the test plays itself."""

    def start(self, coro):
        coro.close()


@pytest.fixture
def make_controller(clock):
    """Return a function that builds the controller of one VM and the recorder of its peers."""

    def make(vm=OWNER, linked=(OTHER, OWNER), members=2, per_s=PER_S, rule=ColdRule(1.5, 5.0)):
        peers = Recorder("peers")
        views = Published(True), Published(members), Published(())
        topology = Topology(*views, Published(frozenset({OWNER})), Published(False))
        reach = Published(Reach(frozenset(linked) - {vm}, frozenset(linked) - {vm}))
        service = Service("llm", None, 3.0, per_s)
        deployment = Deployment(1, {}, {"llm": service}, {}, False, Limits())
        controller = Running(
            peers,
            Member(vm, "a", "x:1", 1),
            topology,
            reach,
            clock,
            Published(DeploymentSnapshot(deployment, 0.0)),
            Published(frozenset()),
        )
        deliver(controller, SetColdRule(rule))
        return controller, peers

    return make


@pytest.fixture
def settled(make_controller, clock):
    """Return the controller of an owner that has been it for long, and its peers."""
    controller, peers = make_controller()
    wait(controller, clock, SETTLE_S + 0.1)
    return controller, peers


def wait(controller, clock, seconds):
    for _ in range(round(seconds / 0.1)):
        asyncio.run(clock.advance(0.1))
        deliver(controller, Tick())


def show(controller, *replicas):
    deliver(controller, ReplicasChanged(ReplicaTable({r.replica_id: r for r in replicas})))


def ask(controller):
    (reply,) = deliver(controller, AcquireSend(REPLICA, 0))
    return reply


def granted(controller):
    """Return how many permits there are at once."""
    count = 0
    while ask(controller) == Granted():
        count += 1
    return count


def from_peer(message, vm=OTHER):
    return FromPeer(vm, "a", 1, message)


def test_owner_grants_the_allowance_of_a_cold_replica(settled, clock):
    controller, _ = settled
    show(controller, COLD)
    assert controller.view.value == {KEY: PER_S}
    assert isinstance(ask(controller), Refused)
    count = 0
    for _ in range(40):
        wait(controller, clock, 0.1)
        count += granted(controller)
    assert 0.9 * PER_S * 4 <= count <= PER_S * 4


def test_burst_after_a_pause_is_small(settled, clock):
    controller, _ = settled
    show(controller, COLD)
    ask(controller)
    wait(controller, clock, 4.0)
    assert 1 <= granted(controller) <= 3


def test_limit_ends_with_the_cold_period(settled, clock):
    controller, _ = settled
    show(controller, COLD)
    replies = deliver(controller, AcquireSend(REPLICA, 0, 20.0))
    for _ in range(9):
        deliver(controller, AcquireSend(REPLICA, 0, 20.0))
    wait(controller, clock, 10.2)
    assert controller.view.value == {}
    assert controller.cold.value == {}
    assert replies == [Granted()]
    assert ask(controller) == Granted()


@pytest.mark.parametrize(("named", "expected"), [(2.0, 2.0), (50.0, PER_S)])
def test_smaller_of_limit_and_allowance_applies(settled, clock, named, expected):
    controller, _ = settled
    show(controller, COLD)
    deliver(controller, LimitObserved(REPLICA, Limited(named), clock.monotonic()))
    assert controller.view.value == {KEY: expected}
    ask(controller)
    count = 0
    for _ in range(40):
        wait(controller, clock, 0.1)
        count += granted(controller)
    assert 0.8 * expected * 4 <= count <= expected * 4
    wait(controller, clock, 10.0)
    assert controller.view.value == {KEY: named}


@pytest.mark.parametrize("fields", [{"rule": None}, {"per_s": 0.0}])
def test_without_rule_cold_replicas_have_no_limit(make_controller, fields):
    controller, _ = make_controller(**fields)
    show(controller, COLD)
    assert controller.view.value == {}
    assert ask(controller) == Granted()


def test_new_owner_grants_nothing_while_the_old_one_may(make_controller, clock):
    """Both granted the whole allowance until the links were known to all."""
    controller, _ = make_controller(OTHER)
    wait(controller, clock, SETTLE_S + 0.1)
    show(controller, COLD)
    controller.reach.value = Reach()
    deliver(controller, ReachChanged(Reach()))
    assert ask(controller) == PENDING
    wait(controller, clock, SETTLE_S - 0.3)
    assert ask(controller) == PENDING
    wait(controller, clock, 0.5)
    assert ask(controller) != PENDING
    wait(controller, clock, 1.0)
    assert ask(controller) == Granted()


def test_owner_that_sees_a_better_one_refuses_what_waits(settled, clock):
    """Its queue was granted on while the new owner granted the same allowance."""
    controller, peers = settled
    controller.reach.value = Reach()
    deliver(controller, ReachChanged(Reach()))
    wait(controller, clock, SETTLE_S + 0.2)
    show(controller, COLD)
    better = next(vm for n in range(99) if _rank(vm := f"vm-x{n}") > _rank(OWNER))
    for number in range(3):
        deliver(controller, from_peer(PermitRequest(number, *KEY, 0, 9.0, True)))
    reach = Reach(frozenset({better, OTHER}), frozenset({better, OTHER}))
    controller.reach.value = reach
    deliver(controller, ReachChanged(reach))
    replies = peers.sent(PermitReply)
    assert [item.granted for item in replies] == [False] * 3
    deliver(controller, from_peer(PermitRequest(9, *KEY, 0, 9.0, True)))
    assert not peers.sent(PermitReply)[-1].granted


def _rank(vm):
    return rendezvous_rank("llm", vm)


def test_share_grows_late_and_shrinks_at_once(make_controller, clock):
    """The owner on the other side of a partition may not know yet that it has ended."""
    lower = [f"vm-l{n}" for n in range(99) if _rank(f"vm-l{n}") < _rank(OWNER)][:2]
    controller, _ = make_controller(members=4, linked=(OTHER, OWNER, *lower))
    wait(controller, clock, SETTLE_S + 0.1)
    ownership = controller._ownership
    assert ownership.settled_share("llm") == 1.0
    for linked, now, later in (({OTHER}, 0.5, 0.5), ({OTHER, *lower}, 0.5, 1.0)):
        controller.reach.value = Reach(frozenset(linked), frozenset(linked))
        deliver(controller, ReachChanged(controller.reach.value))
        assert ownership.settled_share("llm") == now
        wait(controller, clock, SETTLE_S + 0.2)
        assert ownership.settled_share("llm") == later


def test_owner_that_was_frozen_grants_nothing_at_first(settled, clock):
    """Others have taken its place meanwhile; its bucket has filled up."""
    controller, _ = settled
    show(controller, COLD._replace(cold_s=60.0))
    asyncio.run(clock.advance(5.0))
    assert ask(controller) == PENDING
    wait(controller, clock, SETTLE_S + 0.2)
    assert ask(controller) != PENDING


def test_owner_that_does_not_know_of_the_cold_period_grants_nothing(settled):
    controller, peers = settled
    show(controller, REPLICA)
    deliver(controller, from_peer(PermitRequest(7, *KEY, 0, 9.0, True)))
    assert [item.granted for item in peers.sent(PermitReply)] == [False]


def test_daemon_says_that_the_replica_is_cold_when_it_asks(make_controller):
    controller, peers = make_controller(OTHER)
    show(controller, COLD)
    asked = []
    controller._ask_owner = lambda owner, request: asked.append(request) or _nothing()
    deliver(controller, AcquireSend(REPLICA, 0))
    assert [item.cold for item in asked] == [True]
    assert peers.sent(PermitReply) == []


async def _nothing():
    """Do nothing, in place of a message."""


def test_statement_of_an_answer_is_told_to_all_daemons_once(settled, clock):
    controller, peers = settled
    show(controller, REPLICA)
    for cold_s in (3.0, 2.9, 2.8):
        deliver(controller, ColdObserved(REPLICA, cold_s))
        asyncio.run(clock.advance(0.1))
    told = [item.message for item in peers.told if isinstance(item, Broadcast)]
    assert [item for item in told if isinstance(item, ReplicaCold)] == [
        ReplicaCold(*KEY, pytest.approx(3.0), 0.0)
    ]
    assert controller.view.value == {KEY: PER_S}
    other, _ = settled
    deliver(other, from_peer(Hello(OTHER, "a", 1, "x:1")))
    assert [item.cold_s for item in peers.sent(ReplicaCold)] == [pytest.approx(2.7, abs=0.11)]


def test_daemon_learns_a_cold_period_from_a_peer(settled):
    controller, _ = settled
    show(controller, REPLICA)
    deliver(controller, from_peer(ReplicaCold(*KEY, 3.0, 0.1)))
    assert controller.view.value == {KEY: PER_S}
    deliver(controller, from_peer(ReplicaCold(*KEY, 0.0, 0.0)))
    assert controller.view.value == {}


@pytest.mark.parametrize(
    "numbers", [(math.nan, 0.0), (math.inf, 0.0), (-1.0, 0.0), (1.0, math.nan)]
)
def test_peers_statement_without_sense_is_ignored(settled, numbers):
    controller, _ = settled
    show(controller, REPLICA)
    deliver(controller, from_peer(ReplicaCold(*KEY, *numbers)))
    assert controller.view.value == {}


def test_odd_statement_of_an_answer_is_logged_once(settled, monkeypatch):
    controller, _ = settled
    logged = []
    monkeypatch.setattr(module, "log_event", lambda event, *args, **fields: logged.append(event))
    show(controller, REPLICA)
    for _ in range(3):
        deliver(controller, ColdObserved(REPLICA, math.nan))
    assert logged == ["replica_cold_unreadable"]
    assert controller.view.value == {}


def test_evacuated_replicas_are_cold_on_their_return(settled, clock):
    controller, _ = settled
    show(controller, REPLICA)
    controller._cold.evacuated.value = frozenset({"a"})
    wait(controller, clock, 20.0)
    assert controller.view.value == {KEY: PER_S}
    controller._cold.evacuated.value = frozenset()
    wait(controller, clock, 2.9)
    assert controller.view.value == {KEY: PER_S}
    wait(controller, clock, 0.4)
    assert controller.view.value == {}


def test_many_replicas_that_turn_cold_are_one_line(settled, clock, monkeypatch):
    """An evacuated data centre has many replicas, and each line costs a small VM time."""
    controller, _ = settled
    logged = []
    monkeypatch.setattr(
        cold_module, "log_event", lambda event, *args, **fields: logged.append(event)
    )
    replicas = [REPLICA._replace(replica_id=f"r{n}") for n in range(25)]
    show(controller, *replicas)
    controller._cold.evacuated.value = frozenset({"a"})
    wait(controller, clock, 1.0)
    assert logged == []
    controller._cold.evacuated.value = frozenset()
    wait(controller, clock, 4.0)
    assert logged == ["cold_replicas_changed"] * 2
    for replica in (COLD, REPLICA._replace(cold_s=0.0)):
        show(controller, *replicas, replica)
    assert logged[2:] == ["replica_cold", "replica_warm"]


@pytest.mark.parametrize("vm", [OWNER, OTHER])
def test_request_that_waits_for_an_evacuated_replica_chooses_again(make_controller, clock, vm):
    """It waited until its deadline for a permit that was of no use."""
    controller, peers = make_controller(vm)
    show(controller, REPLICA)
    deliver(controller, LimitObserved(REPLICA, Limited(0.0), clock.monotonic()))
    replies = deliver(controller, AcquireSend(REPLICA, 0, 30.0))
    wait(controller, clock, 1.0)
    assert replies == []
    controller._cold.evacuated.value = frozenset({"a"})
    wait(controller, clock, 0.1)
    assert replies == [Refused(0.0)]
    assert len(peers.sent(PermitCancel)) == (vm == OTHER)
