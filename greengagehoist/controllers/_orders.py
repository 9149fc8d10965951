"""Controller that brings engines into the wanted state by orders."""

import random
from typing import Any, NamedTuple

from returns.result import Failure, Success

from greengagehoist.controllers._targets import Assignment, GetLink
from greengagehoist.orders import (
    LEASE_TTL_S,
    MAX_SEND_S,
    DesiredState,
    EngineReport,
    LeaseRow,
    LoadAdapter,
    LoadModel,
    Order,
    OrderLease,
    Restart,
    SetRole,
    Write,
    choose_orders,
    covers_send,
    decide_lease,
)
from greengagehoist.platform_client import ReadRow, Row, WriteRow, Written
from greengagehoist.targets import LoadWire, ReadLoad, SendOrder
from greengagehoist.utils import Clock, Controller, Reply, Tick, log_event, tick

PERIOD_S = 1.0
LONGEST_BACKOFF_S = 30.0
PREFIX = "order/"


class Want(NamedTuple):
    """Have a target brought into a state and kept there; None ends this."""

    target: str
    wanted: DesiredState | None


class GetOrderStates(NamedTuple):
    """Ask which targets are in the wanted state; replied by ``dict[str, bool]``."""


class _Done(NamedTuple):
    """End of one reconciliation.

    :param settled: True if the target reported the wanted state.
    """

    target: str
    settled: bool
    lease: OrderLease | None


class _Work:
    """State of one target that has a wanted state."""

    def __init__(self, wanted: DesiredState):
        self.wanted = wanted
        self.lease: OrderLease | None = None
        self.busy = False
        self.settled = False
        self.failures = 0
        self.not_before = 0.0


class OrderController(Controller):
    """Issues orders under a lease for each target and reconciles with the target's report.

    :param vm: name of this daemon's VM.
    :param incarnation: incarnation of this daemon.
    """

    def __init__(
        self,
        platform: Controller,
        targets: Controller,
        clock: Clock,
        rng: random.Random,
        vm: str,
        incarnation: int,
    ):
        super().__init__("orders")
        self.platform = platform
        self.targets = targets
        self.clock = clock
        self.rng = rng
        self.vm = vm
        self.incarnation = incarnation
        self._work: dict[str, _Work] = {}

    async def run(self) -> None:
        """Reconcile until cancelled."""
        self.start(tick(self, self.clock, PERIOD_S))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Want(target, None):
                self._work.pop(target, None)
            case Want(target, wanted):
                work = self._work.setdefault(target, _Work(wanted))
                work.wanted, work.settled, work.not_before = wanted, False, 0.0
            case Tick():
                self._start_due()
            case _Done():
                self._finish(message)
            case GetOrderStates():
                reply({target: work.settled for target, work in self._work.items()})

    def _start_due(self) -> None:
        now = self.clock.monotonic()
        for target, work in self._work.items():
            if not work.busy and work.not_before <= now:
                work.busy = True
                self.start(self._run_one(target, work.wanted, work.lease))

    def _finish(self, message: _Done) -> None:
        work = self._work.get(message.target)
        if work is None:
            return
        work.busy, work.settled, work.lease = False, message.settled, message.lease
        work.failures = 0 if message.settled else work.failures + 1
        longest = min(LONGEST_BACKOFF_S, PERIOD_S * 2 ** min(work.failures, 10))
        delay = LONGEST_BACKOFF_S if message.settled else self.rng.uniform(PERIOD_S, longest)
        work.not_before = self.clock.monotonic() + delay

    async def _run_one(self, target: str, wanted: DesiredState, lease: OrderLease | None) -> None:
        done = _Done(target, False, lease)
        try:
            done = await self._reconcile(target, wanted, lease)
        finally:
            self.tell(done)

    async def _reconcile(
        self, target: str, wanted: DesiredState, lease: OrderLease | None
    ) -> _Done:
        assignment = await self.targets.ask(GetLink(target))
        if assignment is None:
            return _Done(target, False, lease)
        match await assignment.link.ask(ReadLoad()):
            case Success(load):
                report = engine_report(load)
            case _:
                return _Done(target, False, lease)
        orders = choose_orders(wanted, report)
        if not orders:
            return _Done(target, True, lease)
        if lease is None or not self._covers(lease):
            lease = await self._take_lease(target)
        for order in orders:
            if lease is None or not await self._send(assignment, order, lease):
                break
        return _Done(target, False, lease)

    def _covers(self, lease: OrderLease) -> bool:
        return covers_send(lease, self.clock.monotonic(), self.clock.now().timestamp())

    async def _send(self, assignment: Assignment, order: Order, lease: OrderLease) -> bool:
        message = SendOrder(
            encode_order(order), lease.fence, MAX_SEND_S, lambda: self._covers(lease)
        )
        name, fence = assignment.target.name, lease.fence
        match await assignment.link.ask(message):
            case Success():
                log_event("order_sent", target=name, order=order, fence=fence)
                return True
            case Failure(error):
                reason = error.message
                log_event("order_failed", "WARNING", target=name, order=order, reason=reason)
        return False

    async def _take_lease(self, target: str) -> OrderLease | None:
        """Return the lease if this daemon is the issuer; a lost answer is settled by reading."""
        key = PREFIX + target
        match await self.platform.ask(ReadRow(key)):
            case Success(found):
                row = lease_row(found.rows[0]) if found.rows else None
            case _:
                return None
        decision = decide_lease(row, self.vm, self.incarnation, found.now)
        if not isinstance(decision, Write):
            return None
        before = self.clock.monotonic(), self.clock.now().timestamp()
        value = {
            "holder": self.vm,
            "incarnation": self.incarnation,
            "fence": decision.fence,
            "ttl": LEASE_TTL_S,
        }
        match await self.platform.ask(WriteRow(key, value, decision.expect)):
            case Success(Written(version)):
                return OrderLease(decision.fence, version, LEASE_TTL_S, *before)
            case Success():
                return None
        return await self._settle(key, decision, before)

    async def _settle(
        self, key: str, decision: Write, before: tuple[float, float]
    ) -> OrderLease | None:
        match await self.platform.ask(ReadRow(key)):
            case Success(found) if found.rows:
                row = lease_row(found.rows[0])
                own = (row.holder, row.incarnation) == (self.vm, self.incarnation)
                if own and row.version == decision.expect + 1:
                    return OrderLease(row.fence, row.version, row.ttl, *before)
        return None


def lease_row(row: Row) -> LeaseRow:
    """Return the lease of a table row."""
    value = row.value
    return LeaseRow(
        value["holder"],
        value["incarnation"],
        value["fence"],
        value["ttl"],
        row.version,
        row.written_at,
    )


def engine_report(load: LoadWire) -> EngineReport:
    """Return the engine's state of a load report."""
    return EngineReport(
        tuple(load.get("models", ())),
        tuple(load.get("adapters", ())),
        load.get("serves_as", ""),
        load.get("incarnation", 0),
        load.get("fence", 0),
        load.get("checks_fence", False),
    )


def encode_order(order: Order) -> dict[str, str]:
    """Return the JSON object of an order."""
    match order:
        case LoadModel(model):
            return {"kind": "load_model", "model": model}
        case LoadAdapter(adapter):
            return {"kind": "load_adapter", "adapter": adapter}
        case SetRole(role):
            return {"kind": "set_role", "role": role}
        case Restart():
            return {"kind": "restart"}
