"""Assembly of the daemon: controllers, filter chain and listeners."""

import asyncio
import random

from greengagehoist.base import Proceed, compose
from greengagehoist.controllers import (
    ConfigController,
    DrainController,
    OnDrain,
    QuotaController,
    RecordController,
    RosterController,
    StartDrain,
    TargetController,
    TraceController,
    WaitStopped,
)
from greengagehoist.daemon._settings import Settings
from greengagehoist.filters import (
    DeadlineFilter,
    DispatchFilter,
    IdentifyFilter,
    PlanFilter,
    QuotaFilter,
)
from greengagehoist.membership import Member
from greengagehoist.peers import PeerController
from greengagehoist.platform_client import PlatformController
from greengagehoist.server import AdminApp, CallerApp, DrainGate, Listener, serve
from greengagehoist.utils import Clock, Controller, check_address, connect_metrics, log_event


class Daemon:
    """One entry daemon."""

    def __init__(self, settings: Settings, clock: Clock, rng: random.Random):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.incarnation = int(clock.now().timestamp() * 1000)
        self.platform = PlatformController(settings.platform)
        own = Member(settings.vm, settings.data_centre, settings.peers, self.incarnation)
        self.peers = PeerController(own, settings.seeds, settings.peer_credential, clock, rng)
        self.configs = ConfigController(self.platform, clock)
        self.traces = TraceController(self.peers, settings.data_centre)
        self.targets = TargetController(self.platform, clock, rng, settings.data_centre, self.peers)
        self.drains = DrainController(self.configs, self.peers, clock, settings.drain_delay)
        self.records = RecordController(self.platform, clock, settings.vm, self.incarnation)
        self.quotas = QuotaController(
            self.platform,
            self.configs,
            self.peers,
            self.records,
            clock,
            settings.vm,
            settings.data_centre,
            self.incarnation,
        )
        followers = (self.targets, self.drains)
        self.roster = RosterController(self.platform, self.peers, followers, clock)
        self.metrics = connect_metrics(
            check_address("--statsd", settings.statsd) if settings.statsd else None
        )
        self.listeners: list[Listener] = []
        self._tasks: list[asyncio.Task] = []

    def build_chain(self) -> Proceed:
        """Return the entry of the filter chain."""
        return compose(
            [
                IdentifyFilter(self.configs),
                PlanFilter(),
                DeadlineFilter(self.clock),
                QuotaFilter(self.quotas, self.clock),
                DispatchFilter(self.targets, self.traces, self.clock, self.rng, self.settings.vm),
            ]
        )

    def _controllers(self) -> list[Controller]:
        return [
            self.platform,
            self.peers,
            self.configs,
            self.traces,
            self.targets,
            self.records,
            self.quotas,
            self.drains,
            self.roster,
        ]

    async def start(self) -> None:
        """Start the controllers, then the listeners.

        :raises OSError: if an address is not available.
        """
        loop = asyncio.get_running_loop()
        log_event("listening", interface="peers", address=self.peers.listen())
        self._tasks = [loop.create_task(item.run()) for item in self._controllers()]
        for controller in (self.quotas, self.records):
            self.drains.tell(OnDrain(controller))
        callers = CallerApp(
            self.build_chain(), self.traces, self.clock, self.rng, self.metrics, self.settings.vm
        )
        admin = AdminApp(
            self.configs, self.traces, self.drains, self.rng, self.settings.operator_credential
        )
        gate = DrainGate(callers.build(), self.drains)
        for app, field in ((gate, "callers"), (admin.build(), "operators")):
            host, port = check_address(f"--{field}", getattr(self.settings, field))
            listener = await serve(app, host, port)
            self.listeners.append(listener)
            log_event("listening", interface=field, address=listener.address)

    async def wait_stopped(self) -> None:
        """Wait until a graceful stop, asked for by an operator, has handed everything over."""
        await self.drains.ask(WaitStopped())

    async def stop(self) -> None:
        """Stop gracefully: finish the requests in flight, hand over, then stop the controllers."""
        await self.drains.ask(StartDrain())
        await self.wait_stopped()
        for listener in self.listeners:
            await listener.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        log_event("stopped")
