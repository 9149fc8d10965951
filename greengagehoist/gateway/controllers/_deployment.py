"""Controller that follows the operator's configuration on the platform."""

import random
from typing import Any, NamedTuple

from returns.result import Result, Success

from greengagehoist.deployment import DeploymentSnapshot, merge
from greengagehoist.gateway.controllers._relay import (
    Confirmed,
    ask_relay,
    next_read_delay_s,
    should_read_platform,
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

    :param relay: controller that asks hubs for their newest reads.
    :param shared: whether hubs read for the other daemons.
    :param read_period_s: seconds between reads.
    :ivar confirmed: published row version and time of the newest read.
    """

    def __init__(
        self,
        platform: Controller,
        relay: Controller,
        shared: Published[bool],
        clock: Clock,
        rng: random.Random,
        read_period_s: float,
    ):
        super().__init__("deployment")
        self.platform = platform
        self.relay = relay
        self.shared = shared
        self.confirmed: Published[Confirmed | None] = Published(None)
        self.clock = clock
        self.rng = rng
        self.read_period_s = read_period_s
        self.snapshot: Published[DeploymentSnapshot | None] = Published(None)
        self._row_version = 0
        self._read_at = float("-inf")
        self._failing = False

    async def run(self) -> None:
        """Read until cancelled."""
        self.tell(Tick())
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Tick():
                self.start(self._read())
            case SetReadPeriod(seconds):
                self.read_period_s = seconds
            case _ReadEnded(result, sent_at):
                self._apply(result, sent_at)

    async def _read(self) -> None:
        sent_at, row_version = self.clock.monotonic(), self._row_version
        token = str(row_version) if row_version else ""
        answer = await ask_relay(self.relay, "deployment", token, sent_at, self.read_period_s)
        ok = False
        if isinstance(answer, Confirmed):
            self.tell(_ReadEnded(Success(DeploymentRead(None, row_version)), answer.at))
            ok = True
        elif should_read_platform(answer, sent_at - self._read_at):
            self._read_at = sent_at = self.clock.monotonic()
            result = await self.platform.ask(ReadDeployment(row_version))
            self.tell(_ReadEnded(result, sent_at))
            ok = isinstance(result, Success) and self.snapshot.value is not None
        pause = next_read_delay_s(ok, self.read_period_s, self.shared.value, self.rng)
        await self.clock.sleep(pause)
        self.tell(Tick())

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
        if read.deployment is not None:
            self._row_version = max(self._row_version, read.row)
        if current is not None:
            self.confirmed.value = Confirmed(str(self._row_version), current.confirmed_at)
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
