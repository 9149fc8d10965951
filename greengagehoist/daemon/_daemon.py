"""Assembly of the daemon: controllers, filter chain and listeners."""

import asyncio
import random

from greengagehoist.base import Proceed, compose
from greengagehoist.controllers import (
    ClaimController,
    ConfigController,
    TargetController,
    TraceController,
)
from greengagehoist.daemon._settings import Settings
from greengagehoist.filters import (
    AttemptLimit,
    ClaimFilter,
    DeadlineFilter,
    DispatchFilter,
    IdentifyFilter,
    PlanFilter,
    Sender,
)
from greengagehoist.platform_client import PlatformController
from greengagehoist.server import AdminApp, CallerApp, Listener, serve
from greengagehoist.utils import Clock, Controller, check_address, connect_metrics, log_event


class Daemon:
    """One entry daemon."""

    def __init__(self, settings: Settings, clock: Clock, rng: random.Random):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.platform = PlatformController(settings.platform, clock, rng)
        self.configs = ConfigController(self.platform, clock)
        self.traces = TraceController()
        self.targets = TargetController(self.platform, clock, rng, settings.data_centre)
        self.claims = ClaimController(self.platform, clock, rng)
        self.retries = AttemptLimit()
        self.claim_filter = ClaimFilter(self.claims, self.targets, self.retries, clock, rng)
        self.metrics = connect_metrics(
            check_address("--statsd", settings.statsd) if settings.statsd else None
        )
        self.listeners: list[Listener] = []
        self._tasks: list[asyncio.Task] = []

    def build_chain(self) -> Proceed:
        """Return the entry of the filter chain."""
        sender = Sender(self.targets, self.traces, self.clock, self.rng, self.settings.vm)
        return compose(
            [
                IdentifyFilter(self.configs),
                PlanFilter(),
                DeadlineFilter(self.clock),
                self.claim_filter,
                DispatchFilter(sender, self.retries, self.metrics),
            ]
        )

    def _controllers(self) -> list[Controller]:
        return [self.platform, self.configs, self.traces, self.targets, self.claims]

    async def start(self) -> None:
        """Start the controllers, then the listeners.

        :raises OSError: if an address is not available.
        """
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(item.run()) for item in self._controllers()]
        callers = CallerApp(
            self.build_chain(), self.traces, self.clock, self.rng, self.metrics, self.settings.vm
        )
        admin = AdminApp(self.configs, self.traces, self.rng, self.settings.operator_credential)
        for app, field in ((callers, "callers"), (admin, "operators")):
            host, port = check_address(f"--{field}", getattr(self.settings, field))
            listener = await serve(app.build(), host, port)
            self.listeners.append(listener)
            log_event("listening", interface=field, address=listener.address)

    async def stop(self) -> None:
        """Finish the requests in flight, then stop the controllers."""
        log_event("draining")
        for listener in self.listeners:
            await listener.stop()
        await self.claim_filter.finish()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        log_event("stopped")
