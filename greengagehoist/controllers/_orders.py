"""Controller that sends orders to engines until they report the desired state."""

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

RECONCILE_PERIOD_S = 1.0
MAX_BACKOFF_S = 30.0
PREFIX = "order/"


class SetDesiredState(NamedTuple):
    """Set the state that a target is to reach and keep; None stops its reconciliation."""

    target: str
    desired: DesiredState | None


class GetOrderStates(NamedTuple):
    """Ask which targets are in the desired state; replied by ``dict[str, bool]``."""


class _Reconciled(NamedTuple):
    """Result of one reconciliation.

    :param converged: True if the target reported the desired state.
    """

    target: str
    converged: bool
    lease: OrderLease | None


class _ReconciliationState:
    """Reconciliation state of one target."""

    def __init__(self, desired: DesiredState):
        self.desired = desired
        self.lease: OrderLease | None = None
        self.in_progress = False
        self.converged = False
        self.failures = 0
        self.not_before = 0.0


class OrderController(Controller):
    """Compares each target's load report with its desired state and sends orders under a lease.

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
        self._states: dict[str, _ReconciliationState] = {}

    async def run(self) -> None:
        """Reconcile until cancelled."""
        self.start(tick(self, self.clock, RECONCILE_PERIOD_S))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case SetDesiredState(target, None):
                self._states.pop(target, None)
            case SetDesiredState(target, desired):
                state = self._states.setdefault(target, _ReconciliationState(desired))
                state.desired, state.converged, state.not_before = desired, False, 0.0
            case Tick():
                self._start_due()
            case _Reconciled():
                self._apply_result(message)
            case GetOrderStates():
                reply({target: state.converged for target, state in self._states.items()})

    def _start_due(self) -> None:
        now = self.clock.monotonic()
        for target, state in self._states.items():
            if not state.in_progress and state.not_before <= now:
                state.in_progress = True
                self.start(self._run_reconciliation(target, state.desired, state.lease))

    def _apply_result(self, message: _Reconciled) -> None:
        state = self._states.get(message.target)
        if state is None:
            return
        state.in_progress, state.converged, state.lease = False, message.converged, message.lease
        state.failures = 0 if message.converged else state.failures + 1
        max_delay = min(MAX_BACKOFF_S, RECONCILE_PERIOD_S * 2 ** min(state.failures, 10))
        delay = (
            MAX_BACKOFF_S if message.converged else self.rng.uniform(RECONCILE_PERIOD_S, max_delay)
        )
        state.not_before = self.clock.monotonic() + delay

    async def _run_reconciliation(
        self, target: str, desired: DesiredState, lease: OrderLease | None
    ) -> None:
        done = _Reconciled(target, False, lease)
        try:
            done = await self._reconcile(target, desired, lease)
        finally:
            self.tell(done)

    async def _reconcile(
        self, target: str, desired: DesiredState, lease: OrderLease | None
    ) -> _Reconciled:
        assignment = await self.targets.ask(GetLink(target))
        if assignment is None:
            return _Reconciled(target, False, lease)
        match await assignment.link.ask(ReadLoad()):
            case Success(load):
                report = engine_report(load)
            case _:
                return _Reconciled(target, False, lease)
        orders = choose_orders(desired, report)
        if not orders:
            return _Reconciled(target, True, lease)
        if lease is None or not self._lease_covers_send(lease):
            lease = await self._acquire_lease(target)
        for order in orders:
            if lease is None or not await self._send(assignment, order, lease):
                break
        return _Reconciled(target, False, lease)

    def _lease_covers_send(self, lease: OrderLease) -> bool:
        return covers_send(lease, self.clock.monotonic(), self.clock.now().timestamp())

    async def _send(self, assignment: Assignment, order: Order, lease: OrderLease) -> bool:
        message = SendOrder(
            encode_order(order), lease.fence, MAX_SEND_S, lambda: self._lease_covers_send(lease)
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

    async def _acquire_lease(self, target: str) -> OrderLease | None:
        """Acquire or renew the lease of a target; return None if that fails.

        If the response to the write is lost, the row is read back.
        """
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
        return await self._confirm_lease(key, decision, before)

    async def _confirm_lease(
        self, key: str, decision: Write, before: tuple[float, float]
    ) -> OrderLease | None:
        """Read the lease back after a lost response; return it if this daemon wrote it."""
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
    """Return the state of the engine according to a load report."""
    return EngineReport(
        tuple(load.get("models", ())),
        tuple(load.get("adapters", ())),
        load.get("serves_as", ""),
        load.get("incarnation", 0),
        load.get("fence", 0),
        load.get("checks_fence", False),
    )


def encode_order(order: Order) -> dict[str, str]:
    """Encode an order as a JSON object."""
    match order:
        case LoadModel(model):
            return {"kind": "load_model", "model": model}
        case LoadAdapter(adapter):
            return {"kind": "load_adapter", "adapter": adapter}
        case SetRole(role):
            return {"kind": "set_role", "role": role}
        case Restart():
            return {"kind": "restart"}
