"""The request and the answer as they pass through the filter chain."""

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
    """Call one operation of a plain service."""

    service: str
    operation: str
    args: dict[str, Any]


Call = PipelineCall | ServiceCall


class TraceContext(NamedTuple):
    """Position of a request in its trace (W3C trace context identifiers, lower-case hex)."""

    trace_id: str
    span_id: str


class Exchange(NamedTuple):
    """A request on its way through the filters; filters replace fields and never mutate it.

    :param meter: receives the number of tokens that any attempt has generated.
    :param reserve_tokens: reserves the tokens of a further generation; its failure means that the
        attempt must not be made.
    :param deadline: instant on the daemon's monotonic clock, in seconds.
    :param arrived: arrival on the daemon's monotonic clock, in seconds.
    :param shortened: deadline asked for by the caller, or None.
    :param emit: receives text of a streamed answer as ``(offset, tokens)``.
    :param assigned: target assignment that a claim names, for non-idempotent operations only.
    :param attempt: number of the send of a claimed operation, from 1.
    """

    request_id: str
    credential: str
    call: Call
    arrived: float
    trace: TraceContext
    idempotency_key: str = ""
    shortened: timedelta | None = None
    cfg: Config | None = None
    holding: Holding | None = None
    usage: PlanUsage | None = None
    deadline: float = 0.0
    emit: Callable[[int, tuple[str, ...]], Awaitable[None]] | None = None
    assigned: Any = None
    attempt: int = 1
    meter: Callable[[int], None] | None = None
    reserve_tokens: Callable[[int], Awaitable[Result[Any, StepError]]] | None = None


class Answer(NamedTuple):
    """A whole answer.

    :param body: output text of a pipeline, or the result object of a service operation.
    :param tokens: generated tokens, 0 for services.
    :param digest: SHA-256 of the generated tokens, empty for services.
    :param replayed: True if this is the stored first answer of a repeated idempotency key.
    """

    request_id: str
    body: Any
    tokens: int = 0
    digest: str = ""
    replayed: bool = False


Outcomes = Result[Answer, StepError]
Proceed = Callable[[Exchange], Awaitable[Outcomes]]
Filter = Callable[[Exchange, Proceed], Awaitable[Outcomes]]


def compose(filters: list[Filter]) -> Proceed:
    """Chain filters so that each calls the next one through ``proceed``.

    :param filters: in the order in which a request passes; the last must not call ``proceed``.
    :returns: the entry of the chain.
    """

    async def end(exchange: Exchange) -> Outcomes:
        raise AssertionError(f"filter chain ended without an answer for {exchange.request_id}")

    proceed: Proceed = end
    for item in reversed(filters):
        proceed = _bind(item, proceed)
    return proceed


def _bind(item: Filter, proceed: Proceed) -> Proceed:
    async def call(exchange: Exchange) -> Outcomes:
        return await item(exchange, proceed)

    return call
