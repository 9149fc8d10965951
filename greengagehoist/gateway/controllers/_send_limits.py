"""Controller that keeps the limits which replicas name, together with the other daemons."""

import math
from typing import Any, NamedTuple

from greengagehoist.deployment import DeploymentSnapshot
from greengagehoist.gateway.controllers._cold_limits import ColdLimits, log_cold_changes
from greengagehoist.gateway.controllers._limit_messages import (
    AcquireSend,
    CancelAcquire,
    ColdObserved,
    LimitObserved,
    SetColdRule,
    decode_limit_state,
)
from greengagehoist.gateway.controllers._owned_permits import (
    PENDING,
    OwnedPermits,
    PermitCalls,
    SendAsk,
)
from greengagehoist.gateway.controllers._ownership import Ownership
from greengagehoist.gateway.controllers._reach import Reach, ReachChanged
from greengagehoist.gateway.controllers._replicas import ReplicasChanged
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
    ReplicaCold,
    ReplicaLimit,
    SendTo,
    Subscribe,
)
from greengagehoist.replicas import (
    ColdState,
    Granted,
    Incarnation,
    LimitState,
    Queued,
    Refused,
    SendLimits,
    UnreadableLimit,
    incarnation_of,
)
from greengagehoist.utils import (
    Clock,
    Controller,
    Published,
    Reply,
    Tick,
    log_event,
    show_value,
    tick,
)

