"""Last filter of the chain: runs the stages of a pipeline or calls a service."""

import random
from typing import NamedTuple

from returns.result import Failure, Result, Success

from greengagehoist.answers import Stream, digest_text, digest_tokens, is_whole
from greengagehoist.base import (
    Answer,
    ErrorCode,
    Exchange,
    Outcome,
    Outcomes,
    PipelineCall,
    Proceed,
    ServiceCall,
    StepError,
)
from greengagehoist.config import EngineStage, PoolStage, Stage
from greengagehoist.controllers import Assignment, Completed, Record, Route
from greengagehoist.targets import (
    Attempt,
    Chunk,
    GenerateCall,
    OperationCall,
    PoolCall,
    Send,
    TargetCall,
)
from greengagehoist.tracing import Span
from greengagehoist.utils import Clock, Controller, new_id

PROGRESS_S = 2.0


class _Output(NamedTuple):
    """Result of one stage."""

    text: str
    tokens: tuple[str, ...] = ()


class DispatchFilter:
    """Runs stage after stage on targets that the target controller assigns.

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

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> Outcomes:
        """Return the answer; ``proceed`` is not called."""
        match exchange.call:
            case PipelineCall() as call:
                return await self._run_pipeline(exchange, call)
            case ServiceCall() as call:
                return await self._run_operation(exchange, call)

    async def _run_pipeline(self, exchange: Exchange, call: PipelineCall) -> Outcomes:
        output = _Output(call.text)
        for stage in exchange.cfg.pipelines[call.pipeline].stages:
            result = await self._run_stage(exchange, call, stage, output.text)
            match result:
                case Success(found):
                    output = found
                case Failure() as failure:
                    return failure
        tokens = output.tokens
        return Success(Answer(exchange.request_id, output.text, len(tokens), digest_tokens(tokens)))

    async def _run_stage(
        self, exchange: Exchange, call: PipelineCall, stage: Stage, text: str
    ) -> Result[_Output, StepError]:
        attempt = Attempt(exchange.request_id, stage.name, 1)
        match stage:
            case PoolStage(name, role):
                sent = PoolCall(attempt, text, self._left_ms(exchange))
                result = await self._send(exchange, Route(attempt.request_id, name, role), sent)
                return result.bind(lambda reply: _check_stage(reply, attempt))
            case EngineStage(name, role, model):
                collected = _Collector(attempt, exchange)
                sent = GenerateCall(
                    attempt,
                    text,
                    call.max_tokens,
                    0,
                    exchange.usage.priority,
                    self._left_ms(exchange),
                    collected.accept,
                )
                route = Route(attempt.request_id, name, role, model)
                result = await self._send(exchange, route, sent)
                return result.bind(collected.close)

    async def _run_operation(self, exchange: Exchange, call: ServiceCall) -> Outcomes:
        attempt = Attempt(exchange.request_id, call.service, 1)
        sent = OperationCall(attempt, call.operation, exchange.idempotency_key, call.args)
        route = Route(exchange.request_id, call.service, f"service:{call.service}")
        result = await self._send(exchange, route, sent)
        return result.map(lambda reply: Answer(exchange.request_id, reply.result))

    async def _send(
        self, exchange: Exchange, route: Route, call: TargetCall
    ) -> Result[object, StepError]:
        assigned = await self.targets.ask(route)
        match assigned:
            case Success(Assignment() as assignment):
                return await self._send_to(exchange, assignment, call)
            case _:
                return assigned

    async def _send_to(
        self, exchange: Exchange, assignment: Assignment, call: TargetCall
    ) -> Result[object, StepError]:
        start, wall = self.clock.monotonic(), self.clock.now().timestamp()
        left = max(0.001, exchange.deadline - start)
        result = await assignment.link.ask(Send(call, left, min(left, PROGRESS_S)))
        latency = self.clock.monotonic() - start
        ok = isinstance(result, Success)
        self.targets.tell(Completed(assignment.target, latency, ok))
        status = "ok" if ok else str(result.failure().code)
        span = Span(
            exchange.trace.trace_id,
            new_id(self.rng, 64),
            exchange.trace.span_id,
            call.attempt.stage,
            self.vm,
            assignment.target.name,
            wall,
            latency,
            status,
        )
        self.traces.tell(Record((span,)))
        return result

    def _left_ms(self, exchange: Exchange) -> int:
        return max(1, int((exchange.deadline - self.clock.monotonic()) * 1000))


class _Collector:
    """Accepts the chunks of one generation and passes them on to a streaming caller."""

    def __init__(self, attempt: Attempt, exchange: Exchange):
        self.attempt = attempt
        self.exchange = exchange
        self.stream = Stream()

    async def accept(self, chunk: Chunk) -> None:
        """Append a chunk that belongs to the open attempt and starts at the next offset."""
        if self.exchange.meter is not None:
            self.exchange.meter(len(chunk.tokens))
        if chunk.attempt != self.attempt or chunk.offset != len(self.stream.tokens):
            return
        self.stream = Stream(self.stream.tokens + chunk.tokens)
        if self.exchange.emit is not None:
            await self.exchange.emit(chunk.offset, chunk.tokens)

    def close(self, end) -> Result[_Output, StepError]:
        """Return the output if the stream is whole."""
        if end.attempt != self.attempt or not is_whole(self.stream, end.length, end.digest):
            return Failure(_mismatch(self.attempt))
        return Success(_Output(" ".join(self.stream.tokens), self.stream.tokens))


def _check_stage(reply, attempt: Attempt) -> Result[_Output, StepError]:
    if reply.attempt != attempt or digest_text(reply.output) != reply.digest:
        return Failure(_mismatch(attempt))
    return Success(_Output(reply.output))


def _mismatch(attempt: Attempt) -> StepError:
    text = "reply does not match the attempt or its digest"
    return StepError(attempt.stage, "", Outcome.RAN, ErrorCode.TARGET_FAILED, text)
