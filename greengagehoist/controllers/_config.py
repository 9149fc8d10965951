"""Controller that owns the configuration in force."""

import random
from typing import Any, NamedTuple

from returns.result import Failure, Success

from greengagehoist.codec import decode_snapshot, encode_snapshot
from greengagehoist.config import (
    SNAPSHOT_INTERVAL_VERSIONS,
    ApplyResult,
    ListsError,
    Log,
    Snapshot,
    Version,
    apply_snapshot,
    apply_versions,
    not_ready_reason,
    parse_snapshot,
    parse_version,
    take_snapshot,
    version_to_dict,
    versions_after,
)
from greengagehoist.controllers._proposals import (
    PREFIX,
    Propose,
    execute_proposal,
    invalid_proposal,
    read_row,
    row_key,
)
from greengagehoist.peers import (
    Broadcast,
    ConfigPush,
    ConfigRequest,
    FromPeer,
    Heartbeat,
    SendTo,
    Subscribe,
)
from greengagehoist.platform_client import GetObject, PutObject, ReadRange, Row
from greengagehoist.utils import Clock, Controller, Reply, Tick, ValidationError, log_event

POLL_PERIOD_S = 1.0
POLL_JITTER = 0.25
REQUEST_INTERVAL_S = 0.5
PAGE_ROWS = 1000
MAX_PUSHES_PER_REQUEST = 50
SNAPSHOT_ATTEMPTS = 5
SNAPSHOT_RETRY_S = 2.0
SNAPSHOT_OBJECT = "config-snapshot"


class GetConfig(NamedTuple):
    """Ask for the configuration in force; replied by ``Config``."""


class GetConfigStatus(NamedTuple):
    """Ask for the state of the configuration; replied by :class:`ConfigStatus`."""


class GetHistory(NamedTuple):
    """Ask for accepted versions; replied by ``tuple[HistoryEntry, ...]``, the newest last.

    :param limit: maximum number of versions to return.
    """

    limit: int


class HistoryEntry(NamedTuple):
    """One accepted version.

    :param written_at: time at which the table accepted the version, in seconds since the Unix
        epoch; None if the table was unreachable and the version comes from this daemon's memory.
    """

    version: Version
    written_at: float | None


class ConfigStatus(NamedTuple):
    """State of the configuration on this daemon.

    :param age: seconds since this daemon applied the version.
    :param not_ready: reason why requests cannot be served yet, empty if they can.
    :param table_age: seconds since the last complete read of the table, None if there was none.
    :param blocked: reason why the next version in the table cannot be applied, empty if it can.
    """

    version: int
    digest: str
    age: float
    not_ready: str
    table_age: float | None
    blocked: str


class _RowsRead(NamedTuple):
    """Rows read from the table; replied by the version in force after applying them.

    :param complete: True if the end of the table was reached.
    """

    rows: tuple[Row, ...]
    complete: bool


class _ProposalResolved(NamedTuple):
    """A version that a proposal wrote to or found in the table; replied after it is applied.

    :param own: True if the proposal of this daemon was accepted.
    """

    version: Version
    own: bool


class _SnapshotLoaded(NamedTuple):
    snapshot: Snapshot | None


class _PollEnded(NamedTuple):
    """Report that the polling task has ended."""


class _GetLog(NamedTuple):
    """Ask for the log of known versions; replied by :class:`Log`."""


