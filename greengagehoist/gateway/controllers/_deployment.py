"""Controller that follows the operator's configuration and evacuations on the platform."""

from collections.abc import Callable
from typing import Any, NamedTuple

from returns.result import Result, Success

from greengagehoist.deployment import DeploymentSnapshot
from greengagehoist.gateway.controllers._deployment_content import (
    decode_content,
    deployment_token,
    encode_content,
    row_of_token,
    shared_evacuations,
)
from greengagehoist.gateway.controllers._deployment_reads import DeploymentReads
from greengagehoist.gateway.controllers._evacuations import Evacuations
from greengagehoist.gateway.controllers._held_content import HeldContent
from greengagehoist.gateway.controllers._held_deployment import (
    HeldDeployment,
    InForce,
    NoConfiguration,
    ReadOutcome,
    apply_confirmation,
    apply_own_read,
    apply_shared_evacuations,
    apply_shared_read,
    apply_table_state,
    apply_unused_read,
)
from greengagehoist.gateway.controllers._relay import AddSource, AskPeer, Waiting
from greengagehoist.gateway.controllers._shared_reads import (
    Changed,
    Confirmed,
    HubBusy,
    HubStale,
    ReadNow,
    SharedReads,
)
from greengagehoist.peers import GetPeers, Peer, UpdateHeartbeat
from greengagehoist.platform_client import (
    DeploymentRead,
    Revision,
    TableState,
)
from greengagehoist.utils import (
    Clock,
    Controller,
    Published,
    Reply,
    Tick,
    log_event,
    show_value,
)

# Longest wait of a daemon that starts for a peer that may hold a newer configuration than the
# platform, which may have been restored from a copy.
PEER_WAIT_S = 0.5
PEER_POLL_PERIOD_S = 0.05
# Peers with a newer configuration that are asked in turn while they are silent.
MAX_PEERS_ASKED = 3
# Times that a daemon waits for a busy peer, each up to a second.
MAX_PEER_WAITS = 5


class SetReadPeriod(NamedTuple):
    """Set the seconds between reads of the platform."""

    seconds: float


class _ReadEnded(NamedTuple):
    result: Result
    sent_at: float


class _TableRead(NamedTuple):
    state: TableState
    sent_at: float


class _SharedReadEnded(NamedTuple):
    read: DeploymentRead
    evacuations: Evacuations
    held: HeldContent


class _ReadUnused(NamedTuple):
    era: int


class _ConfirmationReceived(NamedTuple):
    row: Revision
    step: Confirmed


