"""Controller that follows the operator's configuration on the platform."""

from collections.abc import Callable
from typing import Any, NamedTuple

from returns.result import Result, Success

from greengagehoist.deployment import DeploymentSnapshot, merge
from greengagehoist.gateway.controllers._relay import AddSource, HeldContent
from greengagehoist.gateway.controllers._shared_reads import (
    Changed,
    Confirmed,
    HubStale,
    ReadNow,
    SharedReads,
)
from greengagehoist.platform_client import DeploymentRead, ReadDeployment
from greengagehoist.utils import Clock, Controller, Published, Reply, Tick, log_event


class SetReadPeriod(NamedTuple):
    """Set the seconds between reads of the platform."""

    seconds: float


class _ReadEnded(NamedTuple):
    result: Result
    sent_at: float


class DeploymentController(Controller):
    """Reads the configuration periodically and publishes the newest version and its confirmation.

    It polls instead of using a change feed, because only the answer to a read that was sent after
    a given time proves that no key was revoked before that time.

    :param reads: decides whether a hub or the platform is asked.
    :param decode: decodes the configuration that a hub has read in a row version.
    :ivar held: published configuration and when the platform held it, for other daemons.
    """

    def __init__(
        self,
        platform: Controller,
        reads: SharedReads,
        decode: Callable[[str, int], DeploymentRead],
        clock: Clock,
    ):
        super().__init__("deployment")
        self.platform = platform
        self.reads = reads
        self.decode = decode
        self.clock = clock
        self.snapshot: Published[DeploymentSnapshot | None] = Published(None)
        self.held: Published[HeldContent | None] = Published(None)
        self._row_version = 0
        self._source = ""
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
                self._apply(result, sent_at)

    async def _read(self) -> None:
        row_version = self._row_version
        step = await self.reads.next_step(str(row_version) if row_version else "")
        ok = False
        match step:
            case Confirmed(at):
                self.tell(_ReadEnded(Success(DeploymentRead(None, row_version)), at))
                ok = True
            case Changed(held):
                ok = self._apply_hub_read(held)
            case ReadNow():
                sent_at = self.clock.monotonic()
                result = await self.platform.ask(ReadDeployment(row_version))
                self.tell(_ReadEnded(result, sent_at))
                ok = isinstance(result, Success) and self.snapshot.value is not None
            case HubStale():
                pass
        await self.reads.pause(step, ok)
        self.tell(Tick())

    def _apply_hub_read(self, held: HeldContent) -> bool:
        try:
            read = self.decode(held.content, int(held.token))
        except ValueError as exc:
            log_event("hub_read_unreadable", "WARNING", topic="deployment", reason=str(exc))
            return False
        self.tell(_ReadEnded(Success(read), held.at))
        return True

    def _apply(self, result: Result, sent_at: float) -> None:
        if not isinstance(result, Success):
            self._set_failing(True, result.failure().message)
            return
        self._set_failing(False, "")
        read = result.unwrap()
        held = self.snapshot.value
        if read.deployment is None and read.row != self._row_version:
            return
        self.snapshot.value = merge(held, read.deployment, sent_at)
        current = self.snapshot.value
        if read.deployment is not None and read.row > self._row_version:
            self._row_version, self._source = read.row, read.source
        if current is not None:
            token = str(self._row_version)
            self.held.value = HeldContent(token, current.confirmed_at, self._source)
        if current is not None and (
            held is None or held.deployment.version != current.deployment.version
        ):
            log_event(
                "configuration_changed",
                version=current.deployment.version,
                before=held.deployment.version if held else "",
                row=read.row,
                routes=sum(len(item) for item in current.deployment.routes.values()),
            )

    def _set_failing(self, failing: bool, reason: str) -> None:
        if failing == self._failing:
            return
        self._failing = failing
        if failing:
            log_event("configuration_reads_failing", "WARNING", reason=reason)
        else:
            log_event("configuration_reads_restored")
