"""Controller that finds the requests and prompt parts which end replicas, with the other daemons."""

from typing import Any, NamedTuple

from greengagehoist.gateway.controllers._owners import choose_owner
from greengagehoist.gateway.controllers._reach import Reach
from greengagehoist.gateway.controllers._spread import Spread
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.http1 import open_socket
from greengagehoist.membership import Member
from greengagehoist.peers import (
    FromPeer,
    Hello,
    PeerMessage,
    PromptAnswered,
    ReplicaCrash,
    SendTo,
    Subscribe,
    TrialReply,
    TrialRequest,
)
from greengagehoist.quarantine import (
    SAME_REPORTED_CRASH_S,
    Crash,
    HeldPart,
    ServiceEvidence,
    attribute_crashes,
)
from greengagehoist.replicas import Replica
from greengagehoist.utils import Clock, Controller, Published, Reply, Tick, log_event, tick

EXPIRE_PERIOD_S = 10.0
# The address of a replica that has ended refuses connections within a round trip.
CONNECT_TIMEOUT_S = 0.1
# Allows for several round trips to the daemon that grants trials.
OWNER_TIMEOUT_S = 0.15
# A trial without a result, because its client left for example, may be repeated after this time.
TRIAL_TIMEOUT_S = 10.0
# Retry-After while the result of a trial, or the answer of its owner, is awaited.
PENDING_RETRY_AFTER_S = 1.0


class ServiceView(NamedTuple):
    """What filters need to know of the suspected parts of one service.

    :param held: parts in quarantine.
    :param suspected: parts that a complete answer would clear.
    :param awaiting_others: parts for which an answer to a prompt without them would be news.
    """

    held: dict[int, HeldPart]
    suspected: frozenset[int]
    awaiting_others: frozenset[int]


class QuarantineView(NamedTuple):
    """Published state of the quarantine.

    :param services: by name; empty while no replica has ended recently.
    :param crashes: crashes that are attributed to a part.
    """

    services: dict[str, ServiceView] = {}
    crashes: int = 0


class ReportBroken(NamedTuple):
    """Report an answer that was broken off.

    Replied by whether its replica has ended, once that is known.

    :param prompt: keys of the shared parts of its prompt, of the request itself, and of what tells it
        from others; empty if the answer had begun before.
    """

    service: str
    replica: Replica
    prompt: tuple[int, ...]


class ReportAnswer(NamedTuple):
    """Report a complete answer.

    :param parts: keys of the shared parts of its prompt, and of the request itself.
    """

    service: str
    parts: frozenset[int]


class RequestTrial(NamedTuple):
    """Ask whether a request may try parts in quarantine; replied by :class:`TrialDecision`.

    :param parts: keys of the shared parts of its prompt, and of the request itself.
    """

    service: str
    parts: frozenset[int]


class TrialDecision(NamedTuple):
    """Answer to :class:`RequestTrial`.

    :param retry_after_s: seconds until a trial may be granted, 0 if it is granted.
    """

    granted: bool
    retry_after_s: float


class _Checked(NamedTuple):
    replica: Replica
    ended: bool


class _OwnerTimedOut(NamedTuple):
    number: int