class DeploymentController(Controller):
    """Reads the configuration periodically and publishes the newest version and its confirmation.

    It polls instead of waiting for a change feed, because only the answer to a read that was sent
    after a given time proves that no key was revoked before that time. A read moves only what has
    changed. Evacuations are in the same table and are read, passed on and published together with it.

    :param peers: controller of the links, by which daemons tell each other their versions.
    :param reads: decides whether a hub or the platform is asked.
    :param decode: decodes the configuration that a hub has read in a revision of its row.
    :ivar snapshot: published configuration, None before the first one. It is published after the
        evacuations of the same read.
    :ivar evacuated: published data centres that get no work.
    :ivar held: published configuration and when the platform held it, for other daemons.
    """

    def __init__(
        self,
        platform: Controller,
        peers: Controller,
        reads: SharedReads,
        decode: Callable[[str, Revision], DeploymentRead],
        clock: Clock,
    ):
        super().__init__("deployment")
        self.platform = platform
        self.peers = peers
        self.reads = reads
        self.decode = decode
        self.clock = clock
        self.own_reads = DeploymentReads(platform, clock, reads.rng)
        self.snapshot: Published[DeploymentSnapshot | None] = Published(None)
        self.evacuated: Published[frozenset[str]] = Published(frozenset())
        self.held: Published[HeldContent | None] = Published(None)
        self._deployment = HeldDeployment()
        self._state: TableState | None = None
        self._held_key: tuple | None = None
        self._outcome: ReadOutcome = NoConfiguration()
        self._last_read = Revision()
        self._failing = False

    async def run(self) -> None:
        """Read until cancelled."""
        self.reads.relay.tell(AddSource("deployment", self.held))
        self.tell(Tick())
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Tick():
                self.start(self.reads.guard(self._read(), lambda: self.tell(Tick())))
            case SetReadPeriod(seconds):
                self.reads.period_s = seconds
            case _ReadEnded(result, sent_at):
                reply(self._apply(result, sent_at))
            case _TableRead(state, sent_at):
                self._state = state
                self._deployment = apply_table_state(self._deployment, state, sent_at)
                self._publish_evacuations()
                reply(None)
            case _SharedReadEnded():
                reply(self._apply_shared_read(*message))
            case _ReadUnused(era):
                now = self.clock.monotonic()
                # The next read is a whole one: what this one has shown is not held.
                self._state = None
                self._deployment = apply_unused_read(self._deployment, era, now)
            case _ConfirmationReceived(row, step):
                reply(self._apply_confirmation(row, step))

    async def _read(self) -> None:
        row, era = self._deployment.row, self._deployment.era or 0
        held = self.held.value
        step = await self.reads.next_step(held.token if held and row.version else "", era)
        outcome: ReadOutcome | None = None
        match step:
            case Confirmed():
                outcome = await self.ask(_ConfirmationReceived(row, step))
            case Changed(held):
                outcome = await self._decode_shared(held)
            case ReadNow():
                outcome = await self._read_platform(row)
            case HubStale() | HubBusy():
                pass
        await self.reads.pause(step, isinstance(outcome, InForce))
        self.tell(Tick())

    async def _read_platform(self, row: Revision) -> ReadOutcome | None:
        state = self._state
        # A state of an earlier era says nothing about what has changed since.
        usable = state is not None and state.table.era == self._deployment.era
        result, sent_at = await self.own_reads.read(row, state if usable else None)
        if isinstance(result, Success):
            await self.ask(_TableRead(result.unwrap().state, sent_at))
            if not await self._ask_peers(result.unwrap()):
                self.tell(_ReadUnused(result.unwrap().row.era))
                return None
        return await self.ask(_ReadEnded(result, sent_at))

    async def _decode_shared(self, held: HeldContent) -> ReadOutcome | None:
        own = self._deployment
        try:
            row = row_of_token(held.token)
            source, zones = decode_content(held.content)
            evacuations = shared_evacuations(zones, held.table, held.evacuations_era)
            if own.snapshot is not None and (row, source) == (own.row, own.source):
                read = DeploymentRead(own.snapshot.deployment, row, source)
            else:
                read = self.decode(source, row)
        except ValueError as exc:
            log_event("hub_read_unreadable", "WARNING", topic="deployment", reason=str(exc))
            return None
        return await self.ask(_SharedReadEnded(read, evacuations, held))

    async def _ask_peers(self, read: DeploymentRead) -> bool:
        """Get the configuration of a peer that holds a newer one than the platform shows.

        The platform shows an older one after a restore. A daemon that starts does not know of the
        restore, so it waits until the daemons that it links to have told their versions, and asks
        one in any case. It does not use what it has read while a peer that holds more is silent.

        :returns: whether the read may be used.
        """
        starting = self.snapshot.value is None
        if starting and read.row.version:
            await self._wait_for_peers()
        shown = read.deployment.version if read.deployment else 0
        version = max(self._deployment.version, shown)
        informed = [item for item in await self._informed_peers() if _version_of(item)]
        informed.sort(key=_version_of, reverse=True)
        ahead = [item for item in informed if _version_of(item) > version]
        if ahead:
            log_event(
                "configuration_older_than_peers",
                version=version,
                peer=ahead[0].vm,
                peer_version=_version_of(ahead[0]),
                era=read.row.era,
            )
        elif not starting:
            return True
        # A peer that holds what was read says so and transfers nothing.
        content = encode_content(read.source, read.state.evacuated) if read.source else ""
        token = deployment_token(read.row, content) if content else ""
        for peer in (ahead or informed)[:MAX_PEERS_ASKED]:
            held = await self._ask_peer(peer.vm, token)
            if held is not None and held.token == token:
                held = held._replace(content=content)
            if held is not None and held.content and await self._decode_shared(held):
                return True
        return not (starting and ahead)

    async def _ask_peer(self, vm: str, token: str) -> HeldContent | None:
        for _ in range(MAX_PEER_WAITS):
            held = await self.reads.relay.ask(AskPeer("deployment", vm, token))
            if not isinstance(held, Waiting):
                return held
            await self.clock.sleep(held.wait_s)
        return None

    async def _wait_for_peers(self) -> None:
        topology, deadline = self.reads.topology, self.clock.monotonic() + PEER_WAIT_S
        while self.clock.monotonic() < deadline:
            informed = await self._informed_peers()
            wanted = {item.vm for item in topology.links.value}
            answered = {item.vm for item in informed}
            if any(map(_version_of, informed)) or (topology.known.value and wanted <= answered):
                return
            await self.clock.sleep(PEER_POLL_PERIOD_S)

    async def _informed_peers(self) -> list[Peer]:
        return [item for item in await self.peers.ask(GetPeers()) if item.heartbeat is not None]

    def _apply_shared_read(
        self, read: DeploymentRead, evacuations: Evacuations, held: HeldContent
    ) -> ReadOutcome:
        now = self.clock.monotonic()
        known = apply_shared_evacuations(self._deployment, evacuations)
        applied = apply_shared_read(known, read, held.at, now, held.era, held.proven_era)
        if held.is_exact:
            self._learn_state(TableState(evacuations.table, read.row, evacuations.zones))
        return self._hold(*applied)

    def _apply_confirmation(self, row: Revision, step: Confirmed) -> ReadOutcome:
        zones = self._deployment.evacuations.zones
        found = shared_evacuations(zones, step.table, step.evacuations_era)
        if step.is_exact:
            self._learn_state(TableState(found.table, row, zones))
        known = apply_shared_evacuations(self._deployment, found)
        return self._hold(*apply_confirmation(known, row, step.at, step.proven_era))

    def _learn_state(self, state: TableState) -> None:
        """Follow the state of the table that a hub has read, to read only later changes."""
        if self._state is None or state.table >= self._state.table:
            self._state = state

    def _apply(self, result: Result, sent_at: float) -> ReadOutcome | None:
        if not isinstance(result, Success):
            self._set_failing(True, result.failure().message)
            return None
        self._set_failing(False, "")
        read = result.unwrap()
        self._log_row(read)
        now = self.clock.monotonic()
        return self._hold(*apply_own_read(self._deployment, read, sent_at, now))

    def _hold(self, deployment: HeldDeployment, outcome: ReadOutcome) -> ReadOutcome:
        before, self._deployment = self._deployment, deployment
        self._publish_evacuations()
        snapshot = self.snapshot.value = deployment.snapshot
        self._log_outcome(outcome)
        if snapshot is None:
            return outcome
        self._publish_held(deployment, snapshot)
        if before.version != deployment.version:
            self.peers.tell(UpdateHeartbeat(config_version=deployment.version))
            log_event(
                "configuration_changed",
                version=deployment.version,
                before=before.version or "",
                era=deployment.row.era,
                row=deployment.row.version,
                routes=sum(len(item) for item in snapshot.deployment.routes.values()),
            )
        return outcome

    def _publish_evacuations(self) -> None:
        zones = self._deployment.evacuations.zones
        if zones != self.evacuated.value:
            self.evacuated.value = zones
            log_event(
                "evacuations_changed", zones=",".join(map(show_value, sorted(zones))) or "none"
            )

    def _publish_held(self, deployment: HeldDeployment, snapshot: DeploymentSnapshot) -> None:
        held, row, evacuations = self.held.value, deployment.row, deployment.evacuations
        if held is None or self._held_key != (row, evacuations.zones):
            self._held_key = row, evacuations.zones
            content = encode_content(deployment.source, evacuations.zones)
            token = deployment_token(row, content)
        else:
            content, token = held.content, held.token
        shown = TableState(evacuations.table, row, evacuations.zones)
        self.held.value = HeldContent(
            token,
            snapshot.confirmed_at,
            content,
            era=deployment.era or 0,
            proven_era=deployment.proven_era,
            table=evacuations.table.token,
            is_exact=self._state == shown,
            evacuations_era=-1 if evacuations.proven_era is None else evacuations.proven_era,
        )

    def _log_outcome(self, outcome: ReadOutcome) -> None:
        if outcome == self._outcome:
            return
        self._outcome, held = outcome, self._deployment
        if isinstance(outcome, NoConfiguration) and held.snapshot is None:
            return
        log_event(
            "configuration_read_judged",
            outcome=type(outcome).__name__,
            era=held.era,
            held_era=held.row.era,
            held_row=held.row.version,
            held_version=held.version,
        )

    def _log_row(self, read: DeploymentRead) -> None:
        if read.row == self._last_read:
            return
        self._last_read, held = read.row, self._deployment
        log_event(
            "configuration_row_read",
            era=read.row.era,
            row=read.row.version,
            version="same row" if read.deployment is None else read.deployment.version,
            held_era=held.row.era,
            held_row=held.row.version,
            held_version=held.version or "",
        )

    def _set_failing(self, failing: bool, reason: str) -> None:
        if failing == self._failing:
            return
        self._failing = failing
        if failing:
            log_event("configuration_reads_failing", "WARNING", reason=reason)
        else:
            log_event("configuration_reads_restored")


def _version_of(peer: Peer) -> int:
    return peer.heartbeat.config_version if peer.heartbeat else 0
