"""Request, answer and composition of the filter chain."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple

from returns.result import Result

from greengagehoist.base._errors import StepError
from greengagehoist.config import Config, Holding, PlanUsage


@dataclass(frozen=True, slots=True)
class PipelineCall:
    """Run a pipeline.

    :param max_tokens: upper bound of generated tokens.
    :param stream: whether the caller wants tokens as they are generated.
    """

    pipeline: str
    text: str
    max_tokens: int
    stream: bool = False


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """Call one operation of a service."""

    service: str
    operation: str
    args: dict[str, Any]


Call = PipelineCall | ServiceCall


class TraceContext(NamedTuple):
    """Position of a request in its trace (W3C trace context identifiers, lower-case hex)."""

    trace_id: str
    span_id: str


class Exchange(NamedTuple):
    """Request passed along the filter chain; filters pass on changed copies of it.

    :param arrived: arrival time on the daemon's monotonic clock, in seconds.
    :param requested_deadline: deadline that the caller asked for, relative to the arrival, or None.
    :param deadline: deadline on the daemon's monotonic clock, in seconds.
    :param emit: called with ``(offset, tokens)`` for each part of a streamed answer.
    :param assigned: target assignment stored in the claim, for non-idempotent operations only.
    :param attempt: attempt number of a claimed operation, from 1.
    :param count_tokens: called with the number of tokens that an attempt has generated.
    :param reserve_tokens: reserves quota for the tokens of another attempt; if it fails, the
        attempt must not be made.
    :param mark_sent: called before a target may receive the request or a part of it.
    """

    request_id: str
    credential: str
    call: Call
    arrived: float
    trace: TraceContext
    idempotency_key: str = ""
    requested_deadline: timedelta | None = None
    cfg: Config | None = None
    holding: Holding | None = None
    usage: PlanUsage | None = None
    deadline: float = 0.0
    emit: Callable[[int, tuple[str, ...]], Awaitable[None]] | None = None
    assigned: Any = None
    attempt: int = 1
    count_tokens: Callable[[int], None] | None = None
    reserve_tokens: Callable[[int], Awaitable[Result[Any, StepError]]] | None = None
    mark_sent: Callable[[], None] | None = None


class Answer(NamedTuple):
    """A complete answer.

    :param body: output text of a pipeline, or the result object of a service operation.
    :param tokens: generated tokens, 0 for services.
    :param digest: SHA-256 of the generated tokens, empty for services.
    :param replayed: True if this is the stored answer to an earlier request with the same
        idempotency key.
    """

    request_id: str
    body: Any
    tokens: int = 0
    digest: str = ""
    replayed: bool = False


ExchangeResult = Result[Answer, StepError]
Proceed = Callable[[Exchange], Awaitable[ExchangeResult]]
Filter = Callable[[Exchange, Proceed], Awaitable[ExchangeResult]]


def compose(filters: list[Filter]) -> Proceed:
    """Compose filters into a chain; each calls the next one through ``proceed``.

    :param filters: in the order of execution; the last one must not call ``proceed``.
    :returns: function that runs the chain.
    """

    async def end(exchange: Exchange) -> ExchangeResult:
        raise AssertionError(f"filter chain ended without an answer for {exchange.request_id}")

    proceed: Proceed = end
    for item in reversed(filters):
        proceed = _bind(item, proceed)
    return proceed


def _bind(item: Filter, proceed: Proceed) -> Proceed:
    async def call(exchange: Exchange) -> ExchangeResult:
        return await item(exchange, proceed)

    return call
