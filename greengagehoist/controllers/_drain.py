"""Controller that owns the draining state and the number of requests in flight."""

import asyncio
import enum
from typing import Any, NamedTuple

from greengagehoist.controllers._config import GetConfig
from greengagehoist.controllers._roster import ClockChecked, VmsListed
from greengagehoist.membership import LifeCycle
from greengagehoist.peers import CloseLinks, UpdateHeartbeat
from greengagehoist.utils import Clock, Controller, Reply, Tick, log_event, tick

STATUS_PERIOD_S = 0.5
# Time in which idle keep-alive connections still get a refusal instead of a reset.
LINGER_S = 0.5
HAND_OVER_TIMEOUT_S = 5.0
# In-flight requests at which the heartbeat shows full load.
FULL_LOAD_REQUESTS = 1000


class DaemonState(enum.StrEnum):
    """State of the daemon; it refuses new requests in all states after ``leaving``."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


# A daemon is leaving while it reports not ready but still accepts requests, until the load
# balancer has taken it out of use.
DAEMON_TRANSITIONS = [
    {"trigger": "leave", "source": "serving", "dest": "leaving"},
    {"trigger": "drain", "source": "leaving", "dest": "draining"},
    {"trigger": "stop", "source": "draining", "dest": "stopped"},
]
DAEMON_LIFE = LifeCycle(DaemonState, DAEMON_TRANSITIONS)


class BeginRequest(NamedTuple):
    """Ask to begin a request; replied by False if new requests are refused."""


class EndRequest(NamedTuple):
    """Tell that a request that was let in has ended, with its response sent."""


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
    """Begin the graceful stop; replied by None at once."""


class WaitStopped(NamedTuple):
    """Ask to be told the end of the graceful stop; replied by None."""


class Drain(NamedTuple):
    """Ask a controller to hand over its state to peers or the platform; replied when done."""


class RegisterDrain(NamedTuple):
    """Have :class:`Drain` sent to a controller after the last request has ended."""

    controller: Controller


class _Advance(NamedTuple):
    trigger: str


class _ConfigSeen(NamedTuple):
    version: int


class DrainController(Controller):
    """Counts the requests in flight and runs the graceful stop.

    :param drain_delay: seconds between the end of readiness and the refusal of new requests.
    """

    def __init__(self, configs: Controller, peers: Controller, clock: Clock, drain_delay: float):
        super().__init__("drain")
        self.configs = configs
        self.peers = peers
        self.clock = clock
        self.drain_delay = drain_delay
        self._state = DaemonState.SERVING
        self._in_flight = 0
        self._config_version = 0
        self._clock_within = True
        self._to_hand_over: list[Controller] = []
        self._waiting: list[Reply] = []
        self._idle = asyncio.Event()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        self.start(tick(self, self.clock, STATUS_PERIOD_S))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case BeginRequest():
                let_in = self._state in (DaemonState.SERVING, DaemonState.LEAVING)
                self._in_flight += let_in
                reply(let_in)
            case EndRequest():
                self._in_flight -= 1
                self._note_idle()
            case GetState():
                reply(self._state)
            case GetReadiness():
                self.start(self._reply_readiness(reply))
            case Tick():
                self.start(self._show_status())
            case _ConfigSeen(version):
                self._config_version = version
            case ClockChecked(within):
                self._clock_within = within
            case VmsListed():
                pass
            case RegisterDrain(controller):
                self._to_hand_over.append(controller)
            case StartDrain():
                self._begin()
                reply(None)
            case _Advance(trigger):
                self._advance(trigger)
            case WaitStopped():
                self._wait_stopped(reply)

    def _begin(self) -> None:
        if self._state is DaemonState.SERVING:
            self._advance("leave")
            self.start(self._stop_gracefully())

    def _advance(self, trigger: str) -> None:
        self._state = DAEMON_LIFE.advance(self._state, trigger)
        log_event("daemon_state", state=self._state, in_flight=self._in_flight)
        self._tell_peers()
        self._note_idle()
        if self._state is DaemonState.STOPPED:
            for reply in self._waiting:
                reply(None)

    def _note_idle(self) -> None:
        if self._state is DaemonState.DRAINING and self._in_flight == 0:
            self._idle.set()

    def _wait_stopped(self, reply: Reply) -> None:
        if self._state is DaemonState.STOPPED:
            reply(None)
        else:
            self._waiting.append(reply)

    async def _stop_gracefully(self) -> None:
        await self.clock.sleep(self.drain_delay)
        self.tell(_Advance("drain"))
        await self._idle.wait()
        await self.clock.sleep(LINGER_S)
        await asyncio.gather(*(self._hand_over(item) for item in self._to_hand_over))
        await self.peers.ask(CloseLinks("drained"))
        self.tell(_Advance("stop"))

    async def _hand_over(self, controller: Controller) -> None:
        try:
            async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
                await controller.ask(Drain())
        except TimeoutError:
            log_event("hand_over_failed", "WARNING", owner=controller.name)

    async def _reply_readiness(self, reply: Reply) -> None:
        cfg = await self.configs.ask(GetConfig())
        self.tell(_ConfigSeen(cfg.version))
        reply(Readiness(self._state, self._in_flight, self._reasons(cfg.version)))

    async def _show_status(self) -> None:
        cfg = await self.configs.ask(GetConfig())
        self.tell(_ConfigSeen(cfg.version))
        self._tell_peers()

    def _reasons(self, config_version: int) -> tuple[str, ...]:
        found = [] if self._state is DaemonState.SERVING else [str(self._state)]
        if config_version == 0:
            found.append("no configuration")
        if not self._clock_within:
            found.append("clock outside margin")
        return tuple(found)

    def _tell_peers(self) -> None:
        version = self._config_version
        self.peers.tell(
            UpdateHeartbeat(
                config_version=version,
                ready=not self._reasons(version),
                in_flight=self._in_flight,
                load=min(1.0, self._in_flight / FULL_LOAD_REQUESTS),
            )
        )
