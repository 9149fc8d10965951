"""Controller that admits, queues or refuses requests."""

import math
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from returns.result import Failure, Success

from greengagehoist.admission import Admitted, Entry, EntryOutcome, Gate, Queued, Refused, Verdict
from greengagehoist.base import ErrorCode, StepError, not_run
from greengagehoist.deadlines import StageEstimates, StageTimes, can_finish
from greengagehoist.shutdown import StopTimes, can_answer
from greengagehoist.utils import Clock, Controller, Published, Reply, Tick, tick

RELEASE_PERIOD_S = 0.05
STEP = "admission"
UNKNOWN_TIMES = StageTimes(math.inf, math.inf, math.inf)


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
    :param cost: cost of the request.
    """

    route: str
    at: float
    cost: float = 1.0


class Finish(NamedTuple):
    """Report that an admitted request has ended."""

    grant: Grant
    outcome: EntryOutcome


class _QueuedRequest(NamedTuple):
    message: Admit
    reply: Callable[[Any], None]


class AdmissionController(Controller):
    """Owns one admission gate for each pipeline and service.

    While the daemon stops, a request is admitted only if its whole answer is expected in time.

    :param on_overload: called with True or False when any gate starts or stops queueing.
    :param stop: times of the daemon's stop, None until it begins.
    """

    def __init__(
        self,
        clock: Clock,
        on_overload: Callable[[bool], None] | None = None,
        stop: Published[StopTimes | None] | None = None,
    ):
        super().__init__("admission")
        self.clock = clock
        self.on_overload = on_overload
        self.stop = stop or Published(None)
        self._gates: dict[str, Gate] = {}
        self._estimates = StageEstimates()
        self._size_estimates = StageEstimates(UNKNOWN_TIMES)
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
        if not self._can_answer(message, now):
            reply(Failure(_stop_error()))
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
            self._size_estimates.observe(_size_key(grant.route, grant.cost), now - grant.at)
        self._withdraw_late(now)
        verdicts = self._gates[grant.route].finish(now - grant.at, outcome, now)
        self._reply_verdicts(verdicts, now)

    def _release_all(self) -> None:
        now = self.clock.monotonic()
        self._withdraw_late(now)
        for gate in self._gates.values():
            self._reply_verdicts(gate.admit_queued(now), now)

    def _withdraw_late(self, now: float) -> None:
        """Refuse the queued requests that can no longer be answered before the daemon stops."""
        if self.stop.value is None:
            return
        for gate in self._gates.values():
            for entry in gate.withdraw(lambda entry: not self._can_answer(entry.item.message, now)):
                entry.item.reply(Failure(_stop_error()))

    def _can_answer(self, message: Admit, now: float) -> bool:
        if self.stop.value is None:
            return True
        times = self._size_estimates.snapshot(_size_key(message.route, message.cost))
        return can_answer(now, message.deadline, times.p95, self.stop.value.answers_by)

    def _reply_verdicts(self, verdicts: list[Verdict], now: float) -> None:
        for verdict in verdicts:
            match verdict:
                case Admitted(Entry(item=_QueuedRequest(message, reply))):
                    reply(Success(Grant(message.route, now, message.cost)))
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


def _size_key(route: str, cost: float) -> str:
    """Return the key under which the times of requests of similar cost are kept."""
    return f"{route}/{math.floor(math.log2(cost))}"


def _stop_error() -> StepError:
    text = "the daemon stops before the answer could be complete; use another one"
    return not_run(STEP, ErrorCode.DRAINING, text)
