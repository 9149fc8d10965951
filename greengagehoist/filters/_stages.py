"""Runs an idempotent stage: attempts, acceptance of results, resumption of generations."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from greengagehoist.answers import (
    Appended,
    AttemptEvent,
    Closed,
    Stream,
    Verdict,
    accept_chunk,
    accept_end,
    accept_output,
    end_attempt,
    is_open,
    open_attempt,
)
from greengagehoist.base import ErrorCode, Exchange, Outcome, StepError
from greengagehoist.controllers import Route
from greengagehoist.filters._retry import RetryPolicy
from greengagehoist.filters._sender import Sender
from greengagehoist.targets import Attempt, Chunk, StageReply, StreamEnd, TargetCall
from greengagehoist.utils import Metrics

DROPPED_METRIC = "answers.dropped"


class Output(NamedTuple):
    """Output of one stage."""

    text: str
    tokens: tuple[str, ...] = ()


MakeCall = Callable[[Attempt, "StageRun"], TargetCall]


class StageRun:
    """State of one stage of a request; accepts only results of the open attempt.

    :param max_tokens: maximum tokens of a generation, 0 for other stages.
    """

    def __init__(self, exchange: Exchange, route: Route, max_tokens: int, metrics: Metrics):
        self.exchange = exchange
        self.route = route
        self.max_tokens = max_tokens
        self.metrics = metrics
        self.stream = Stream()
        self.offset = 0

    def begin(self, number: int) -> Attempt:
        """Open attempt ``number``."""
        attempt = Attempt(self.route.request_id, self.route.stage, number)
        self.stream = open_attempt(self.stream, attempt)
        return attempt

    def end(self, event: AttemptEvent) -> None:
        """End the open attempt, if there is one."""
        if is_open(self.stream, self.stream.attempt):
            self.stream = end_attempt(self.stream, event)

    async def accept(self, chunk: Chunk) -> None:
        """Accept a chunk and send its new tokens to a streaming caller.

        :raises ValueError: if the chunk is invalid, which ends the attempt.
        """
        if self.exchange.count_tokens is not None:
            self.exchange.count_tokens(len(chunk.tokens))
        verdict = accept_chunk(
            self.stream, chunk.attempt, chunk.offset, chunk.tokens, self.max_tokens
        )
        self._apply(verdict)
        match verdict:
            case Appended(tokens=tokens, offset=offset) if tokens and self.exchange.emit:
                await self.exchange.emit(offset, tokens)
            case Closed(reason=reason):
                raise ValueError(reason)

    def finish(self, reply: Any) -> Result[Output, StepError]:
        """Return the stage's output if the reply completes it."""
        match reply:
            case StageReply(attempt, output, digest):
                verdict = accept_output(self.stream, attempt, output, digest)
                stage_output = Output(output)
            case StreamEnd(attempt, length, digest):
                verdict = accept_end(self.stream, attempt, length, digest)
                stage_output = Output(" ".join(self.stream.tokens), self.stream.tokens)
        self._apply(verdict)
        match verdict:
            case Appended():
                return Success(stage_output)
            case _:
                stage = self.route.stage
                text = verdict.reason
                return Failure(StepError(stage, "", Outcome.RAN, ErrorCode.TARGET_FAILED, text))

    def _apply(self, verdict: Verdict) -> None:
        match verdict:
            case Appended(stream=stream):
                self.stream = stream
                self.offset = len(stream.tokens)
            case Closed(stream=stream, resume=resume):
                self.stream, self.offset = stream, resume
                if resume == 0 and self.exchange.emit is None:
                    self.stream = stream._replace(tokens=())
            case _:
                self.metrics.incr(DROPPED_METRIC)


class StageRunner:
    """Runs stages, retrying failed attempts on other targets."""

    def __init__(self, sender: Sender, retries: RetryPolicy, metrics: Metrics):
        self.sender = sender
        self.retries = retries
        self.metrics = metrics

    async def run(
        self, exchange: Exchange, route: Route, make_call: MakeCall, max_tokens: int = 0
    ) -> Result[Output, StepError]:
        """Run a stage until an attempt succeeds or the retry policy allows no more."""
        run = StageRun(exchange, route, max_tokens, self.metrics)
        tried: tuple[str, ...] = ()
        sent = False
        for number in itertools.count(1):
            if number > 1 and sent:
                reserved = await _reserve_for_retry(run)
                if isinstance(reserved, Failure):
                    return _mark_possibly_run(reserved, sent)
            assigned = await self._assign(route, tried)
            if isinstance(assigned, Failure):
                return _mark_possibly_run(assigned, sent)
            assignment = assigned.unwrap()
            result = await self._attempt(run, assignment, make_call, number)
            if isinstance(result, Success):
                return result
            error = result.failure()
            sent = sent or error.outcome is not Outcome.NOT_RUN
            left = self.sender.left(exchange)
            if left <= 0 or not self.retries.allow_retry(error, number, left):
                return _mark_possibly_run(_as_deadline_error(error, left), sent)
            tried += (assignment.target.name,)
        raise AssertionError("unreachable")

    async def _assign(self, route: Route, tried: tuple[str, ...]) -> Result:
        assigned = await self.sender.targets.ask(route._replace(exclude=route.exclude + tried))
        if isinstance(assigned, Failure) and tried:
            return await self.sender.targets.ask(route)
        return assigned

    async def _attempt(
        self, run: StageRun, assignment: Any, make_call: MakeCall, number: int
    ) -> Result[Output, StepError]:
        attempt = run.begin(number)
        try:
            reply = await self.sender.send(run.exchange, assignment, make_call(attempt, run))
        except asyncio.CancelledError:
            run.end(AttemptEvent.CANCEL)
            raise
        result = reply.bind(run.finish)
        run.end(AttemptEvent.FAIL)
        return result.alt(
            lambda error: error if error.peer else error._replace(peer=assignment.target.name)
        )


async def _reserve_for_retry(run: StageRun) -> Result[Any, StepError]:
    """Reserve quota for the tokens that another attempt may generate.

    An earlier attempt may have generated tokens that did not arrive, so its reservation is not
    reused.
    """
    tokens = run.max_tokens - run.offset
    if tokens <= 0 or run.exchange.reserve_tokens is None:
        return Success(None)
    return await run.exchange.reserve_tokens(tokens)


def _as_deadline_error(error: StepError, left: float) -> Result[Any, StepError]:
    if left > 0:
        return Failure(error)
    text = f"deadline passed; last failure: {error.message}"
    return Failure(error._replace(code=ErrorCode.DEADLINE, message=text))


def _mark_possibly_run(result: Result[Any, StepError], sent: bool) -> Result[Any, StepError]:
    """Report an unknown outcome instead of not run if an earlier attempt may have run."""
    if not sent:
        return result
    return result.alt(
        lambda error: (
            error._replace(outcome=Outcome.UNKNOWN) if error.outcome is Outcome.NOT_RUN else error
        )
    )
