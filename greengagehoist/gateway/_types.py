"""Requests and answers of the gateway, and the interface of a wire format."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from greengagehoist.deployment import DeploymentSnapshot, Route, Tenant
from greengagehoist.gateway._events import EventSplitter
from greengagehoist.http1 import Headers, RequestHead, ResponseHead
from greengagehoist.pieces import Piece, PieceOutcome
from greengagehoist.replicas import Load, Replica, SendLimit, Unlimited

# Number of route priorities that are distinguished within a tenant priority. Engines support ten
# ranks in total.
ROUTE_RANKS = 3
# Retry-After of a daemon that stops; another one can take the request at once.
STOPPING_RETRY_AFTER_S = 0.1
# Status of a replica that is not the one the request names.
MISDIRECTED = 421


class PromptPart(NamedTuple):
    """Part of a prompt, which other requests may have in common."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """Prompt of an engine request.

    :param parts: in order; the last one is private to the request or its session.
    """

    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple[PromptPart, ...]


class GatewayRequest(NamedTuple):
    """A client's request; the gateway does not interpret its body.

    :param headers: end-to-end headers that are forwarded to a replica unchanged.
    :param deadline_s: seconds that the client waits after it sent the request, or None.
    :param piece_counts: number of pieces of each stage of the route.
    :param piece_key: key that the client gives for the pieces of stages without inputs.
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
    """Content of the headers of a replica's response.

    :param not_executed: whether the replica states that it did not run the request.
    :param signed: whether the response carries the replica's signature.
    :param leaving: whether the replica states that it is shutting down.
    :param pause_s: seconds for which the replica wants no requests from this daemon, None if it does
        not say.
    :param limit: what it says about the requests that it takes from all daemons together.
    :param cold_s: seconds for which it states to be cold, NaN if it states no time, None if it states
        nothing.
    """

    request_id: str | None
    not_executed: bool
    signed: bool
    load: Load | None
    leaving: bool = False
    pause_s: float | None = None
    limit: SendLimit = Unlimited()
    cold_s: float | None = None


class AnswerSink(Protocol):
    """Receives a streamed answer for the client."""

    def start(self, head: ResponseHead) -> None:
        """Send the status and headers."""

    async def send(self, data: bytes) -> None:
        """Send bytes of the body."""


class Progress:
    """Progress of one request over all its sends.

    :ivar may_have_run: number of replicas that may have run the request.
    :ivar in_send: whether a replica may have received the request in a send that has not ended.
    :ivar sends: number of sends.
    :ivar tried: ids of the replicas that the request was sent to.
    :ivar started: whether the client has received the beginning of the answer.
    :ivar stages_done: whether all stages have completed at least once.
    :ivar inputs_freed: whether the stage results have been freed.
    :ivar answer_begun_at: time of the first whole event of the latest send, None before it.
    :ivar on_trial: whether the first send may try a prompt part that is in quarantine.
    :ivar splitter: events of a resumable stream, None before the first send.
    :ivar reserved_bytes: memory that the request has asked for to buffer its answer.
    :ivar ticket: identifies the latest send at the placement controller, 0 before the first.
    :ivar permit_until: time until which the latest permit for a replica with a limit is good.
    :ivar request_key: key of the request for the quarantine, None before it is needed.
    """

    def __init__(self):
        self.may_have_run = 0
        self.in_send = False
        self.sends = 0
        self.tried: frozenset[str] = frozenset()
        self.started = False
        self.stages_done = False
        self.inputs_freed = False
        self.answer_begun_at: float | None = None
        self.on_trial = False
        self.splitter: EventSplitter | None = None
        self.reserved_bytes = 0
        self.permit_until = 0.0
        self.request_key: int | None = None
        self.ticket = 0


class Exchange(NamedTuple):
    """A request on its way through the filters.

    :param arrived: time of arrival on the boot clock, in seconds.
    :param answer_deadline: time by which the client must have the complete answer.
    :param service: service that runs the request.
    :param inputs: stage results that the replica needs: service and handles of each stage.
    :param inputs_zone: data centre that holds most bytes of the inputs, empty if any will do.
    :param home: replica that holds the shared parts of the prompt, or None.
    :param progress: shared by all sends of the request.
    :param due: time by which the answer should begin.
    """

    req: GatewayRequest
    sink: AnswerSink
    arrived: float
    progress: Progress
    snapshot: DeploymentSnapshot | None = None
    route: Route | None = None
    service: str = ""
    tenant: Tenant | None = None
    answer_deadline: float = 0.0
    due: float = 0.0
    inputs: tuple[tuple[str, tuple[str, ...]], ...] = ()
    inputs_zone: str = ""
    home: Replica | None = None

    @property
    def rank(self) -> int:
        """Rank of the request; 0 is the most urgent.

        Requests are ordered by the tenant's priority, then by the route's.
        """
        tenant = self.tenant.priority if self.tenant is not None else None
        return ROUTE_RANKS * (tenant or 0) + min(self.route.priority, ROUTE_RANKS - 1)


@dataclass(frozen=True, slots=True)
class Relayed:
    """A replica's complete answer."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The complete answer was streamed to the sink."""


@dataclass(frozen=True, slots=True)
class StreamBroken:
    """A part of the answer was streamed to the sink, and the rest is not available."""

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
    """Stage results that another send needs no longer exist."""


@dataclass(frozen=True, slots=True)
class NoRoute:
    """No route matches the request."""


@dataclass(frozen=True, slots=True)
class BadKey:
    """No tenant holds the request's key."""


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run, and its answer is lost.

    :param timed_out: whether the request ran out of time.
    """

    reason: str
    timed_out: bool


Reply = Relayed | StreamEnded | StreamBroken | NotRun | InputsLost | NoRoute | BadKey | MayHaveRun
Proceed = Callable[[Exchange], Awaitable[Reply]]
Filter = Callable[[Exchange, Proceed], Awaitable[Reply]]


def failure_reply(
    progress: Progress, reason: str, retry_after_s: float, timed_out: bool = False
) -> Reply:
    """Return the reply to a request that is abandoned, depending on whether it may have run.

    :param timed_out: whether the request ran out of time.
    """
    if progress.started:
        return StreamBroken(reason)
    if progress.may_have_run or progress.in_send:
        return MayHaveRun(reason, timed_out)
    return NotRun(reason, retry_after_s)


class StageCall(NamedTuple):
    """Path, headers and body of a call to a replica of a stage pool."""

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

        :param left_s: seconds after which the answer is no longer needed.
        :param resume_after: id of the last event that the client received, or None.
        """

    def read_reply(self, head: ResponseHead) -> ReplicaReply:
        """Decode the headers of a replica's response."""

    def reply_headers(self, exchange: Exchange) -> Headers:
        """Return the headers of an answer that the gateway itself creates."""

    def stage_call(self, replica: Replica, pieces: tuple[Piece, ...]) -> StageCall:
        """Encode a call that runs pieces."""

    def read_pieces(self, body: bytes, count: int) -> tuple[PieceOutcome, ...]:
        """Decode the outcomes of ``count`` pieces.

        :raises ValueError: if the body is malformed.
        """

    def free_call(self, host: str, handles: tuple[str, ...]) -> StageCall:
        """Encode a call that frees results."""
