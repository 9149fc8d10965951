"""HTTP API for callers."""

import asyncio
import contextlib
import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta
from typing import Any

from returns.result import Failure, Result, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from greengagehoist.base import (
    Answer,
    Call,
    ErrorCode,
    Exchange,
    PipelineCall,
    Proceed,
    ServiceCall,
    StepError,
    TraceContext,
    not_run,
)
from greengagehoist.controllers import RecordSpans
from greengagehoist.server._bodies import read_body
from greengagehoist.server._memory import NoMemoryError
from greengagehoist.server._rate_limit import SourceRateLimiter
from greengagehoist.tracing import Span, parse_traceparent
from greengagehoist.utils import (
    Clock,
    Controller,
    Metrics,
    ValidationError,
    check_int,
    check_text,
    log_event,
    new_id,
)

MAX_INPUT_CHARS = 100_000
MAX_TOKENS = 32_768
MAX_KEY_CHARS = 128
MAX_DEADLINE_MS = 600_000
KEEP_ALIVE_INTERVAL_S = 1.0
NO_MEMORY_RETRY_AFTER = timedelta(seconds=1)
# Customary status of a request whose client closed the connection; it is never delivered.
CLIENT_CLOSED_REQUEST = 499

HTTP_STATUS = {
    ErrorCode.INVALID: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.CONFLICT: 409,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.OVER_PLAN: 429,
    ErrorCode.QUIET_HOURS: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.DEADLINE: 504,
    ErrorCode.UNAVAILABLE: 503,
    ErrorCode.TARGET_FAILED: 502,
    ErrorCode.CONNECTION: 502,
    ErrorCode.PLATFORM: 503,
    ErrorCode.DRAINING: 503,
}


class CallerApp:
    """Converts HTTP requests to exchanges and answers to HTTP responses.

    :param proceed: function that runs the filter chain.
    :param is_known_credential: checks a credential before the body is read; None skips the check.
    """

    def __init__(
        self,
        proceed: Proceed,
        traces: Controller,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        vm: str,
        is_known_credential: Callable[[str], Awaitable[bool]] | None = None,
    ):
        self.is_known_credential = is_known_credential
        self.source_limiter = SourceRateLimiter()
        self.proceed = proceed
        self.traces = traces
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.vm = vm

    def build(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/pipelines/{name}", self.run_pipeline, methods=["POST"]),
                Route("/v1/services/{service}/{operation}", self.call_service, methods=["POST"]),
            ],
            exception_handlers={NoMemoryError: refuse_without_memory},
        )

    async def run_pipeline(self, request: Request) -> Response:
        """Run a pipeline and return its answer, complete or streamed."""
        return await self._answer(request, _parse_pipeline_call)

    async def call_service(self, request: Request) -> Response:
        """Call an operation of a service."""
        return await self._answer(request, _parse_service_call)

    async def _answer(self, request: Request, parse: Any) -> Response:
        request_id, arrived = new_id(self.rng), self.clock.monotonic()
        rejected = await self._reject_unauthenticated(request)
        if rejected is not None:
            return _failure_response(rejected, request_id, close=True)
        try:
            body = await read_body(request)
            exchange = self._build_exchange(
                request, request_id, arrived, parse(request, body), body
            )
        except ValidationError as exc:
            error = not_run("read", ErrorCode.INVALID, str(exc))
            return _failure_response(error, request_id, close=True)
        if isinstance(exchange.call, PipelineCall) and exchange.call.stream:
            return StreamingResponse(self._stream_events(exchange), media_type="text/event-stream")
        result = await self._run_while_connected(request, exchange)
        match result:
            case None:
                return Response(status_code=CLIENT_CLOSED_REQUEST)
            case Success(answer):
                return JSONResponse(_answer_body(answer, exchange))
            case Failure(error):
                return _failure_response(error, request_id)

    async def _reject_unauthenticated(self, request: Request) -> StepError | None:
        """Reject an unknown credential before the body is read."""
        if self.is_known_credential is None or await self.is_known_credential(_credential(request)):
            return None
        source = request.client.host if request.client else ""
        if not self.source_limiter.allow(source, self.clock.monotonic()):
            text = "too many unauthenticated requests from this address"
            return not_run("identify", ErrorCode.OVERLOADED, text)
        return not_run("identify", ErrorCode.UNAUTHENTICATED, "unknown credential")

    async def _run_while_connected(
        self, request: Request, exchange: Exchange
    ) -> Result[Answer, StepError] | None:
        """Run the chain; cancel it and return None if the caller disconnects first.

        The claim filter shields operations that must not be interrupted.
        """
        run = asyncio.ensure_future(self._run(exchange))
        disconnect = asyncio.ensure_future(_wait_for_disconnect(request))
        try:
            await asyncio.wait((run, disconnect), return_when=asyncio.FIRST_COMPLETED)
            return await run if run.done() else None
        finally:
            for task in (run, disconnect):
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(run, disconnect, return_exceptions=True)

    def _build_exchange(
        self, request: Request, request_id: str, arrived: float, call: Call, body: dict
    ) -> Exchange:
        requested_deadline = None
        if body.get("deadline_ms") is not None:
            milliseconds = check_int("deadline_ms", body["deadline_ms"], 1, MAX_DEADLINE_MS)
            requested_deadline = timedelta(milliseconds=milliseconds)
        key = request.headers.get("idempotency-key", "")
        if key:
            check_text("Idempotency-Key", key, MAX_KEY_CHARS)
            if not (key.isascii() and key.isprintable()):
                raise ValidationError("Idempotency-Key", key, "printable ASCII characters")
        parent = parse_traceparent(request.headers.get("traceparent", ""))
        trace_id = parent[0] if parent else new_id(self.rng)
        return Exchange(
            request_id=request_id,
            credential=_credential(request),
            call=call,
            arrived=arrived,
            trace=TraceContext(trace_id, new_id(self.rng, 64)),
            idempotency_key=key,
            requested_deadline=requested_deadline,
        )

    async def _run(self, exchange: Exchange) -> Result[Answer, StepError]:
        wall = self.clock.now().timestamp()
        result = await self.proceed(exchange)
        duration = self.clock.monotonic() - exchange.arrived
        status = "ok"
        match result:
            case Failure(error):
                status = str(error.code)
                log_event(
                    "request_failed",
                    "WARNING",
                    request=exchange.request_id,
                    step=error.step,
                    peer=error.peer,
                    outcome=error.outcome,
                    code=error.code,
                    message=error.message,
                )
        trace_id, span_id = exchange.trace
        span = Span(trace_id, span_id, "", "request", self.vm, "", wall, duration, status)
        self.traces.tell(RecordSpans((span,)))
        self.metrics.incr(f"request.{status}")
        self.metrics.timing("request.duration", duration * 1000)
        return result

    async def _stream_events(self, exchange: Exchange) -> AsyncIterator[str]:
        queue: asyncio.Queue[str | None] = asyncio.Queue()

        async def emit(offset: int, tokens: tuple[str, ...]) -> None:
            queue.put_nowait(_format_event("tokens", {"offset": offset, "tokens": tokens}))

        async def run() -> None:
            result = await self._run(exchange._replace(emit=emit))
            match result:
                case Success(answer):
                    body = _answer_body(answer, exchange)
                    del body["output"]
                    queue.put_nowait(_format_event("end", body))
                case Failure(error):
                    queue.put_nowait(
                        _format_event("error", failure_body(error, exchange.request_id))
                    )
            queue.put_nowait(None)

        task = asyncio.create_task(run())
        loop = asyncio.get_running_loop()
        last = loop.time()

        def keep_alive() -> None:
            """Queue a keep-alive comment if no event was sent during the interval.

            Each stream has a single timer, which is rearmed only when it fires.
            """
            nonlocal timer, last
            now = loop.time()
            if now >= last + KEEP_ALIVE_INTERVAL_S:
                queue.put_nowait(": keep-alive\n\n")
                last = now
            timer = loop.call_at(last + KEEP_ALIVE_INTERVAL_S, keep_alive)

        timer = loop.call_at(last + KEEP_ALIVE_INTERVAL_S, keep_alive)
        try:
            while (event := await queue.get()) is not None:
                last = loop.time()
                yield event
        finally:
            timer.cancel()
            task.cancel()


