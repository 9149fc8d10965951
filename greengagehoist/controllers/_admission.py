"""Controller that admits, queues or refuses requests."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from returns.result import Failure, Success

from greengagehoist.admission import Admitted, Entry, EntryOutcome, Gate, Queued, Refused, Verdict
from greengagehoist.base import ErrorCode, not_run
from greengagehoist.deadlines import StageEstimates, can_finish
from greengagehoist.utils import Clock, Controller, Reply, Tick, tick

RELEASE_PERIOD_S = 0.05
STEP = "admission"


class Admit(NamedTuple):
    """Ask for admission; replied by ``Result[Grant, StepError]``, possibly after queueing.

    :param route: pipeline or service; each has its own gate.
    :param weight: the customer's weight in the fair queue.
    :param cost: expected work relative to an ordinary request of the route.
    :param deadline: monotonic time in seconds.
    """

    route: str
    customer: str
    weight: float
    cost: float
    deadline: float


class Grant(NamedTuple):
    """Admission of one request; the caller must end it with :class:`Finish`.

    :param at: monotonic time of the grant in seconds.
    """

    route: str
    at: float


class Finish(NamedTuple):
    """Report that an admitted request has ended."""

    grant: Grant
    outcome: EntryOutcome


class _QueuedRequest(NamedTuple):
    message: Admit
    reply: Callable[[Any], None]


class AdmissionController(Controller):
    """Owns one admission gate for each pipeline and service.

    :param on_overload: called with True or False when any gate starts or stops queueing.
    """

    def __init__(self, clock: Clock, on_overload: Callable[[bool], None] | None = None):
        super().__init__("admission")
        self.clock = clock
        self.on_overload = on_overload
        self._gates: dict[str, Gate] = {}
        self._estimates = StageEstimates()
        self._is_overloaded = False

    async def run(self) -> None:
        """Admit queued requests until cancelled."""
        self.start(tick(self, self.clock, RELEASE_PERIOD_S))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Admit():
                self._admit(message, reply)
            case Finish(grant, outcome):
                self._finish(grant, outcome)
            case Tick():
                self._release_all()
        self._notify_overload()

    def _admit(self, message: Admit, reply: Reply) -> None:
        now = self.clock.monotonic()
        times = self._estimates.snapshot(message.route)
        remaining = message.deadline - now
        if not can_finish(remaining, [times]):
            text = f"needs at least {times.p10:.3f} s, but only {max(0.0, remaining):.3f} s remain"
            reply(Failure(not_run(STEP, ErrorCode.DEADLINE, text)))
            return
        gate = self._gates.setdefault(message.route, Gate())
        latest_start = max(now, message.deadline - times.p50)
        item = _QueuedRequest(message, reply)
        entry = Entry(message.customer, message.weight, message.cost, latest_start, item)
        self._reply_verdicts(gate.submit(entry, now), now)

    def _finish(self, grant: Grant, outcome: EntryOutcome) -> None:
        now = self.clock.monotonic()
        if outcome is EntryOutcome.COMPLETED:
            self._estimates.observe(grant.route, now - grant.at)
        verdicts = self._gates[grant.route].finish(now - grant.at, outcome, now)
        self._reply_verdicts(verdicts, now)

    def _release_all(self) -> None:
        now = self.clock.monotonic()
        for gate in self._gates.values():
            self._reply_verdicts(gate.admit_queued(now), now)

    def _reply_verdicts(self, verdicts: list[Verdict], now: float) -> None:
        for verdict in verdicts:
            match verdict:
                case Admitted(Entry(item=_QueuedRequest(message, reply))):
                    reply(Success(Grant(message.route, now)))
                case Refused(Entry(item=_QueuedRequest(message, reply)), retry_after):
                    text = f"too many requests are queued for {message.route}"
                    after = timedelta(seconds=retry_after)
                    reply(Failure(not_run(STEP, ErrorCode.OVERLOADED, text, after=after)))
                case Queued():
                    pass

    def _notify_overload(self) -> None:
        overloaded = any(gate.is_overloaded for gate in self._gates.values())
        if overloaded != self._is_overloaded:
            self._is_overloaded = overloaded
            if self.on_overload is not None:
                self.on_overload(overloaded)
