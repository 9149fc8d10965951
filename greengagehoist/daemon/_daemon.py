"""Assembly of the entry daemon: controllers, filter chain and listeners."""

import asyncio
import random
from typing import Any

from returns.result import Success

from greengagehoist.base import Proceed, compose
from greengagehoist.controllers import (
    AdmissionController,
    ClaimController,
    ConfigController,
    DrainController,
    GetHeldSlots,
    GetReadiness,
    GetReport,
    GetTargetCounts,
    OrderController,
    QuotaController,
    RecordController,
    RegisterDrain,
    RegisterWork,
    RosterController,
    StartDrain,
    TargetController,
    TraceController,
    WaitStopped,
    report_body,
)
from greengagehoist.daemon._settings import Settings
from greengagehoist.filters import (
    AdmissionFilter,
    ClaimFilter,
    DeadlineFilter,
    DispatchFilter,
    IdentifyFilter,
    PlanFilter,
    QuotaFilter,
    RatioRetryPolicy,
    Sender,
    StopFilter,
)
from greengagehoist.membership import Member
from greengagehoist.memory import SMALL_FRACTION, MemoryController, SmallBodies
from greengagehoist.peers import PeerController
from greengagehoist.platform_client import PlatformController
from greengagehoist.server import (
    AdminApp,
    AdminParts,
    CallerApp,
    DrainGate,
    Listener,
    MemoryGate,
    serve,
)
from greengagehoist.utils import Clock, Controller, check_address, connect_metrics, log_event

# Part of the time until the end of a stop in which the listeners close; the rest is for the tasks.
LISTENER_SHARE = 0.6
# Part of the process's memory that bodies of requests may take.
MEMORY_SHARE = 0.25
BYTES_PER_MB = 1024 * 1024


class Daemon:
    """Entry daemon: runs callers' requests through the filter chain."""

    def __init__(self, settings: Settings, clock: Clock, rng: random.Random):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.incarnation = int(clock.now().timestamp() * 1000)
        self.platform = PlatformController(settings.platform, clock, rng)
        own = Member(settings.vm, settings.data_centre, settings.peers, self.incarnation)
        self.peers = PeerController(
            own, settings.seeds, settings.peer_credential, clock, rng, tls=settings.tls
        )
        self.configs = ConfigController(self.platform, clock, rng, self.peers)
        self.traces = TraceController(self.peers, settings.data_centre)
        self.targets = TargetController(
            self.platform, clock, rng, settings.data_centre, self.peers, settings.vm
        )
        self.drains = DrainController(
            self.configs, self.peers, clock, settings.drain_delay, settings.grace
        )
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
        self.orders = OrderController(
            self.platform, self.targets, clock, rng, settings.vm, self.incarnation
        )
        self.claims = ClaimController(self.platform, clock, rng)
        self.retries = RatioRetryPolicy()
        self.admission = AdmissionController(
            clock, self.retries.set_overloaded, self.drains.stop_times
        )
        self.stop_filter = StopFilter()
        self.identify = IdentifyFilter(self.configs)
        self.claim_filter = ClaimFilter(self.claims, self.targets, self.retries, clock, rng)
        self.metrics = connect_metrics(
            check_address("--statsd", settings.statsd) if settings.statsd else None
        )
        memory_bytes = settings.memory * BYTES_PER_MB
        self.memory = MemoryController(int(MEMORY_SHARE * memory_bytes), clock)
        self.small_bodies = SmallBodies(int(SMALL_FRACTION * memory_bytes))
        self.listeners: list[Listener] = []
        self._tasks: list[asyncio.Task] = []

    def build_chain(self) -> Proceed:
        """Return the first step of the filter chain."""
        sender = Sender(self.targets, self.traces, self.clock, self.rng, self.settings.vm)
        return compose(
            [
                self.stop_filter,
                self.identify,
                PlanFilter(),
                DeadlineFilter(self.clock),
                QuotaFilter(self.quotas, self.clock),
                AdmissionFilter(self.admission, self.targets, self.retries),
                self.claim_filter,
                DispatchFilter(sender, self.retries, self.metrics),
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
            self.orders,
            self.claims,
            self.admission,
            self.memory,
        ]

    async def start(self) -> None:
        """Start the controllers, then the listeners.

        :raises OSError: if an address is not available.
        """
        loop = asyncio.get_running_loop()
        log_event("listening", interface="peers", address=self.peers.listen())
        self._tasks = [loop.create_task(item.run()) for item in self._controllers()]
        for controller in (self.quotas, self.records, self.claims):
            self.drains.tell(RegisterDrain(controller))
        for work in (self.stop_filter, self.claim_filter):
            self.drains.tell(RegisterWork(work))
        callers = CallerApp(
            self.build_chain(),
            self.traces,
            self.clock,
            self.rng,
            self.metrics,
            self.settings.vm,
            self.identify.is_known_credential,
        )
        credential = self.settings.operator_credential
        admin = AdminApp(self.configs, self.traces, self.rng, credential, self._admin_parts())
        gate = DrainGate(callers.build(), self.drains)
        for app, field in ((gate, "callers"), (admin.build(), "operators")):
            host, port = check_address(f"--{field}", getattr(self.settings, field))
            app = MemoryGate(app, self.memory, self.small_bodies)
            listener = await serve(app, host, port, tls=self.settings.tls)
            self.listeners.append(listener)
            log_event("listening", interface=field, address=listener.address)

    def _admin_parts(self) -> AdminParts:
        return AdminParts(
            vm=self.settings.vm,
            data_centre=self.settings.data_centre,
            drain=self._start_drain,
            status={
                "daemon": self._daemon_status,
                "quota": self._quota_status,
                "targets": self._target_status,
            },
            report=self._report,
            ready={"daemon": self._reasons_not_ready},
        )

    async def _start_drain(self) -> dict[str, Any]:
        await self.drains.ask(StartDrain())
        return {"draining": True}

    async def _daemon_status(self) -> dict[str, Any]:
        readiness = await self.drains.ask(GetReadiness())
        return {"state": readiness.state, "in_flight": readiness.in_flight}

    async def _quota_status(self) -> dict[str, Any]:
        return {"slots": len(await self.quotas.ask(GetHeldSlots()))}

    async def _target_status(self) -> dict[str, dict[str, int]]:
        return await self.targets.ask(GetTargetCounts())

    async def _report(self, customer: str, date: str) -> dict[str, Any]:
        result = await self.records.ask(GetReport(date))
        match result:
            case Success(report):
                return report_body(report, customer)
            case _:
                return {"date": date, "error": result.failure().message}

    async def _reasons_not_ready(self) -> str:
        readiness = await self.drains.ask(GetReadiness())
        return ", ".join(readiness.reasons)

    async def wait_stopped(self) -> None:
        """Wait until a drain that an operator started has completed."""
        await self.drains.ask(WaitStopped())

    async def stop(self) -> None:
        """Drain: finish the requests in flight, hand over state, then stop the controllers."""
        await self.drains.ask(StartDrain())
        await self.wait_stopped()
        left = self.drains.stop_times.value.ends - self.clock.monotonic()
        limit = max(0.0, left * LISTENER_SHARE)
        await asyncio.gather(*(listener.stop(limit) for listener in self.listeners))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        log_event("stopped")
