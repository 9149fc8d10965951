"""Sends calls to assigned targets and records each attempt."""

import asyncio
import random
from typing import Any

from returns.result import Result, Success

from greengagehoist.base import ErrorCode, Exchange, StepError
from greengagehoist.controllers import Assignment, Completed, RecordSpans
from greengagehoist.targets import Cancel, GenerateCall, OperationCall, PoolCall, Send, TargetCall
from greengagehoist.tracing import Span
from greengagehoist.utils import Clock, Controller, new_id

MIN_TIMEOUT_S = 0.001
# Interval at which a link batches the chunks of a generation; shorter if the caller streams.
STREAMED_BATCH_INTERVAL_S = 0.015
WHOLE_ANSWER_BATCH_INTERVAL_S = 0.05


class Sender:
    """Sends calls, reports their latency and records a span for each.

    :param vm: name of this daemon's VM, for spans.
    """

    def __init__(
        self,
        targets: Controller,
        traces: Controller,
        clock: Clock,
        rng: random.Random,
        vm: str,
    ):
        self.targets = targets
        self.traces = traces
        self.clock = clock
        self.rng = rng
        self.vm = vm

    async def send(
        self, exchange: Exchange, assignment: Assignment, call: TargetCall
    ) -> Result[Any, StepError]:
        """Send ``call`` and return the target's reply."""
        start, wall_start = self.clock.monotonic(), self.clock.now().timestamp()
        left = max(MIN_TIMEOUT_S, exchange.deadline - start)
        status = "cancelled"
        if exchange.mark_sent is not None:
            exchange.mark_sent()
        try:
            batch_interval = (
                WHOLE_ANSWER_BATCH_INTERVAL_S
                if exchange.emit is None
                else STREAMED_BATCH_INTERVAL_S
            )
            result = await assignment.link.ask(Send(call, left, left, batch_interval))
            status = "ok" if isinstance(result, Success) else str(result.failure().code)
        except asyncio.CancelledError:
            _cancel(assignment, call)
            raise
        finally:
            latency = self.clock.monotonic() - start
            self.targets.tell(
                Completed(
                    assignment.target,
                    latency,
                    status == "ok",
                    assignment.ticket,
                    status == "cancelled",
                    status == str(ErrorCode.CONNECTION),
                )
            )
            self._record(exchange, assignment, call, wall_start, latency, status)
        if status != "ok":
            _cancel(assignment, call)
        return result

    def left(self, exchange: Exchange) -> float:
        """Return the remaining seconds until the deadline."""
        return exchange.deadline - self.clock.monotonic()

    def left_ms(self, exchange: Exchange) -> int:
        """Return the remaining milliseconds until the deadline, at least 1."""
        return max(1, int(self.left(exchange) * 1000))

    def _record(
        self,
        exchange: Exchange,
        assignment: Assignment,
        call: TargetCall,
        wall_start: float,
        latency: float,
        status: str,
    ) -> None:
        span = Span(
            exchange.trace.trace_id,
            new_id(self.rng, 64),
            exchange.trace.span_id,
            call.attempt.stage,
            self.vm,
            assignment.target.name,
            wall_start,
            latency,
            status,
        )
        self.traces.tell(RecordSpans((span,)))


def _cancel(assignment: Assignment, call: TargetCall) -> None:
    """Cancel work on the target whose result is not awaited; operations are never cancelled."""
    match call:
        case GenerateCall() | PoolCall():
            assignment.link.tell(Cancel(call.attempt))
        case OperationCall():
            pass
