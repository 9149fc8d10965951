"""Controller that keeps the limits which replicas name, together with the other daemons."""

import math
from typing import Any, NamedTuple

from greengagehoist.gateway.controllers._owners import choose_owner
from greengagehoist.gateway.controllers._reach import Reach, ReachChanged
from greengagehoist.gateway.controllers._spread import Spread
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.membership import Member
from greengagehoist.peers import (
    FromPeer,
    Hello,
    PeerMessage,
    PermitCancel,
    PermitReply,
    PermitRequest,
    ReplicaLimit,
    SendTo,
    Subscribe,
)
from greengagehoist.replicas import (
    MIN_RATE_PER_S,
    Granted,
    Incarnation,
    LimitState,
    PermitQueue,
    Queued,
    Refused,
    Replica,
    SendLimit,
    SendLimits,
    UnreadableLimit,
    incarnation_of,
)
from greengagehoist.utils import Clock, Controller, Published, Reply, log_event, show_value

# Allows for several round trips to the daemon that grants permits.
OWNER_TIMEOUT_S = 0.15
# Retry-After while the owner of a limit, or the number of daemons, is unknown.
PENDING_RETRY_AFTER_S = 0.3
PENDING = Refused(PENDING_RETRY_AFTER_S)
# Permits are granted at most this much after their time.
MIN_WAKE_S = 0.002


class LimitObserved(NamedTuple):
    """Report what a replica's answer says about its limit.

    :param sent_at: time at which the request was sent.
    """

    replica: Replica
    limit: SendLimit
    sent_at: float


class AcquireSend(NamedTuple):
    """Ask for a permit to send one request to a replica with a limit.

    Replied by ``Granted | Refused``.

    :param rank: 0 is the most urgent.
    :param max_wait_s: seconds for which the request can wait, 0 to ask for a permit now.
    :param ticket: identifies the ask in :class:`CancelAcquire`, 0 if it is never cancelled.
    """

    replica: Replica
    rank: int
    max_wait_s: float = 0.0
    ticket: int = 0


class CancelAcquire(NamedTuple):
    """Give up waiting for a permit."""

    ticket: int


class _TimedOut(NamedTuple):
    number: int


class _Wake(NamedTuple):
    key: Incarnation


class _Pending(NamedTuple):
    """A permit of this daemon that has not been decided.

    :param owner: daemon that was asked, empty for this one.
    :param until: time until which the request can wait.
    """

    ask: AcquireSend
    reply: Reply
    owner: str
    until: float


