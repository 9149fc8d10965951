"""Controller that owns the configuration in force."""

from typing import Any, NamedTuple

from returns.result import Failure, Success

from greengagehoist.base import ErrorCode, Outcome, StepError, not_run
from greengagehoist.config import EMPTY_CONFIG, Change, Config, apply_changes
from greengagehoist.platform_client import ReadRange, ReadRow, Refused, Row, WriteRow, Written
from greengagehoist.utils import Clock, Controller, Reply, Tick, ValidationError, log_event, tick

POLL_PERIOD_S = 1.0
PREFIX = "config/"


class GetConfig(NamedTuple):
    """Ask for the configuration in force; replied by :class:`Config`."""


class Propose(NamedTuple):
    """Propose changes on top of version ``base``; replied by ``Result[int, StepError]``.

    :param op_id: identifier of the operation, which settles a lost answer.
    """

    op_id: str
    author: str
    base: int
    changes: tuple[Change, ...]


class _Fetched(NamedTuple):
    rows: tuple[Row, ...]


class ConfigController(Controller):
    """Keeps the highest accepted configuration and accepts new versions through the table."""

    def __init__(self, platform: Controller, clock: Clock):
        super().__init__("config")
        self.platform = platform
        self.clock = clock
        self._cfg = EMPTY_CONFIG

    async def run(self) -> None:
        """Poll the table until cancelled."""
        self.start(tick(self, self.clock, POLL_PERIOD_S))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case GetConfig():
                reply(self._cfg)
            case Tick():
                self.start(self._fetch())
            case _Fetched(rows):
                self._apply_rows(rows)
            case Propose():
                self.start(self._propose(message, self._cfg, reply))

    async def _fetch(self) -> None:
        after = row_key(self._cfg.version)
        result = await self.platform.ask(ReadRange(PREFIX, after))
        match result:
            case Success(found):
                self.tell(_Fetched(found.rows))

    def _apply_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            version = int(row.key.removeprefix(PREFIX))
            if version != self._cfg.version + 1:
                continue
            changes = tuple(Change(*change) for change in row.value["changes"])
            self._cfg = apply_changes(self._cfg, version, changes)
            log_event("config_applied", version=version, op_id=row.value["op_id"])

    async def _propose(self, message: Propose, cfg: Config, reply: Reply) -> None:
        if message.base != cfg.version:
            reply(Failure(_conflict(cfg.version)))
            return
        try:
            apply_changes(cfg, cfg.version + 1, message.changes)
        except ValidationError as exc:
            reply(Failure(not_run("config", ErrorCode.INVALID, str(exc))))
            return
        value = {
            "op_id": message.op_id,
            "author": message.author,
            "changes": [list(change) for change in message.changes],
        }
        key = row_key(cfg.version + 1)
        result = await self.platform.ask(WriteRow(key, value, 0))
        match result:
            case Success(Written()):
                pass
            case Success(Refused()):
                reply(Failure(_conflict(cfg.version + 1)))
                return
            case _:
                settled = await self._settle(key, message.op_id)
                if settled is not None:
                    reply(Failure(settled))
                    return
        self.tell(Tick())
        reply(Success(cfg.version + 1))

    async def _settle(self, key: str, op_id: str) -> StepError | None:
        """Return None if the write took effect, else the error to report."""
        result = await self.platform.ask(ReadRow(key))
        match result:
            case Success(found) if found.rows and found.rows[0].value["op_id"] == op_id:
                return None
            case Success(found) if found.rows:
                return _conflict(int(key.removeprefix(PREFIX)))
            case _:
                return StepError(
                    "config", "table", Outcome.UNKNOWN, ErrorCode.PLATFORM, "write not settled"
                )


def row_key(version: int) -> str:
    """Return the table key of a version; keys sort in order of versions."""
    return f"{PREFIX}{version:012d}"


def _conflict(version: int) -> StepError:
    return not_run("config", ErrorCode.CONFLICT, f"version {version} was accepted before")