# Allows for several round trips to the daemon that grants permits.
OWNER_TIMEOUT_S = 0.15
TICK_S = 0.1
# Replicas whose unreadable statements are named in the log.
MAX_NAMED_ODD = 1000


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

    The allowance of a cold replica is a limit with a known end, which all daemons read for themselves.
    It is strict: its owner grants nothing while another one may still grant.

    :param own: this daemon.
    :param reach: published set of daemons that can be reached.
    :param snapshot: published configuration.
    :param evacuated: published data centres whose replicas get no requests.
    :ivar view: published limits in force, in requests a second.
    :ivar cold: published replicas that are cold and have an allowance.
    :ivar owned: permits of the limits that this daemon owns.
    """

    def __init__(
        self,
        peers: Controller,
        own: Member,
        topology: Topology,
        reach: Published[Reach],
        clock: Clock,
        snapshot: Published[DeploymentSnapshot | None] | None = None,
        evacuated: Published[frozenset[str]] | None = None,
    ):
        super().__init__("send_limits")
        self.peers = peers
        self.own = own
        self.topology = topology
        self.reach = reach
        self.clock = clock
        self.view: Published[dict[Incarnation, float]] = Published({})
        self.cold: Published[dict[Incarnation, ColdState]] = Published({})
        self._cold = ColdLimits(snapshot or Published(None), evacuated or Published(frozenset()))
        self._odd_cold: set[Incarnation] = set()
        self._ownership = Ownership(own.vm, topology, reach, clock)
        self._limits = SendLimits()
        self._spread = Spread(peers, own, topology, reach)
        self.owned = OwnedPermits(
            self.view,
            self._limits,
            self._cold,
            self._ownership,
            clock,
            PermitCalls(self._grant, self._refuse, self._start_wake),
        )
        self._pending: dict[int, _Pending] = {}
        self._last_number = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        kinds = (Hello, ReplicaLimit, ReplicaCold, PermitRequest, PermitReply, PermitCancel)
        self.peers.tell(Subscribe(kinds, self))
        self.start(tick(self, self.clock, TICK_S))
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
            case ColdObserved():
                self._observe_cold(message)
            case ReplicasChanged(table):
                self._cold.replicas.observe_list(table.replicas, self.clock.monotonic())
                self._publish()
            case SetColdRule(rule):
                self._cold.rule = rule
                self._publish()
            case Tick():
                self._look()
            case FromPeer(vm, data_centre, _, Hello()):
                self._spread.add_peer(vm, data_centre)
                for key, state in self._limits.states().items():
                    self._send_state(vm, key, state)
                for key, state in self.cold.value.items():
                    if math.isfinite(state.until):
                        self._send_cold(vm, key)
            case FromPeer(vm, _, _, received):
                self._handle_peer(vm, received)
            case ReachChanged(reach):
                self._apply_reach(reach)
            case _TimedOut(number):
                self._end(number, PENDING)
            case _Wake(key):
                self.owned.wake(key)

    def _handle_peer(self, vm: str, message: PeerMessage) -> None:
        match message:
            case ReplicaLimit():
                self._learn(message, vm)
            case ReplicaCold():
                self._learn_cold(message, vm)
            case PermitRequest():
                self._decide_for_peer(vm, message)
            case PermitReply(number, granted, retry_after_s):
                self._end(number, Granted() if granted else Refused(retry_after_s))
            case PermitCancel(number):
                self.owned.drop(vm, number)

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
        state = decode_limit_state(report, self.clock.monotonic())
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
        state = self._limits.state_of(key)
        if state.in_force:
            log_event("replica_limited", "WARNING", replica=key[0], limit_per_s=state.per_s)
        else:
            log_event("replica_limit_ended", replica=key[0])
        self._publish()
        self._spread.send(self._encode_state(key, self._limits.state_of(key)), origin)

    def _publish(self) -> None:
        """Publish the limits in force, and grant what waits for a limit that has ended."""
        before, cold_before, now = self.view.value, self.cold.value, self.clock.monotonic()
        cold, view = self._cold.cold(now), self._limits.in_force()
        for key in cold:
            view[key] = min(view.get(key, math.inf), self._cold.allowance(key).per_s)
        self.view.value, self.cold.value = view, cold
        self._ownership.look(self._cold.services)
        log_cold_changes(cold_before, cold, view)
        for key in before.keys() - view.keys():
            self.owned.end(key)
        self.owned.grant_due()

    def _look(self) -> None:
        """Notice cold periods and evacuations that have begun or ended, and changes of ownership."""
        now, zones = self.clock.monotonic(), self._cold.evacuated.value
        self._cold.replicas.set_evacuated(zones, now)
        self._end_evacuated(zones)
        self._ownership.look(self._cold.services)
        if self._cold.cold(now) != self.cold.value:
            self._publish()
        elif self.cold.value:
            self.owned.grant_due()

    def _observe_cold(self, message: ColdObserved) -> None:
        key, now = incarnation_of(message.replica), self.clock.monotonic()
        if math.isnan(message.cold_s):
            if key not in self._odd_cold and len(self._odd_cold) < MAX_NAMED_ODD:
                self._odd_cold.add(key)
                log_event("replica_cold_unreadable", "WARNING", count=1, keys=key[0])
        elif self._cold.replicas.observe_answer(key, message.cold_s, now):
            self._publish()
            self._spread.send(self._cold.encode(key, now), "")

    def _learn_cold(self, report: ReplicaCold, origin: str) -> None:
        key, now = (report.replica_id, report.born_ms), self.clock.monotonic()
        if self._cold.learn(key, report.cold_s, report.age_s, now):
            self._publish()
            self._spread.send(self._cold.encode(key, now), origin)

    def _send_cold(self, vm: str, key: Incarnation) -> None:
        self.peers.tell(SendTo(vm, self._cold.encode(key, self.clock.monotonic())))

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
        owner = self._ownership.owner_of(service)
        self._last_number += 1
        number, key = self._last_number, incarnation_of(ask.replica)
        wait_s = max(0.0, until - self.clock.monotonic())
        if owner != self.own.vm:
            self._pending[number] = _Pending(ask, reply, owner, until)
            request = PermitRequest(number, *key, ask.rank, wait_s, key in self.cold.value)
            self.start(self._ask_owner(owner, request))
            return
        match self.owned.decide(key, SendAsk(ask.rank, "", number, wait_s)):
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

    def _cancel(self, ticket: int) -> None:
        for number, pending in list(self._pending.items()):
            if pending.ask.ticket == ticket:
                self._withdraw(number)

    def _end_evacuated(self, zones: frozenset[str]) -> None:
        """Let the requests that wait for evacuated replicas choose again."""
        for number, pending in list(self._pending.items()):
            if pending.ask.replica.zone in zones:
                self._withdraw(number)
                pending.reply(Refused(0.0))

    def _withdraw(self, number: int) -> None:
        owner = self._pending.pop(number).owner
        if owner:
            self.peers.tell(SendTo(owner, PermitCancel(number)))
        else:
            self.owned.drop("", number)

    def _apply_reach(self, reach: Reach) -> None:
        """Ask the new owner where the old one is lost, and forget the asks of lost daemons."""
        for number, pending in list(self._pending.items()):
            if pending.owner and pending.owner not in reach.linked:
                del self._pending[number]
                self._dispatch(pending.ask, pending.reply, pending.until)
        self._ownership.look(self._cold.services)
        self.owned.keep_only(reach.linked | {""})
        self.owned.grant_due()

    # Permits of the limits that this daemon owns.

    def _decide_for_peer(self, vm: str, request: PermitRequest) -> None:
        key = (request.replica_id, request.born_ms)
        state = self._limits.state_of(key)
        if state is not None and not state.in_force:
            self._send_state(vm, key, state)
        wait_s = max(0.0, request.max_wait_s)
        # Otherwise what limits the replica is still on its way.
        is_cold = key in self.cold.value
        known = is_cold if request.cold else state is not None or is_cold
        ask = SendAsk(request.rank, vm, request.number, wait_s)
        match self.owned.decide(key, ask) if known else PENDING:
            case Granted():
                self._grant(vm, request.number)
            case Refused(retry_after_s):
                self._refuse(vm, request.number, retry_after_s)

    def _grant(self, vm: str, number: int) -> None:
        if vm:
            self.peers.tell(SendTo(vm, PermitReply(number, True, 0.0)))
        else:
            self._end(number, Granted())

    def _refuse(self, vm: str, number: int, retry_after_s: float) -> None:
        if vm:
            self.peers.tell(SendTo(vm, PermitReply(number, False, retry_after_s)))
        else:
            self._end(number, Refused(retry_after_s))

    def _start_wake(self, key: Incarnation, delay_s: float) -> None:
        self.start(self._wake(key, delay_s))

    async def _wake(self, key: Incarnation, delay_s: float) -> None:
        await self.clock.sleep(delay_s)
        self.tell(_Wake(key))
