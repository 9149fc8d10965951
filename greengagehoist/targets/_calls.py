"""Calls to targets and their replies."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, Required, TypedDict


class Attempt(NamedTuple):
    """Identifies one dispatch of a stage; results are accepted only while the attempt is open.

    :param attempt: number of the attempt within the stage of the request, from 1.
    """

    request_id: str
    stage: str
    attempt: int


class Target(NamedTuple):
    """A target as the router sees it.

    :param name: VM name; unique together with the incarnation.
    :param role: for example ``encoder``, ``engine`` or ``service:ledger``.
    """

    name: str
    address: str
    data_centre: str
    role: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class PoolCall:
    """Run a pool stage.

    :param deadline_ms: milliseconds left until the deadline when the call is sent.
    """

    attempt: Attempt
    text: str
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class GenerateCall:
    """Generate tokens starting at ``offset``; chunks are passed to ``sink`` as they arrive.

    :param deadline_ms: milliseconds left until the deadline when the call is sent.
    :param model: an engine that has not loaded this model refuses the call; empty for any model.
    """

    attempt: Attempt
    text: str
    max_tokens: int
    offset: int
    priority: int
    deadline_ms: int
    sink: Callable[["Chunk"], Awaitable[None]]
    model: str = ""


@dataclass(frozen=True, slots=True)
class OperationCall:
    """Call an operation of a plain service.

    :param key: idempotency key for the service, empty if there is none.
    :param deadline: time on the monotonic clock from which the call must no longer be sent.
    """

    attempt: Attempt
    operation: str
    key: str
    args: dict[str, Any]
    deadline: float


TargetCall = PoolCall | GenerateCall | OperationCall


class StageReply(NamedTuple):
    """Output of a pool stage.

    :param digest: lower-case hex SHA-256 of the output, as the target computed it.
    """

    attempt: Attempt
    output: str
    digest: str


class Chunk(NamedTuple):
    """Consecutive tokens of a stream, starting at ``offset``."""

    attempt: Attempt
    offset: int
    tokens: tuple[str, ...]


class StreamEnd(NamedTuple):
    """End of a stream.

    :param length: number of tokens of the whole generation, including those before the offset.
    :param digest: lower-case hex SHA-256 of all tokens joined by spaces.
    """

    attempt: Attempt
    length: int
    digest: str


class OperationReply(NamedTuple):
    """Result of a service operation."""

    request_id: str
    result: Any


class Send(NamedTuple):
    """Ask a target link to send a call.

    Replied by ``Result[StageReply | StreamEnd | OperationReply, StepError]``.

    :param timeout: seconds for the whole call.
    :param max_idle_s: upper bound of the idle timeout, in seconds; the link may apply a shorter
        one, derived from the response times that it has observed.
    :param read_interval_s: pause between two reads of a stream, in seconds; chunks that arrive
        in the meantime are merged into one.
    """

    call: TargetCall
    timeout: float
    max_idle_s: float
    read_interval_s: float = 0.0


class StageWire(TypedDict):
    """JSON body of a pool's reply."""

    request_id: str
    stage: str
    attempt: int
    output: str
    digest: str


class OperationWire(TypedDict):
    """JSON body of a service's reply."""

    request_id: str
    result: Any


class RecordWire(TypedDict, total=False):
    """JSON body of a service's stored result for an idempotency key."""

    ran: Required[bool]
    answer: OperationWire | None


class RefusalWire(TypedDict):
    """JSON body of a target's refusal."""

    error: str


class ChunkWire(TypedDict, total=False):
    """One NDJSON line of an engine's stream; a line with ``end`` is the last one."""

    request_id: str
    stage: str
    attempt: int
    offset: int
    tokens: list[str]
    end: bool
    length: int
    digest: str


class LoadWire(TypedDict, total=False):
    """JSON body of a load report.

    Only engines send ``models``, ``adapters``, ``serves_as``, ``fence`` and ``checks_fence``.
    """

    queue: int
    running: int
    capacity: int
    state: str
    incarnation: int
    models: list[str]
    adapters: list[str]
    serves_as: str
    fence: int
    checks_fence: bool