class SendLimitController(Controller):
    """Collects the limits of replicas and decides when requests may be sent to them.

    Limits spread among the daemons as they are learnt. One daemon owns those of a service, and grants
    permits at the rates that its replicas have named, in the order of priority: the sum over all
    daemons counts, and what quiet daemons leave is used by others. An owner that reaches a part of
    the members only grants their share of the rate, so that the owners on both sides of a partition
    keep the limit together. A daemon that reaches nobody is the owner of its own share.

    :param own: this daemon.
    :param reach: published set of daemons that can be reached.
    :ivar view: published limits in force, in requests a second.
    """

    def __init__(
        self,
        peers: Controller,
        own: Member,
        topology: Topology,
        reach: Published[Reach],
        clock: Clock,
    ):
        super().__init__("send_limits")
        self.peers = peers
        self.own = own
        self.topology = topology
        self.reach = reach
        self.clock = clock
        self.view: Published[dict[Incarnation, float]] = Published({})
        self._limits = SendLimits()
        self._spread = Spread(peers, own, topology, reach)
        self._queues: dict[Incarnation, PermitQueue] = {}
        self._wakes: set[Incarnation] = set()
        self._pending: dict[int, _Pending] = {}
        self._last_number = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        kinds = (Hello, ReplicaLimit, PermitRequest, PermitReply, PermitCancel)
        self.peers.tell(Subscribe(kinds, self))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case AcquireSend():
                self._acquire(message, reply)
            case CancelAcquire(ticket):
                self._cancel(ticket)
            case LimitObserved():
                self._observe(message)
            case FromPeer(vm, data_centre, _, Hello()):
                self._spread.add_peer(vm, data_centre)
                for key, state in self._limits.states().items():
                    self._send_state(vm, key, state)
            case FromPeer(vm, _, _, received):
                self._handle_peer(vm, received)
            case ReachChanged(reach):
                self._apply_reach(reach)
            case _TimedOut(number):
                self._end(number, PENDING)
            case _Wake(key):
                self._wakes.discard(key)
                self._grant_due(key)

    def _handle_peer(self, vm: str, message: PeerMessage) -> None:
        match message:
            case ReplicaLimit():
                self._learn(message, vm)
            case PermitRequest():
                self._decide_for_peer(vm, message)
            case PermitReply(number, granted, retry_after_s):
                self._end(number, Granted() if granted else Refused(retry_after_s))
            case PermitCancel(number):
                for queue in self._queues.values():
                    queue.drop(vm, number)

    # Limits.

    def _observe(self, message: LimitObserved) -> None:
        replica, limit = message.replica, message.limit
        key = incarnation_of(replica)
        if not self._limits.observe(key, limit, message.sent_at, self.clock.monotonic()):
            return
        if isinstance(limit, UnreadableLimit):
            log_event(
                "replica_limit_unreadable",
                "WARNING",
                replica=replica.replica_id,
                value=show_value(limit.text),
            )
            return
        self._apply_change(key, "")

    def _learn(self, report: ReplicaLimit, origin: str) -> None:
        key = (report.replica_id, report.born_ms)
        state = _decode_state(report, self.clock.monotonic())
        if state is None:
            return
        changed = self._limits.merge(key, state)
        merged = self._limits.state_of(key)
        if (merged.in_force, merged.per_s) != (state.in_force, state.per_s):
            # The peer does not know of a newer answer.
            self._send_state(origin, key, merged)
        if changed:
            self._apply_change(key, origin)

    def _apply_change(self, key: Incarnation, origin: str) -> None:
        """Publish a limit that has changed, and pass it on."""
        self.view.value = self._limits.in_force()
        limit = self.view.value.get(key)
        if limit is None:
            log_event("replica_limit_ended", replica=key[0])
            queue = self._queues.pop(key, None)
            for ask in queue.grant_all() if queue is not None else ():
                self._grant(ask.vm, ask.number)
        else:
            log_event("replica_limited", "WARNING", replica=key[0], limit_per_s=limit)
            self._grant_due(key)
        self._spread.send(self._encode_state(key, self._limits.state_of(key)), origin)

    def _send_state(self, vm: str, key: Incarnation, state: LimitState) -> None:
        self.peers.tell(SendTo(vm, self._encode_state(key, state)))

    def _encode_state(self, key: Incarnation, state: LimitState) -> ReplicaLimit:
        now = self.clock.monotonic()
        ended_age_s = now - state.ended_at if math.isfinite(state.ended_at) else None
        return ReplicaLimit(*key, state.per_s, now - state.named_at, ended_age_s)

    # Permits of this daemon's requests.

    def _acquire(self, ask: AcquireSend, reply: Reply) -> None:
        if incarnation_of(ask.replica) not in self.view.value:
            reply(Granted())
            return
        self._dispatch(ask, reply, self.clock.monotonic() + ask.max_wait_s)

    def _dispatch(self, ask: AcquireSend, reply: Reply, until: float) -> None:
        """Ask the owner of a limit for a permit."""
        service = ask.replica.service
        owner = choose_owner(self.own.vm, self.topology, self.reach.value, service)
        self._last_number += 1
        number, key = self._last_number, incarnation_of(ask.replica)
        wait_s = max(0.0, until - self.clock.monotonic())
        if owner != self.own.vm:
            self._pending[number] = _Pending(ask, reply, owner, until)
            request = PermitRequest(number, *key, ask.rank, wait_s)
            self.start(self._ask_owner(owner, request))
            return
        match self._decide(key, ask.rank, "", number, wait_s):
            case Queued():
                self._pending[number] = _Pending(ask, reply, "", until)
                self.start(self._time_out(number, wait_s))
            case decision:
                reply(decision)

    async def _ask_owner(self, owner: str, request: PermitRequest) -> None:
        wait_s = 0.0
        if await self.peers.ask(SendTo(owner, request)):
            wait_s = OWNER_TIMEOUT_S + request.max_wait_s
        await self._time_out(request.number, wait_s)

    async def _time_out(self, number: int, wait_s: float) -> None:
        await self.clock.sleep(wait_s)
        self.tell(_TimedOut(number))

    def _end(self, number: int, decision: Granted | Refused) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            pending.reply(decision)

    def _cancel(self, ticket: str) -> None:
        for number, pending in list(self._pending.items()):
            if pending.ask.ticket != ticket:
                continue
            del self._pending[number]
            if pending.owner:
                self.peers.tell(SendTo(pending.owner, PermitCancel(number)))
            else:
                for queue in self._queues.values():
                    queue.drop("", number)

    def _apply_reach(self, reach: Reach) -> None:
        """Ask the new owner where the old one is lost, and forget the asks of lost daemons."""
        for number, pending in list(self._pending.items()):
            if pending.owner and pending.owner not in reach.linked:
                del self._pending[number]
                self._dispatch(pending.ask, pending.reply, pending.until)
        for key, queue in self._queues.items():
            for vm in queue.waiting_vms() - reach.linked - {""}:
                queue.drop(vm)
            self._grant_due(key)

    # Permits of the limits that this daemon owns.

    def _decide_for_peer(self, vm: str, request: PermitRequest) -> None:
        key = (request.replica_id, request.born_ms)
        state = self._limits.state_of(key)
        if state is not None and not state.in_force:
            self._send_state(vm, key, state)
        wait_s = max(0.0, request.max_wait_s)
        # Without a state, the report of the limit is still on its way.
        known = state is not None
        match self._decide(key, request.rank, vm, request.number, wait_s) if known else PENDING:
            case Granted():
                self._grant(vm, request.number)
            case Refused(retry_after_s):
                self.peers.tell(SendTo(vm, PermitReply(request.number, False, retry_after_s)))

    def _decide(
        self, key: Incarnation, rank: int, vm: str, number: int, max_wait_s: float
    ) -> Granted | Queued | Refused:
        per_s = self.view.value.get(key)
        if per_s is None:
            return Granted()
        now, rate = self.clock.monotonic(), self._own_rate(per_s)
        if not rate:
            return PENDING
        if key not in self._queues:
            self._queues[key] = PermitQueue(rate, now)
        self._grant_due(key)
        decision = self._queues[key].ask(rank, vm, number, max_wait_s, now)
        self._schedule_wake(key)
        return decision

    def _own_rate(self, per_s: float) -> float:
        """Return the rate at which this daemon may grant permits, 0 while it knows no members."""
        if not self.topology.known.value:
            return 0.0
        share = (len(self.reach.value.linked) + 1) / self.topology.count.value
        return max(per_s, MIN_RATE_PER_S) * min(1.0, share)

    def _grant_due(self, key: Incarnation) -> None:
        queue, now = self._queues.get(key), self.clock.monotonic()
        if queue is None:
            return
        rate = self._own_rate(self.view.value.get(key, 0.0))
        if rate:
            queue.set_rate(rate, now)
        for ask in queue.grant_due(now):
            self._grant(ask.vm, ask.number)
        self._schedule_wake(key)

    def _grant(self, vm: str, number: int) -> None:
        if vm:
            self.peers.tell(SendTo(vm, PermitReply(number, True, 0.0)))
        else:
            self._end(number, Granted())

    def _schedule_wake(self, key: Incarnation) -> None:
        now = self.clock.monotonic()
        at = self._queues[key].next_at(now)
        if key not in self._wakes and at < math.inf:
            self._wakes.add(key)
            self.start(self._wake(key, max(MIN_WAKE_S, at - now)))

    async def _wake(self, key: Incarnation, delay_s: float) -> None:
        await self.clock.sleep(delay_s)
        self.tell(_Wake(key))


def _decode_state(report: ReplicaLimit, now: float) -> LimitState | None:
    """Return the state that a peer reports, None if its numbers make no sense."""
    ended_age_s = report.ended_age_s if report.ended_age_s is not None else math.inf
    numbers = (report.per_s, report.named_age_s, ended_age_s)
    if any(math.isnan(item) or item < 0 for item in numbers) or math.isinf(report.per_s):
        return None
    return LimitState(report.per_s, now - report.named_age_s, now - ended_age_s)