def _credential(request: Request) -> str:
    scheme, _, credential = request.headers.get("authorization", "").partition(" ")
    return credential if scheme.lower() == "bearer" else ""


async def _wait_for_disconnect(request: Request) -> None:
    """Wait until the caller closes the connection; the body must have been read before."""
    while (await request.receive())["type"] != "http.disconnect":
        pass


def _parse_pipeline_call(request: Request, body: dict[str, Any]) -> PipelineCall:
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise ValidationError("stream", stream, "true or false")
    return PipelineCall(
        request.path_params["name"],
        check_text("input", body.get("input"), MAX_INPUT_CHARS),
        check_int("max_tokens", body.get("max_tokens"), 1, MAX_TOKENS),
        stream,
    )


def _parse_service_call(request: Request, body: dict[str, Any]) -> ServiceCall:
    args = body.get("args", {})
    if not isinstance(args, dict):
        raise ValidationError("args", args, "a JSON object")
    return ServiceCall(request.path_params["service"], request.path_params["operation"], args)


def _answer_body(answer: Answer, exchange: Exchange) -> dict[str, Any]:
    body = {
        "request_id": exchange.request_id,
        "trace_id": exchange.trace.trace_id,
        "output": answer.body,
    }
    if isinstance(exchange.call, PipelineCall):
        return {**body, "tokens": answer.tokens, "digest": answer.digest}
    return {**body, "replayed": answer.replayed}


def failure_body(error: StepError, request_id: str) -> dict[str, Any]:
    """Return the JSON body of a failed request."""
    after = error.retry_after
    return {
        "error": {
            "outcome": error.outcome,
            "code": error.code,
            "message": error.message,
            "step": error.step,
            "peer": error.peer,
            "retry_safe": error.retry_safe,
            "retry_after_ms": None if after is None else int(after / timedelta(milliseconds=1)),
        },
        "request_id": request_id,
    }


def _failure_response(error: StepError, request_id: str, *, close: bool = False) -> JSONResponse:
    headers = {"Connection": "close"} if close else None
    return JSONResponse(failure_body(error, request_id), HTTP_STATUS[error.code], headers)


async def refuse_without_memory(request: Request, exc: Exception) -> JSONResponse:
    """Answer a request whose body was given up; it has not run."""
    error = not_run("read", ErrorCode.OVERLOADED, str(exc), after=NO_MEMORY_RETRY_AFTER)
    response = _failure_response(error, "", close=True)
    response.headers["Retry-After"] = str(int(NO_MEMORY_RETRY_AFTER.total_seconds()))
    return response


def _format_event(name: str, data: dict[str, Any]) -> str:
    return f"event: {name}\ndata: {json.dumps(data)}\n\n"
