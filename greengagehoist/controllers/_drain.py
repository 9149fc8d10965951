"""Controller that owns the daemon's state, counts requests in flight and runs the drain."""

import asyncio
import enum
from collections.abc import Awaitable
from typing import Any, NamedTuple, Protocol

from greengagehoist.controllers._config import GetConfig
from greengagehoist.controllers._roster import ClockChecked, VmsListed
from greengagehoist.membership import LifeCycle
from greengagehoist.peers import CloseLinks, UpdateHeartbeat
from greengagehoist.shutdown import DEFAULT_GRACE_S, StopTimes, plan_stop
from greengagehoist.utils import Clock, Controller, Published, Reply, Tick, log_event, tick

STATUS_PERIOD_S = 0.5
# Wait after the last request, during which requests on idle keep-alive connections still get a
# refusal instead of a connection reset.
LINGER_S = 0.5
HAND_OVER_TIMEOUT_S = 5.0
# The timers of the event loop don't count time in which the VM is suspended, the clock does.
MAX_SLEEP_S = 0.5
# Number of requests in flight that the heartbeat reports as a load of 1.0.
FULL_LOAD_REQUESTS = 1000


class DaemonState(enum.StrEnum):
    """State of the daemon; new requests are refused from ``draining`` on."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


# While leaving, a daemon reports not ready but still accepts requests, because the load balancer
# needs some time to stop sending them.
DAEMON_TRANSITIONS = [
    {"trigger": "leave", "source": "serving", "dest": "leaving"},
    {"trigger": "drain", "source": "leaving", "dest": "draining"},
    {"trigger": "stop", "source": "draining", "dest": "stopped"},
]
DAEMON_LIFE = LifeCycle(DaemonState, DAEMON_TRANSITIONS)


class BeginRequest(NamedTuple):
    """Ask to begin a request; replied by False if new requests are refused."""


class EndRequest(NamedTuple):
    """Report that an accepted request has ended and its response has been sent."""


class GetState(NamedTuple):
    """Ask for the state; replied by :class:`DaemonState`."""


class GetReadiness(NamedTuple):
    """Ask for the readiness; replied by :class:`Readiness`."""


class Readiness(NamedTuple):
    """Whether the load balancer should send requests, and why not.

    :param reasons: empty if ready.
    """

    state: DaemonState
    in_flight: int
    reasons: tuple[str, ...]


class StartDrain(NamedTuple):
    """Begin the graceful shutdown; replied by None at once."""


class WaitStopped(NamedTuple):
    """Wait for the end of the graceful shutdown; replied by None."""


class Drain(NamedTuple):
    """Ask a controller to hand over its state to peers or the platform; replied by None."""


class RegisterDrain(NamedTuple):
    """Register a controller that receives :class:`Drain` after the last request has ended."""

    controller: Controller


class Work(Protocol):
    """Work that a stop waits for, and ends when its time for answers is over."""

    async def wait_idle(self) -> None:
        """Return when nothing runs."""

    def end_running(self) -> None:
        """End what runs, with a truthful result."""


class RegisterWork(NamedTuple):
    """Register work that the stop waits for, beside the requests in flight."""

    work: Work


class _Advance(NamedTuple):
    trigger: str


class _ConfigRead(NamedTuple):
    version: int


class DrainController(Controller):
    """Counts the requests in flight and runs the graceful shutdown.

    :param drain_delay: seconds from reporting not ready until new requests are refused.
    :param grace: seconds from the begin of the stop to its end, whatever still runs.
    """

    def __init__(
        self,
        configs: Controller,
        peers: Controller,
        clock: Clock,
        drain_delay: float,
        grace: float = DEFAULT_GRACE_S,
    ):
        super().__init__("drain")
        self.configs = configs
        self.peers = peers
        self.clock = clock
        self.drain_delay = drain_delay
        self.grace = grace
        self.stop_times: Published[StopTimes | None] = Published(None)
        self._state = DaemonState.SERVING
        self._in_flight = 0
        self._config_version = 0
        self._clock_within_margin = True
        self._drain_participants: list[Controller] = []
        self._works: list[Work] = []
        self._stop_waiters: list[Reply] = []
        self._idle = asyncio.Event()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        self.start(tick(self, self.clock, STATUS_PERIOD_S))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case BeginRequest():
                accepted = self._state in (DaemonState.SERVING, DaemonState.LEAVING)
                self._in_flight += accepted
                reply(accepted)
            case EndRequest():
                self._in_flight -= 1
                self._check_idle()
            case GetState():
                reply(self._state)
            case GetReadiness():
                self.start(self._reply_readiness(reply))
            case Tick():
                self.start(self._publish_status())
            case _ConfigRead(version):
                self._config_version = version
            case ClockChecked(within):
                self._clock_within_margin = within
            case VmsListed():
                pass
            case RegisterDrain(controller):
                self._drain_participants.append(controller)
            case RegisterWork(work):
                self._works.append(work)
            case StartDrain():
                self._begin_drain()
                reply(None)
            case _Advance(trigger):
                self._advance(trigger)
            case WaitStopped():
                self._wait_stopped(reply)

    def _begin_drain(self) -> None:
        if self._state is DaemonState.SERVING:
            times = plan_stop(self.clock.monotonic(), self.drain_delay, self.grace)
            self.stop_times.value = times
            self._advance("leave")
            self.start(self._stop_gracefully(times))

    def _advance(self, trigger: str) -> None:
        self._state = DAEMON_LIFE.advance(self._state, trigger)
        log_event("daemon_state", state=self._state, in_flight=self._in_flight)
        self._update_heartbeat()
        self._check_idle()
        if self._state is DaemonState.STOPPED:
            for reply in self._stop_waiters:
                reply(None)

    def _check_idle(self) -> None:
        if self._state is DaemonState.DRAINING and self._in_flight == 0:
            self._idle.set()

    def _wait_stopped(self, reply: Reply) -> None:
        if self._state is DaemonState.STOPPED:
            reply(None)
        else:
            self._stop_waiters.append(reply)

    async def _stop_gracefully(self, times: StopTimes) -> None:
        await self._sleep_until(times.refuse_at)
        self.tell(_Advance("drain"))
        if not await self._wait_until(self._wait_idle(), times.answers_by):
            log_event("stop_overrun", "WARNING", in_flight=self._in_flight)
            for work in self._works:
                work.end_running()
            await self._wait_until(self._wait_idle(), times.hand_over_from)
        linger_until = self.clock.monotonic() + LINGER_S
        await self._sleep_until(min(linger_until, times.hand_over_from))
        until = min(self.clock.monotonic() + HAND_OVER_TIMEOUT_S, times.hand_over_by)
        await asyncio.gather(*(self._hand_over(item, until) for item in self._drain_participants))
        await self._wait_until(self.peers.ask(CloseLinks("drained")), times.hand_over_by)
        self.tell(_Advance("stop"))

    async def _wait_idle(self) -> None:
        await self._idle.wait()
        for work in self._works:
            await work.wait_idle()

    async def _hand_over(self, controller: Controller, until: float) -> None:
        if not await self._wait_until(controller.ask(Drain()), until):
            log_event("hand_over_failed", "WARNING", owner=controller.name)

    async def _wait_until(self, wait: Awaitable[Any], until: float) -> bool:
        """Wait until a monotonic time; return whether the wait ended before, else cancel it."""
        tasks = [asyncio.ensure_future(wait), asyncio.ensure_future(self._sleep_until(until))]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return tasks[0].done()
        finally:
            for task in tasks:
                task.cancel()

    async def _sleep_until(self, until: float) -> None:
        while (left := until - self.clock.monotonic()) > 0.0:
            await self.clock.sleep(min(left, MAX_SLEEP_S))

    async def _reply_readiness(self, reply: Reply) -> None:
        cfg = await self.configs.ask(GetConfig())
        self.tell(_ConfigRead(cfg.version))
        reply(Readiness(self._state, self._in_flight, self._reasons(cfg.version)))

    async def _publish_status(self) -> None:
        cfg = await self.configs.ask(GetConfig())
        self.tell(_ConfigRead(cfg.version))
        self._update_heartbeat()

    def _reasons(self, config_version: int) -> tuple[str, ...]:
        reasons = [] if self._state is DaemonState.SERVING else [str(self._state)]
        if config_version == 0:
            reasons.append("no configuration")
        if not self._clock_within_margin:
            reasons.append("clock outside margin")
        return tuple(reasons)

    def _update_heartbeat(self) -> None:
        version = self._config_version
        self.peers.tell(
            UpdateHeartbeat(
                config_version=version,
                ready=not self._reasons(version),
                in_flight=self._in_flight,
                load=min(1.0, self._in_flight / FULL_LOAD_REQUESTS),
            )
        )
