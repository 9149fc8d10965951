"""Requests and answers of the gateway, and the interface of a wire format."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from greengagehoist.deployment import DeploymentSnapshot, Route, Tenant
from greengagehoist.gateway._events import EventSplitter
from greengagehoist.http1 import Headers, RequestHead, ResponseHead
from greengagehoist.pieces import Piece, PieceOutcome
from greengagehoist.replicas import Load, Replica

# Route priorities that are told apart for equal tenants; engines know ten ranks in all.
ROUTE_RANKS = 3


class PromptPart(NamedTuple):
    """Part of a prompt that other requests may share."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """Prompt of an engine request.

    :param parts: in order; the last one belongs to the request or its session.
    """

    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple[PromptPart, ...]


class GatewayRequest(NamedTuple):
    """A client's request, whose body and meaning are opaque to the gateway.

    :param headers: end-to-end headers that a replica gets as the client sent them.
    :param deadline_s: seconds that the client waits from its send, or None.
    :param piece_counts: number of pieces of each stage of the route.
    :param last_event_id: event after which the client resumes a stream, or None.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    api_key: str | None
    deadline_s: float | None
    prompt: Prompt | None
    piece_counts: tuple[int, ...]
    piece_key: str
    last_event_id: int | None


class ReplicaReply(NamedTuple):
    """What the headers of a replica's response say.

    :param not_executed: whether the replica states that it did not run the request.
    :param signed: whether the response carries the replica's signature.
    """

    request_id: str | None
    not_executed: bool
    signed: bool
    load: Load | None


class AnswerSink(Protocol):
    """Receives a streamed answer for the client."""

    def start(self, head: ResponseHead) -> None:
        """Send the status and headers."""

    async def send(self, data: bytes) -> None:
        """Send bytes of the body."""


class Progress:
    """What the sends of one request have brought so far.

    :ivar may_have_run: number of replicas that may have run the request.
    :ivar sends: number of sends.
    :ivar tried: ids of the replicas that it was sent to.
    :ivar started: whether the client got the beginning of the answer.
    :ivar stages_done: whether all stages have ended with results once.
    :ivar inputs_freed: whether the stage results were freed.
    :ivar splitter: events of a resumable stream, None before the first send.
    """

    def __init__(self):
        self.may_have_run = 0
        self.sends = 0
        self.tried: frozenset[str] = frozenset()
        self.started = False
        self.stages_done = False
        self.inputs_freed = False
        self.splitter: EventSplitter | None = None


class Exchange(NamedTuple):
    """A request on its way through the filters.

    :param arrived: arrival on the boot clock, in seconds.
    :param final_by: instant at which the client must have a final answer.
    :param deadline: instant at which the client stops waiting.
    :param service: service that runs the request.
    :param inputs: stage results that the replica needs: service and handles of each stage.
    :param inputs_zone: data centre that should run the request because of them, empty for any.
    :param home: replica that holds the shared parts of the prompt, or None.
    :param progress: shared by the sends of the request.
    :param due: instant at which the answer should begin.
    """

    req: GatewayRequest
    sink: AnswerSink
    arrived: float
    progress: Progress
    known: DeploymentSnapshot | None = None
    route: Route | None = None
    service: str = ""
    tenant: Tenant | None = None
    final_by: float = 0.0
    deadline: float = 0.0
    due: float = 0.0
    inputs: tuple[tuple[str, tuple[str, ...]], ...] = ()
    inputs_zone: str = ""
    home: Replica | None = None

    @property
    def rank(self) -> int:
        """Rank of the request, 0 is the most urgent.

        The tenant's priority decides first; the route's orders the requests of equal tenants.
        """
        tenant = self.tenant.priority if self.tenant is not None else None
        return ROUTE_RANKS * (tenant or 0) + min(self.route.priority, ROUTE_RANKS - 1)


@dataclass(frozen=True, slots=True)
class Relayed:
    """A replica's whole answer."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The answer was passed on to the sink up to its end."""


@dataclass(frozen=True, slots=True)
class StreamBroken:
    """The answer was passed on in part and cannot be completed."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request has not run and never will.

    :param retry_after_s: seconds after which another attempt is useful.
    """

    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class InputsLost:
    """The stage results that a further send needs no longer exist."""


@dataclass(frozen=True, slots=True)
class NoRoute:
    """No route takes the request."""


@dataclass(frozen=True, slots=True)
class BadKey:
    """No tenant holds the request's key."""


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run, and its answer is lost.

    :param timed_out: whether the time of the request was over.
    """

    reason: str
    timed_out: bool


Reply = Relayed | StreamEnded | StreamBroken | NotRun | InputsLost | NoRoute | BadKey | MayHaveRun
Proceed = Callable[[Exchange], Awaitable[Reply]]
Filter = Callable[[Exchange, Proceed], Awaitable[Reply]]


def without_answer(
    progress: Progress, reason: str, retry_after_s: float, timed_out: bool = False
) -> Reply:
    """Return the truthful answer to a request that is given up.

    :param timed_out: whether the time of the request is over.
    """
    if progress.started:
        return StreamBroken(reason)
    if progress.may_have_run:
        return MayHaveRun(reason, timed_out)
    return NotRun(reason, retry_after_s)


class StageCall(NamedTuple):
    """Path and body of a call at a replica of a stage pool."""

    target: bytes
    headers: Headers
    body: bytes


class WireFormat(Protocol):
    """Encoding of the messages between clients, the gateway and replicas."""

    def read_request(self, head: RequestHead, body: bytes) -> GatewayRequest:
        """Decode a client's request.

        :raises ProtocolError: if a header is malformed.
        """

    def replica_headers(
        self, exchange: Exchange, replica: Replica, left_s: float, resume_after: int | None
    ) -> Headers:
        """Return the headers of a request for a replica.

        :param left_s: seconds after which the replica's work is useless.
        :param resume_after: last event that the client has, or None.
        """

    def read_reply(self, head: ResponseHead) -> ReplicaReply:
        """Decode the headers of a replica's response."""

    def reply_headers(self, exchange: Exchange) -> Headers:
        """Return the headers of an answer that the gateway makes itself."""

    def stage_call(self, replica: Replica, pieces: tuple[Piece, ...]) -> StageCall:
        """Encode a call that makes pieces."""

    def read_pieces(self, body: bytes, count: int) -> tuple[PieceOutcome, ...]:
        """Decode the ends of ``count`` pieces.

        :raises ValueError: if the body is malformed.
        """

    def free_call(self, host: str, handles: tuple[str, ...]) -> StageCall:
        """Encode a call that frees results."""
