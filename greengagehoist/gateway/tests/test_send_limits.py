"""Guards against limits of replicas that the daemons keep alone, twice, or not at all."""

import asyncio
import math

import pytest

from greengagehoist.gateway.controllers import (
    AcquireSend,
    CancelAcquire,
    LimitObserved,
    Reach,
    SendLimitController,
    Topology,
)
from greengagehoist.gateway.controllers._owned_permits import PENDING_RETRY_AFTER_S
from greengagehoist.gateway.controllers._reach import ReachChanged
from greengagehoist.gateway.controllers._send_limits import _TimedOut, _Wake
from greengagehoist.gateway.tests.recorder import Recorder, deliver
from greengagehoist.membership import Member
from greengagehoist.peers import (
    Broadcast,
    FromPeer,
    Hello,
    PermitCancel,
    PermitReply,
    PermitRequest,
    ReplicaLimit,
)
from greengagehoist.replicas import Granted, Limited, Refused, Replica, Unlimited, rendezvous_rank
from greengagehoist.utils import Published

REPLICA = Replica("r", "llm", "10.0.0.1", 80, "a", 8, 1, False)
KEY = ("r", 1)
# The owner of a service is the daemon with the highest rank.
OTHER, OWNER = sorted(("vm-1", "vm-2"), key=lambda vm: rendezvous_rank("llm", vm))


class Running(SendLimitController):
    """A controller whose tasks the test plays itself."""

    def __init__(self, *args):
        super().__init__(*args)
        self.started = []

    def start(self, coro):
        self.started.append(coro.__name__)
        coro.close()


@pytest.fixture
def make_controller(clock):
    """Return a function that builds the controller of one VM and the recorder of its peers."""

    def make(vm=OWNER, linked=(OTHER, OWNER), members=2, known=True):
        peers = Recorder("peers")
        views = Published(known), Published(members), Published(())
        topology = Topology(*views, Published(frozenset({OWNER})), Published(False))
        reach = Published(Reach(frozenset(linked) - {vm}, frozenset(linked) - {vm}))
        return Running(peers, Member(vm, "a", "x:1", 1), topology, reach, clock), peers

    return make


def advance(clock, seconds):
    asyncio.run(clock.advance(seconds))


def observe(controller, clock, limit, sent_ago_s=0.0):
    deliver(controller, LimitObserved(REPLICA, limit, clock.monotonic() - sent_ago_s))


def from_peer(message, vm=OTHER):
    return FromPeer(vm, "a", 1, message)


def reports(peers):
    told = [item.message for item in peers.told if isinstance(item, Broadcast)]
    return [item for item in told if isinstance(item, ReplicaLimit)]


def test_limit_is_told_to_all_daemons_when_it_changes(make_controller, clock):
    controller, peers = make_controller()
    for value in (4.0, 4.0, 2.0):
        observe(controller, clock, Limited(value))
        advance(clock, 1.0)
    observe(controller, clock, Unlimited())
    assert [(item.per_s, item.ended_age_s) for item in reports(peers)] == [
        (4.0, None),
        (2.0, None),
        (2.0, 0.0),
    ]


def test_daemon_that_starts_learns_the_limits(make_controller, clock):
    controller, peers = make_controller()
    observe(controller, clock, Limited(4.0))
    deliver(controller, from_peer(Hello(OTHER, "a", 1, "x:1")))
    assert [item.per_s for item in peers.sent(ReplicaLimit)] == [4.0]


def test_older_report_changes_nothing_and_is_corrected(make_controller, clock):
    controller, peers = make_controller()
    observe(controller, clock, Limited(4.0))
    deliver(controller, from_peer(ReplicaLimit(*KEY, 9.0, 5.0, 3.0)))
    assert controller.view.value == {KEY: 4.0}
    assert [item.per_s for item in peers.sent(ReplicaLimit)] == [4.0]


@pytest.mark.parametrize("numbers", [(math.nan, 0.0), (math.inf, 0.0), (-1.0, 0.0), (1.0, -1.0)])
def test_report_without_sense_is_ignored(make_controller, numbers):
    controller, _ = make_controller()
    deliver(controller, from_peer(ReplicaLimit(*KEY, *numbers, None)))
    assert controller.view.value == {}


def test_request_to_a_replica_without_limit_needs_no_permit(make_controller):
    controller, _ = make_controller()
    assert deliver(controller, AcquireSend(REPLICA, 0)) == [Granted()]


def test_owner_shares_the_limit_among_all_daemons(make_controller, clock):
    controller, peers = make_controller()
    observe(controller, clock, Limited(1.0))
    assert deliver(controller, AcquireSend(REPLICA, 0)) == [Refused(1.0)]
    advance(clock, 1.0)
    assert deliver(controller, AcquireSend(REPLICA, 0)) == [Granted()]
    deliver(controller, from_peer(PermitRequest(7, *KEY, 0, 0.0)))
    assert peers.sent(PermitReply) == [PermitReply(7, False, 1.0)]