class ConfigController(Controller):
    """Keeps the newest accepted configuration and submits proposals to the table.

    :param peers: peer controller, or None if this daemon has no peers.
    """

    def __init__(
        self,
        platform: Controller,
        clock: Clock,
        rng: random.Random,
        peers: Controller | None = None,
    ):
        super().__init__("config")
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.peers = peers
        self._log = Log()
        self._applied_at = 0.0
        self._table_read_at: float | None = None
        self._highest_peer_version: int | None = None
        self._requested_at = float("-inf")
        self._blocked = ""
        self._polling = False

    async def run(self) -> None:
        """Poll the table and apply versions from peers until cancelled."""
        self._applied_at = self.clock.monotonic()
        if self.peers is not None:
            self.peers.tell(Subscribe((Heartbeat, ConfigPush, ConfigRequest), self))
        self.start(self._schedule_polls())
        await super().run()

    async def _schedule_polls(self) -> None:
        while True:
            self.tell(Tick())
            await self.clock.sleep(POLL_PERIOD_S * (1 + self.rng.uniform(-1, 1) * POLL_JITTER))

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case GetConfig():
                reply(self._log.cfg)
            case GetConfigStatus():
                reply(self._status())
            case GetHistory(limit):
                self.start(self._history(self._log, limit, reply))
            case Propose():
                self.start(self._propose(message, self._log, reply))
            case FromPeer(vm=vm, message=payload):
                self._handle_peer(vm, payload)
            case _:
                self._handle_internal(message, reply)

    def _handle_internal(self, message: Any, reply: Reply) -> None:
        match message:
            case Tick() if not self._polling:
                self._polling = True
                self.start(self._poll_once(self._log.cfg.version))
            case _PollEnded():
                self._polling = False
            case _RowsRead(rows, complete):
                self._apply_rows(rows)
                if complete:
                    self._table_read_at = self.clock.monotonic()
                reply(self._log.cfg.version)
            case _SnapshotLoaded(snapshot):
                if snapshot is not None:
                    self._install(apply_snapshot(self._log, snapshot), "snapshot")
                reply(self._log.cfg.version)
            case _ProposalResolved(version, own):
                self._apply_resolved(version, own)
                reply(self._log.cfg.version)
            case _GetLog():
                reply(self._log)

    def _status(self) -> ConfigStatus:
        now, cfg = self.clock.monotonic(), self._log.cfg
        read_at = self._table_read_at
        return ConfigStatus(
            cfg.version,
            cfg.digest,
            now - self._applied_at,
            not_ready_reason(cfg, read_at is not None, self._highest_peer_version),
            None if read_at is None else now - read_at,
            self._blocked,
        )

    # Versions

    def _install(self, result: ApplyResult, source: str) -> None:
        """Put versions in force; log them and those that could not be applied."""
        before = self._log.cfg.version
        self._log = result.log
        for item in result.applied:
            log_event(
                "config_applied",
                version=item.version,
                op_id=item.op_id,
                author=item.author,
                source=source,
            )
        for version, reason in result.faults:
            self._report_fault(version, reason, source)
        if self._log.cfg.version > before:
            self._applied_at = self.clock.monotonic()
            self._blocked = ""
            if not result.applied:
                log_event("config_applied", version=self._log.cfg.version, source=source)

    def _report_fault(self, version: int, reason: str, source: str) -> None:
        """Log a version that cannot be applied; a table row is logged once, not at every poll."""
        text = f"version {version}: {reason}"
        if source == "table":
            if text == self._blocked:
                return
            self._blocked = text
        log_event("config_not_applied", "ERROR", version=version, reason=reason, source=source)

    def _apply_rows(self, rows: tuple[Row, ...]) -> None:
        versions = []
        for row in rows:
            parsed = read_row(row)
            if isinstance(parsed, ValidationError) and parsed.field == "key":
                log_event("config_key_ignored", "WARNING", key=row.key)
                continue
            if isinstance(parsed, ValidationError):
                number = self._log.cfg.version + len(versions) + 1
                self._install(apply_versions(self._log, tuple(versions)), "table")
                self._report_fault(number, f"row {row.key}: {parsed}", "table")
                return
            versions.append(parsed)
        self._install(apply_versions(self._log, tuple(versions)), "table")

    def _apply_resolved(self, version: Version, own: bool) -> None:
        self._install(apply_versions(self._log, (version,)), "proposal" if own else "table")
        if not own:
            return
        if self.peers is not None:
            push = ConfigPush(version.version, version_to_dict(version))
            self.peers.tell(Broadcast(push))
        if version.version % SNAPSHOT_INTERVAL_VERSIONS == 0:
            self.start(self._save_snapshot(take_snapshot(self._log)))

    # Peers

    def _handle_peer(self, vm: str, message: Any) -> None:
        match message:
            case Heartbeat(config_version=version):
                self._highest_peer_version = max(version, self._highest_peer_version or 0)
                if version > self._log.cfg.version:
                    self._request_versions(vm)
            case ConfigPush(version, value):
                self._apply_push(vm, version, value)
            case ConfigRequest(after):
                self._send_versions(vm, after)

    def _request_versions(self, vm: str) -> None:
        now = self.clock.monotonic()
        if now - self._requested_at >= REQUEST_INTERVAL_S:
            self._requested_at = now
            self.peers.tell(SendTo(vm, ConfigRequest(self._log.cfg.version)))

    def _apply_push(self, vm: str, version: int, value: Any) -> None:
        try:
            if isinstance(value, dict) and "snapshot" in value:
                result = apply_snapshot(self._log, parse_snapshot(value["snapshot"]))
            else:
                result = apply_versions(self._log, (parse_version(version, value),))
        except ValidationError as exc:
            log_event("config_push_rejected", "WARNING", vm=vm, version=version, reason=str(exc))
            return
        self._install(result, vm)
        if version > self._log.cfg.version:
            self._request_versions(vm)

    def _send_versions(self, vm: str, after: int) -> None:
        versions = versions_after(self._log, after)
        if versions is None:
            value = {"snapshot": take_snapshot(self._log)._asdict()}
            self.peers.tell(SendTo(vm, ConfigPush(self._log.cfg.version, value)))
            return
        for item in versions[:MAX_PUSHES_PER_REQUEST]:
            self.peers.tell(SendTo(vm, ConfigPush(item.version, version_to_dict(item))))

    # Table and object store

    async def _poll_once(self, version: int) -> None:
        try:
            if version == 0:
                version = await self.ask(_SnapshotLoaded(await self._load_snapshot()))
            await self._poll(version)
        finally:
            self.tell(_PollEnded())

    async def _poll(self, version: int) -> None:
        """Read the table to its end or to the first row that cannot be applied."""
        while True:
            query = ReadRange(PREFIX, row_key(version), PAGE_ROWS)
            result = await self.platform.ask(query)
            if not isinstance(result, Success):
                return
            rows = result.unwrap().rows
            complete = len(rows) < PAGE_ROWS
            reached = await self.ask(_RowsRead(rows, complete))
            if complete or reached <= version:
                return
            version = reached

    async def _load_snapshot(self) -> Snapshot | None:
        result = await self.platform.ask(GetObject(SNAPSHOT_OBJECT))
        data = result.value_or(None)
        if data is None:
            return None
        try:
            return decode_snapshot(data)
        except ValidationError as exc:
            log_event("config_snapshot_rejected", "ERROR", reason=str(exc))
            return None

    async def _save_snapshot(self, snapshot: Snapshot) -> None:
        data = encode_snapshot(snapshot)
        for attempt in range(SNAPSHOT_ATTEMPTS):
            result = await self.platform.ask(PutObject(SNAPSHOT_OBJECT, data))
            if isinstance(result, Success):
                log_event("config_snapshot_saved", version=snapshot.version, size=len(data))
                return
            await self.clock.sleep(self.rng.uniform(0, SNAPSHOT_RETRY_S * 2**attempt))
        log_event("config_snapshot_not_saved", "WARNING", version=snapshot.version)

    async def _history(self, log: Log, limit: int, reply: Reply) -> None:
        after = max(0, log.cfg.version - limit)
        result = await self.platform.ask(ReadRange(PREFIX, row_key(after), limit))
        if isinstance(result, Success):
            read = [(read_row(row), row.written_at) for row in result.unwrap().rows]
            reply(tuple(HistoryEntry(*item) for item in read if isinstance(item[0], Version)))
            return
        reply(tuple(HistoryEntry(item, None) for item in log.recent if item.version > after))

    # Proposals

    async def _propose(self, message: Propose, log: Log, reply: Reply) -> None:
        try:
            if message.base > log.cfg.version:
                await self._poll(log.cfg.version)
                log = await self.ask(_GetLog())
            outcome = await execute_proposal(message, log, self.platform, self.clock, self.rng)
        except ListsError as exc:
            reply(Failure(invalid_proposal(str(exc), exc.problems)))
            return
        if outcome.row is not None:
            await self.ask(_ProposalResolved(outcome.row, isinstance(outcome.result, Success)))
        reply(outcome.result)
