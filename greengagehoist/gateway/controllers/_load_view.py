"""Controller that shares with the other daemons which requests are at which replicas."""

import math
from typing import Any, NamedTuple

from greengagehoist.gateway.controllers._load_figures import decode_all
from greengagehoist.gateway.controllers._load_hub import FOLLOW_S, MAX_COPIES, THOUSANDTHS, LoadHub
from greengagehoist.gateway.controllers._placement import OwnLoadChanged, PartsCopied
from greengagehoist.gateway.controllers._reach import Reach, ReachChanged
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.membership import Member
from greengagehoist.peers import (
    Broadcast,
    FromPeer,
    Hello,
    LoadReport,
    LoadSums,
    LoadUpdate,
    SendTo,
    SendToEach,
    Subscribe,
)
from greengagehoist.replicas import (
    NO_FIGURES,
    REFRESH_S,
    VIEW_MAX_AGE_S,
    LoadView,
    PartCopy,
    ReplicaCounts,
    ReplicaFigures,
    ReplicaTable,
    Source,
    rendezvous_rank,
    subtract_counts,
)
from greengagehoist.utils import Clock, Controller, Published, Reply, log_event

# Shortest time between two reports of a daemon, two updates of a hub to its daemons, and two
# messages between data centres, where traffic is expensive.
REPORT_PERIOD_S = 0.1
UPDATE_PERIOD_S = 0.25
SUMS_PERIOD_S = 0.5
# A report that was sent this long before an update arrives is contained in it.
TRANSIT_S = 0.02
# Answers that are remembered until the next report.
MAX_ANSWERS = 64
REPORT, UPDATE, SUMS = "report", "update", "sums"


class _Due(NamedTuple):
    """It is time to send messages of a kind."""

    kind: str
    at: float


class _Reported(NamedTuple):
    """Own counts as last reported."""

    counts: dict[str, ReplicaCounts]
    at: float