class QuarantineController(Controller):
    """Collects evidence of all daemons and publishes which parts of prompts are held back.

    Evidence spreads as it is learnt: each daemon tells those that it is linked to, and hubs pass it
    on to the daemons of their data centre. All judge the same evidence alike. Only trials have an
    owner, so that one request tries a part and not one at each daemon.

    :param own: this daemon.
    :param reach: published set of daemons that can be reached.
    :ivar view: published state.
    """

    def __init__(
        self,
        peers: Controller,
        own: Member,
        topology: Topology,
        reach: Published[Reach],
        clock: Clock,
    ):
        super().__init__("quarantine")
        self.peers = peers
        self.own = own
        self.topology = topology
        self.reach = reach
        self.clock = clock
        self.view: Published[QuarantineView] = Published(QuarantineView())
        self._evidence: dict[str, ServiceEvidence] = {}
        self._checks: dict[Replica, list[tuple[ReportBroken, Reply]]] = {}
        self._trials: dict[tuple[str, int], float] = {}
        self._asked: dict[int, Reply] = {}
        self._last_number = 0
        self._spread = Spread(peers, own, topology, reach)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        kinds = (Hello, ReplicaCrash, PromptAnswered, TrialRequest, TrialReply)
        self.peers.tell(Subscribe(kinds, self))
        self.start(tick(self, self.clock, EXPIRE_PERIOD_S))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case ReportBroken():
                self._check_replica(message, reply)
            case _Checked(replica, ended):
                self._finish_check(replica, ended)
            case ReportAnswer(service, parts):
                self._record_answer(service, parts, self.clock.monotonic())
            case RequestTrial():
                self._request_trial(message, reply)
            case FromPeer(vm, data_centre, _, Hello()):
                self._greet(vm, data_centre)
            case FromPeer(vm, _, _, received):
                self._handle_peer(vm, received)
            case _OwnerTimedOut(number):
                self._end_query(number, TrialDecision(False, PENDING_RETRY_AFTER_S))
            case Tick():
                self._expire()

    def _handle_peer(self, vm: str, message: PeerMessage) -> None:
        now = self.clock.monotonic()
        match message:
            case ReplicaCrash(service, replica_id, born_ms, age_s, prompts):
                crash = Crash(replica_id, born_ms, now - age_s, frozenset(prompts))
                self._record_crash(service, crash, origin=vm)
            case PromptAnswered(service, parts, age_s):
                self._record_answer(service, frozenset(parts), now - age_s, origin=vm)
            case TrialRequest(number, service, parts):
                decision = self._decide_trial(service, frozenset(parts))
                self.peers.tell(SendTo(vm, TrialReply(number, *decision)))
            case TrialReply(number, granted, retry_after_s):
                self._end_query(number, TrialDecision(granted, retry_after_s))

    def _greet(self, vm: str, data_centre: str) -> None:
        """Tell a daemon with a new link what is known; it may have just started."""
        self._spread.add_peer(vm, data_centre)
        for service, evidence in self._evidence.items():
            for crash in evidence.crashes:
                self.peers.tell(SendTo(vm, self._encode_crash(service, crash)))

    # Evidence.

    def _check_replica(self, report: ReportBroken, reply: Reply) -> None:
        """Find out whether the replica has ended, or only the connection."""
        waiting = self._checks.setdefault(report.replica, [])
        waiting.append((report, reply))
        if len(waiting) == 1:
            self.start(self._connect(report.replica))

    async def _connect(self, replica: Replica) -> None:
        ended = False
        try:
            sock = await open_socket(replica.host, replica.port, CONNECT_TIMEOUT_S)
            sock.abort()
        except ConnectionRefusedError:
            ended = True
        except (OSError, TimeoutError):
            # The replica or the way to it is silent, which says nothing about the request.
            pass
        self.tell(_Checked(replica, ended))

    def _finish_check(self, replica: Replica, ended: bool) -> None:
        reports = self._checks.pop(replica)
        if ended:
            prompts = frozenset(report.prompt for report, _ in reports if report.prompt)
            log_event(
                "replica_crashed",
                "WARNING",
                replica=replica.replica_id,
                service=replica.service,
                prompts=len(prompts),
            )
            now = self.clock.monotonic()
            crash = Crash(replica.replica_id, replica.born_ms, now, prompts)
            self._record_crash(replica.service, crash)
        for _, reply in reports:
            reply(ended)

    def _record_crash(self, service: str, crash: Crash, origin: str = "") -> None:
        evidence = self._evidence.setdefault(service, ServiceEvidence())
        if origin:
            merged = evidence.record_crash(crash, SAME_REPORTED_CRASH_S)
        else:
            merged = evidence.record_crash(crash)
        if merged is None:
            return
        self._forget_trials(service, merged.shared_parts)
        self._publish(service)
        self._spread.send(self._encode_crash(service, merged), origin)

    def _record_answer(
        self, service: str, parts: frozenset[int], at: float, origin: str = ""
    ) -> None:
        evidence = self._evidence.get(service)
        if evidence is None:
            return
        parts &= evidence.parts
        if not evidence.record_answer(parts, at):
            return
        self._forget_trials(service, parts)
        self._publish(service)
        age_s = self.clock.monotonic() - at
        self._spread.send(PromptAnswered(service, tuple(sorted(parts)), age_s), origin)

    def _encode_crash(self, service: str, crash: Crash) -> ReplicaCrash:
        age_s = self.clock.monotonic() - crash.at
        return ReplicaCrash(
            service, crash.replica_id, crash.born_ms, age_s, tuple(sorted(crash.prompts))
        )

    def _expire(self) -> None:
        now = self.clock.monotonic()
        self._trials = {key: until for key, until in self._trials.items() if until > now}
        for service, evidence in list(self._evidence.items()):
            evidence.expire(now)
            if not evidence.crashes:
                del self._evidence[service]
            self._publish(service)

    def _publish(self, service: str) -> None:
        services = dict(self.view.value.services)
        before = services.pop(service, None)
        evidence = self._evidence.get(service)
        held = attribute_crashes(evidence) if evidence is not None else {}
        if evidence is not None:
            suspected = frozenset(evidence.open_crashes())
            services[service] = ServiceView(held, suspected, evidence.awaiting_others())
        _log_changes(service, before.held if before is not None else {}, held)
        held_parts = [part for item in services.values() for part in item.held.values()]
        # Rivals share their crashes.
        crashes = sum(part.crashes / (1 + len(part.rivals)) for part in held_parts)
        self.view.value = QuarantineView(services, round(crashes))

    # Trials.

    def _request_trial(self, request: RequestTrial, reply: Reply) -> None:
        owner = choose_owner(self.own.vm, self.topology, self.reach.value, request.service)
        if owner == self.own.vm:
            reply(self._decide_trial(request.service, request.parts))
            return
        self._last_number += 1
        self._asked[self._last_number] = reply
        parts = tuple(sorted(request.parts))
        self.start(self._ask_owner(owner, TrialRequest(self._last_number, request.service, parts)))

    async def _ask_owner(self, owner: str, request: TrialRequest) -> None:
        if await self.peers.ask(SendTo(owner, request)):
            await self.clock.sleep(OWNER_TIMEOUT_S)
        self.tell(_OwnerTimedOut(request.number))

    def _end_query(self, number: int, decision: TrialDecision) -> None:
        reply = self._asked.pop(number, None)
        if reply is not None:
            reply(decision)

    def _decide_trial(self, service: str, parts: frozenset[int]) -> TrialDecision:
        view, now = self.view.value.services.get(service), self.clock.monotonic()
        held = {key: part for key, part in view.held.items() if key in parts} if view else {}
        wait_s = max((part.trial_at_with(parts) - now for part in held.values()), default=0.0)
        if wait_s > 0:
            return TrialDecision(False, wait_s)
        if any(self._trials.get((service, key), 0.0) > now for key in held):
            return TrialDecision(False, PENDING_RETRY_AFTER_S)
        for key in held:
            self._trials[service, key] = now + TRIAL_TIMEOUT_S
            log_event("trial_granted", service=service, part=format_key(key))
        return TrialDecision(True, 0.0)

    def _forget_trials(self, service: str, parts: frozenset[int]) -> None:
        for key in parts:
            self._trials.pop((service, key), None)


def format_key(key: int) -> str:
    """Return the key of a prompt part as log lines show it."""
    return f"{key:014x}"


def _log_changes(service: str, before: dict[int, HeldPart], held: dict[int, HeldPart]) -> None:
    for key in held.keys() - before.keys():
        log_event(
            "part_quarantined",
            "WARNING",
            service=service,
            part=format_key(key),
            crashes=held[key].crashes,
            rivals=len(held[key].rivals),
        )
    for key in before.keys() - held.keys():
        log_event("part_released", service=service, part=format_key(key))