def test_waiting_requests_of_all_daemons_get_permits_by_rank(make_controller, clock):
    controller, peers = make_controller()
    observe(controller, clock, Limited(1.0))
    replies = deliver(controller, AcquireSend(REPLICA, 5, 9.0))
    deliver(controller, from_peer(PermitRequest(7, *KEY, 0, 9.0)))
    advance(clock, 1.0)
    deliver(controller, _Wake(KEY))
    assert (replies, peers.sent(PermitReply)) == ([], [PermitReply(7, True, 0.0)])
    advance(clock, 1.0)
    deliver(controller, _Wake(KEY))
    assert replies == [Granted()]


def test_permits_that_wait_are_granted_when_the_limit_ends(make_controller, clock):
    controller, _ = make_controller()
    observe(controller, clock, Limited(0.0))
    replies = deliver(controller, AcquireSend(REPLICA, 5, 60.0))
    advance(clock, 1.0)
    observe(controller, clock, Unlimited())
    assert replies == [Granted()]


def test_replica_that_wants_no_requests_gets_one_now_and_then(make_controller, clock):
    """Otherwise no answer could end a limit of zero."""
    controller, _ = make_controller()
    observe(controller, clock, Limited(0.0))
    deliver(controller, AcquireSend(REPLICA, 0))
    advance(clock, 10.0)
    assert deliver(controller, AcquireSend(REPLICA, 0)) == [Granted()]


def test_daemons_on_both_sides_of_a_partition_keep_the_limit_together(make_controller, clock):
    total = 0.0
    for side in ("abc", "d"):
        controller, _ = make_controller(side[0], side, members=4)
        observe(controller, clock, Limited(8.0))
        (refused,) = deliver(controller, AcquireSend(REPLICA, 0))
        # The first permit comes after the time of one request.
        total += 1.0 / refused.retry_after_s
    assert total == pytest.approx(8.0)


def test_daemon_that_does_not_know_the_members_sends_nothing(make_controller, clock):
    """It does not know its share, and other daemons may send at the limit."""
    controller, _ = make_controller(known=False, members=1, linked=())
    observe(controller, clock, Limited(8.0))
    advance(clock, 10.0)
    assert deliver(controller, AcquireSend(REPLICA, 0)) == [Refused(PENDING_RETRY_AFTER_S)]


def test_requests_ask_the_new_owner_when_the_old_one_is_lost(make_controller, clock):
    controller, _ = make_controller(OTHER)
    observe(controller, clock, Limited(1.0))
    replies = deliver(controller, AcquireSend(REPLICA, 0, 9.0))
    controller.reach.value = Reach()
    deliver(controller, ReachChanged(Reach()))
    advance(clock, 2.0)
    deliver(controller, _Wake(KEY))
    assert replies == [Granted()]


def test_request_that_has_gone_gives_its_place_up(make_controller, clock):
    controller, peers = make_controller(OTHER)
    observe(controller, clock, Limited(1.0))
    deliver(controller, AcquireSend(REPLICA, 0, 9.0, 5))
    deliver(controller, CancelAcquire(5))
    assert peers.sent(PermitCancel) == [PermitCancel(1)]
    owner, peers = make_controller()
    observe(owner, clock, Limited(1.0))
    for number in (1, 2):
        deliver(owner, from_peer(PermitRequest(number, *KEY, 0, 9.0)))
    deliver(owner, from_peer(PermitCancel(1)))
    advance(clock, 1.0)
    deliver(owner, _Wake(KEY))
    assert peers.sent(PermitReply) == [PermitReply(2, True, 0.0)]


def test_request_whose_permit_does_not_come_in_time_is_refused(make_controller, clock):
    """A more urgent request may take the permit that a waiting one expects."""
    controller, _ = make_controller()
    observe(controller, clock, Limited(1.0))
    replies = deliver(controller, AcquireSend(REPLICA, 5, 1.5))
    assert "_time_out" in controller.started
    deliver(controller, from_peer(PermitRequest(7, *KEY, 0, 9.0)))
    advance(clock, 2.0)
    deliver(controller, _Wake(KEY))
    deliver(controller, _TimedOut(1))
    assert replies == [Refused(PENDING_RETRY_AFTER_S)]


def test_owner_that_has_not_learnt_the_limit_grants_nothing(make_controller):
    controller, peers = make_controller()
    deliver(controller, from_peer(PermitRequest(7, *KEY, 0, 9.0)))
    assert peers.sent(PermitReply) == [PermitReply(7, False, PENDING_RETRY_AFTER_S)]