class LoadViewController(Controller):
    """Reports the requests of this daemon and publishes those of all others.

    With hubs, daemons report to one hub of their data centre, which sends changes of the sums to
    them and, less often, sums of the data centre to the hubs of the others. Without hubs, daemons
    report to each other. Nothing is sent while nothing changes, except for a short message each
    second while there are requests.

    :param own: this daemon.
    :param reach: published set of daemons that can be reached.
    :param table: published table of the known replicas.
    :param followers: controllers that receive :class:`PartsCopied`.
    :ivar view: published requests of all other daemons.
    :ivar messages: number of messages that it has sent or received.
    """

    def __init__(
        self,
        peers: Controller,
        own: Member,
        topology: Topology,
        reach: Published[Reach],
        table: Published[ReplicaTable],
        clock: Clock,
        followers: tuple[Controller, ...] = (),
    ):
        super().__init__("load_view")
        self.peers = peers
        self.own = own
        self.topology = topology
        self.reach = reach
        self.table = table
        self.clock = clock
        self.followers = followers
        self.view: Published[LoadView] = Published(LoadView())
        self._hub_state = LoadHub(Source(own.vm, own.vm, own.incarnation))
        self._own_counts: dict[str, ReplicaCounts] = {}
        self._answers: list[tuple[str, int]] = []
        self._copies: list[PartCopy] = []
        self._seq = 0
        self._reported = (_Reported({}, 0.0), _Reported({}, 0.0))
        self._hub = ""
        self._held: dict[str, ReplicaFigures] = {}
        self._held_from = ""
        self._held_seq = 0
        self._due: dict[str, float] = {}
        self._last: dict[str, float] = {}
        self._malformed: set[str] = set()
        self.messages = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        kinds = (Hello, LoadReport, LoadSums, LoadUpdate)
        self.peers.tell(Subscribe(kinds, self))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case OwnLoadChanged(counts, sample, copy):
                if copy is not None:
                    self._copies = [*self._copies, copy][-MAX_COPIES:]
                self._own_counts = self._hub_state.own_counts = counts
                if sample is not None and len(self._answers) < MAX_ANSWERS:
                    thousandths = max(1, round(min(sample.ratio, 100.0) * THOUSANDTHS))
                    self._answers.append((sample.replica_id, thousandths))
                self._schedule(REPORT, REPORT_PERIOD_S)
            case FromPeer(vm, _, _, Hello()):
                self._hub_state.forget_link(vm)
                if vm == self._held_from:
                    self._held_from = ""
            case FromPeer(vm, data_centre, incarnation, received):
                self.messages += 1
                try:
                    self._handle_peer(Source(vm, vm, incarnation), data_centre, received)
                except ValueError as exc:
                    self._log_malformed(vm, str(exc))
            case ReachChanged():
                self._apply_reach(message.reach)
            case _Due(kind, at):
                if self._due.get(kind) == at:
                    del self._due[kind]
                    self._last[kind] = self.clock.monotonic()
                    self._send(kind)

    def _handle_peer(self, source: Source, data_centre: str, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case LoadReport():
                listed = self.table.value.replicas
                self._hub_state.apply_report(source, message, listed, now)
                self._pass_copies_on(message, is_far=False)
                self._schedule(UPDATE, UPDATE_PERIOD_S)
                self._schedule(SUMS, SUMS_PERIOD_S)
            case LoadSums():
                self._hub_state.apply_sums(data_centre, source, message, now)
                self._pass_copies_on(message, is_far=True)
                self._schedule(UPDATE, UPDATE_PERIOD_S)
            case LoadUpdate():
                self._apply_update(source.vm, message, now)
                self._tell_copies(message)

    def _pass_copies_on(self, message: LoadReport | LoadSums, is_far: bool) -> None:
        if self.topology.shared.value:
            self._hub_state.add_copies(self._tell_copies(message), is_far)
        else:
            self._tell_copies(message)

    def _tell_copies(self, message: LoadReport | LoadSums | LoadUpdate) -> tuple[PartCopy, ...]:
        """Tell followers of the copies in a message, and return them."""
        listed = self.table.value.replicas
        pairs = zip(message.copied_parts, message.copied_to[:MAX_COPIES], strict=False)
        copies = tuple(item for item in pairs if item[1] in listed)
        if copies:
            for follower in self.followers:
                follower.tell(PartsCopied(copies))
        return copies

    # Timing.

    def _schedule(self, kind: str, period_s: float) -> None:
        """Send messages of a kind as soon as the last ones are ``period_s`` ago."""
        now = self.clock.monotonic()
        at = max(now, self._last.get(kind, now - period_s) + period_s)
        if kind not in self._due or at < self._due[kind]:
            self._due[kind] = at
            self.tell_later(_Due(kind, at), at - now)

    def tell_later(self, message: _Due, delay_s: float) -> None:
        """Send this controller a message after some time."""
        if delay_s <= 0:
            self.tell(message)
        else:
            self.start(self._tell_after(message, delay_s))

    async def _tell_after(self, message: _Due, delay_s: float) -> None:
        await self.clock.sleep(delay_s)
        self.tell(message)

    def _send(self, kind: str) -> None:
        match kind:
            case "report":
                self._send_report()
            case "update":
                self._send_updates()
            case "sums":
                self._send_sums()

    # This daemon's requests.

    def _send_report(self) -> None:
        now = self.clock.monotonic()
        hub = self._hub = self._find_hub()
        copies, self._copies = tuple(self._copies), []
        if self._own_counts:
            self._schedule(REPORT, REFRESH_S)
        if hub == self.own.vm:
            self._learn_own_answers()
            self._hub_state.add_copies(copies, is_far=False)
            self._schedule(UPDATE, UPDATE_PERIOD_S)
            self._schedule(SUMS, SUMS_PERIOD_S)
            return
        if self.topology.shared.value and not hub:
            self._answers.clear()
            return
        self._seq += 1
        counts = {key: tuple(item) for key, item in self._own_counts.items()}
        is_old = now - self.view.value.at > VIEW_MAX_AGE_S
        report = LoadReport(
            self._seq,
            is_old or self._held_from != hub,
            tuple(counts),
            tuple(counts.values()),
            tuple(key for key, _ in self._answers),
            tuple(slowdown for _, slowdown in self._answers),
            tuple(key for key, _ in copies),
            tuple(replica_id for _, replica_id in copies),
        )
        self.messages += 1
        if hub:
            self._answers.clear()
            self.peers.tell(SendTo(hub, report))
        else:
            self._learn_own_answers()
            self.peers.tell(Broadcast(report))
        self._reported = (self._reported[1], _Reported(self._own_counts, now))

    def _learn_own_answers(self) -> None:
        replicas = self.table.value.replicas
        for replica_id, slowdown in self._answers:
            if replica_id in replicas:
                service = replicas[replica_id].service
                self._hub_state.learnt.observe(replica_id, service, slowdown / THOUSANDTHS)
        self._answers.clear()

    def _apply_update(self, vm: str, update: LoadUpdate, now: float) -> None:
        """Apply what a hub says of the requests of all daemons, this one included."""
        if vm != self._hub or not (update.is_whole or vm == self._held_from):
            return
        if vm == self._held_from and update.seq <= self._held_seq:
            return
        changes = decode_all(update.replicas, update.figures)
        held = changes if update.is_whole else {**self._held, **changes}
        self._held = {key: item for key, item in held.items() if item != NO_FIGURES}
        self._held_from, self._held_seq = vm, update.seq
        before, last = self._reported
        own = last.counts if now - last.at >= TRANSIT_S else before.counts
        others = {
            key: (
                item._replace(counts=subtract_counts(item.counts, own[key])) if key in own else item
            )
            for key, item in self._held.items()
        }
        self.view.value = LoadView(others, now)

    # Sums of the others.

    def _find_hub(self, data_centre: str = "") -> str:
        """Return the hub of a data centre, by default the own one; empty if there is none."""
        if not self.topology.shared.value:
            return ""
        data_centre = data_centre or self.own.data_centre
        ready = self.reach.value.ready
        names = {
            item.vm
            for item in self.topology.links.value
            if item.data_centre == data_centre
            and item.vm in ready
            and self.topology.is_hub(item.vm)
        }
        if data_centre == self.own.data_centre and self.topology.is_hub(self.own.vm):
            names.add(self.own.vm)
        return max(names, key=lambda vm: rendezvous_rank(f"load {data_centre}", vm), default="")

    def _send_updates(self) -> None:
        now, state = self.clock.monotonic(), self._hub_state
        state.expire(self.table.value.replicas, now)
        others, is_shared = state.others(), self.topology.shared.value
        if not is_shared or self._find_hub() == self.own.vm:
            self.view.value = LoadView(others, now)
        if is_shared:
            for vms, update in state.next_updates(others, now):
                self._tell_each(vms, update)
        if state.has_counts():
            self._schedule(UPDATE, REFRESH_S)

    def _send_sums(self) -> None:
        if self._find_hub() != self.own.vm:
            return
        zones = {item.data_centre for item in self.topology.links.value}
        hubs = {self._find_hub(zone) for zone in zones} - {"", self.own.vm}
        for vms, sums in self._hub_state.next_sums(frozenset(hubs), self.clock.monotonic()):
            self._tell_each(vms, sums)
        if self._hub_state.has_near_counts():
            self._schedule(SUMS, REFRESH_S)

    def _tell_each(self, vms: tuple[str, ...], message: LoadUpdate | LoadSums) -> None:
        self.messages += len(vms)
        self.peers.tell(SendToEach(vms, message))

    def _apply_reach(self, reach: Reach) -> None:
        for vm in self._hub_state.followers() - reach.linked:
            self._hub_state.forget(vm)
            self._schedule(UPDATE, UPDATE_PERIOD_S)
        hub, now = self._find_hub(), self.clock.monotonic()
        if hub == self._hub or now - self._last.get(REPORT, -math.inf) > FOLLOW_S:
            return
        log_event("load_hub_changed", hub=hub, before=self._hub)
        if hub == self.own.vm:
            for replica_id, item in self._held.items():
                self._hub_state.learnt.seed(replica_id, item.slowdown)
        # The new hub needs whole reports of all daemons.
        self._schedule(REPORT, REPORT_PERIOD_S)

    def _log_malformed(self, vm: str, reason: str) -> None:
        if vm not in self._malformed:
            self._malformed.add(vm)
            log_event("load_message_malformed", "WARNING", peer=vm, reason=reason)
