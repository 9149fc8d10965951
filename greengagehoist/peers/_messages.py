"""Messages that daemons send each other."""

from typing import Any, NamedTuple

from greengagehoist.peers._load_messages import LoadReport, LoadSums, LoadUpdate


class Hello(NamedTuple):
    """First message on a link, from both sides.

    :param address: ``ip:port`` of the sender's peer listener.
    """

    vm: str
    data_centre: str
    incarnation: int
    address: str


class LeaveMark(NamedTuple):
    """An incarnation of a target that accepts no new work."""

    target: str
    incarnation: int


class Heartbeat(NamedTuple):
    """Liveness and state of a daemon, sent each second.

    :param config_version: version of the configuration that the sender holds, 0 if it has none.
    :param in_flight: requests that the sender is serving.
    :param load: load of the sender, from 0.0 (idle) to 1.0 (full).
    :param leave_marks: marks that the sender has recently received.
    """

    seq: int
    config_version: int
    ready: bool
    in_flight: int
    load: float
    leave_marks: tuple[LeaveMark, ...]


class StageReserve(NamedTuple):
    """Announce the work of a request to the owner of its stage pools and ask when it can start.

    :param services: pools that the request needs and the receiver owns.
    :param pieces: number of pieces for each service.
    :param due_in_s: seconds until the results of each service are due.
    :param tenant: holder of the request's key, empty if there is none.
    :param kind: name of the request's route.
    :param size: tokens of the prompt, or pieces of all stages without a prompt.
    :param further: whether the client has sent the request before.
    """

    request_id: str
    services: tuple[str, ...]
    pieces: tuple[int, ...]
    rank: int
    due_in_s: tuple[float, ...]
    tenant: str = ""
    kind: str = ""
    size: int = 0
    further: bool = False


class StageWaitTimes(NamedTuple):
    """Answer to :class:`StageReserve`.

    :param wait_s: seconds until each service has completed the work ahead of the request.
    :param room_s: seconds until each service expects room for the request if it is refused now.
    """

    request_id: str
    services: tuple[str, ...]
    wait_s: tuple[float, ...]
    room_s: tuple[float, ...]


class StageSubmit(NamedTuple):
    """Ask the owner of a stage pool for the results of one stage of a request.

    :param due_in_s: seconds until the results are due.
    :param left_s: seconds after which the results are useless.
    :param zone: data centre in which the results are read, empty if not yet decided.
    :param result_bytes: approximate size of the result of one piece.
    :param attempt: number of times that the request has started its stages.
    """

    request_id: str
    service: str
    stage: int
    segments: tuple[int, ...]
    key: str
    inputs: tuple[str, ...]
    rank: int
    due_in_s: float
    left_s: float
    zone: str
    result_bytes: float
    attempt: int


class StageResult(NamedTuple):
    """Completion or failure of one stage.

    :param handles: handles of the results in segment order; empty if the stage failed.
    :param reason: why the stage failed, empty if it did not.
    :param attempt: as in the submission.
    """

    request_id: str
    service: str
    stage: int
    handles: tuple[str, ...]
    reason: str
    attempt: int


class StageFree(NamedTuple):
    """Free results of a pool that no request needs any more."""

    service: str
    handles: tuple[str, ...]


class StageCancel(NamedTuple):
    """Drop the queued and reserved work of a request that has ended.

    :param refused: whether its daemon has refused it because the pools are overloaded.
    :param returns_in_s: seconds until its client comes back to the room that it was promised, None
        if it was promised none.
    """

    request_id: str
    refused: bool = False
    returns_in_s: float | None = None


class ContentQuery(NamedTuple):
    """Ask a hub for what it has read from the platform; answered at once by an offer.

    :param topic: ``deployment``, ``replicas`` or ``members``.
    :param token: identifies the content that the sender holds, empty if there is none.
    """

    number: int
    topic: str
    token: str


class ContentOffer(NamedTuple):
    """Answer to :class:`ContentQuery`.

    :param token: identifies the content, empty if the sender has read nothing yet.
    :param age_s: seconds since the read request was sent to the platform.
    :param era: newest era of the platform's table that the sender knows of.
    :param proven_era: newest era of which the sender knows that the table lacks nothing that was
        written before the restore.
    :param table: token of the newest state of the table that the content reflects, empty if its topic
        has none.
    :param is_exact: whether the table shows exactly this content in that state.
    :param evacuations_era: newest era of which the sender knows that it lacks no evacuation that was
        written before the restore, -1 for none.
    :param is_reading: whether the sender is receiving a large response of the platform.
    :param base: token of the content that the payload changes, empty if it is a whole content.
    :param digest: identifies the payload, empty if the asking daemon holds the content already.
    :param size: bytes of the payload.
    :param wait_s: seconds after which the receiver may ask again, as other transfers are running; 0
        if it may ask for pieces now.
    :param data: the payload if it is small, otherwise empty.
    """

    number: int
    token: str
    age_s: float
    era: int = 0
    proven_era: int = 0
    table: str = ""
    is_exact: bool = False
    evacuations_era: int = -1
    is_reading: bool = False
    base: str = ""
    digest: str = ""
    size: int = 0
    wait_s: float = 0.0
    data: bytes = b""


class PieceQuery(NamedTuple):
    """Ask for the piece of a payload that begins at an offset."""

    number: int
    topic: str
    digest: str
    offset: int


class ContentPiece(NamedTuple):
    """Answer to :class:`PieceQuery`.

    :param data: empty if the payload is no longer held or the receiver has to wait.
    :param wait_s: as in the offer.
    """

    number: int
    offset: int
    data: bytes
    wait_s: float = 0.0


class ReplicaCrash(NamedTuple):
    """A replica that ended while requests were under way.

    :param born_ms: start of its incarnation in Unix milliseconds, 0 if unknown.
    :param age_s: seconds since its end.
    :param prompts: keys of each request that it had not begun to answer: shared parts of its prompt,
        the request itself, and what tells it from others.
    """

    service: str
    replica_id: str
    born_ms: int
    age_s: float
    prompts: tuple[tuple[int, ...], ...]


class PromptAnswered(NamedTuple):
    """A prompt that was answered completely after replicas had ended.

    :param parts: keys of its suspected parts.
    :param age_s: seconds since the end of the answer.
    """

    service: str
    parts: tuple[int, ...]
    age_s: float


class TrialRequest(NamedTuple):
    """Ask whether one request may try parts of its prompt that are in quarantine.

    :param parts: keys of these parts.
    """

    number: int
    service: str
    parts: tuple[int, ...]


class TrialReply(NamedTuple):
    """Answer to :class:`TrialRequest`.

    :param retry_after_s: seconds until a trial may be granted, 0 if it is granted.
    """

    number: int
    granted: bool
    retry_after_s: float


class ReplicaLimit(NamedTuple):
    """What is known of the requests a second that a replica takes from all daemons together.

    :param born_ms: start of its incarnation in Unix milliseconds, 0 if unknown.
    :param per_s: limit of the newest answer that named one.
    :param named_age_s: seconds since that answer.
    :param ended_age_s: seconds since the newest request was sent whose answer named none, None if
        there is no such answer.
    """

    replica_id: str
    born_ms: int
    per_s: float
    named_age_s: float
    ended_age_s: float | None


class ReplicaCold(NamedTuple):
    """The newest statement of a replica on whether it is cold.

    :param born_ms: start of its incarnation in Unix milliseconds, 0 if unknown.
    :param cold_s: seconds for which it is still cold, 0 if it is warm.
    :param age_s: seconds since the statement.
    """

    replica_id: str
    born_ms: int
    cold_s: float
    age_s: float


class PermitRequest(NamedTuple):
    """Ask the owner of a replica's limit for a permit to send one request.

    :param rank: 0 is the most urgent.
    :param max_wait_s: seconds for which the request can wait.
    :param cold: whether the replica is cold as far as the sender knows.
    """

    number: int
    replica_id: str
    born_ms: int
    rank: int
    max_wait_s: float
    cold: bool = False


class PermitReply(NamedTuple):
    """Answer to :class:`PermitRequest`; a permit may follow as late as the request can wait.

    :param retry_after_s: seconds until there may be room, 0 if the permit is granted.
    """

    number: int
    granted: bool
    retry_after_s: float


class PermitCancel(NamedTuple):
    """The request of a :class:`PermitRequest` waits no longer."""

    number: int


class ConfigPush(NamedTuple):
    """An accepted version of the configuration.

    :param value: content of the table row of that version.
    """

    version: int
    value: dict[str, Any]


class ConfigRequest(NamedTuple):
    """Ask a peer to push the configuration versions that follow ``after``."""

    after: int


class TransferRequest(NamedTuple):
    """Ask a peer to transfer part of its share of a quota window.

    :param resource: ``requests``, ``tokens``, ``quiet_requests`` or ``quiet_tokens``.
    :param window: start of the window, seconds since the Unix epoch.
    """

    id: str
    customer: str
    resource: str
    window: int
    amount: int


class Transfer(NamedTuple):
    """Amount that the sender gives up in answer to a transfer request; 0 if it has none."""

    id: str
    customer: str
    resource: str
    window: int
    amount: int


class UnitRequest(NamedTuple):
    """Ask a peer to lend one unit of concurrency for one request.

    :param resource: ``concurrency`` or ``quiet_concurrency``.
    :param lasting: seconds until the request's deadline.
    """

    id: str
    customer: str
    resource: str
    lasting: float


class UnitReply(NamedTuple):
    """Answer to :class:`UnitRequest`."""

    id: str
    lent: bool


class UnitReturn(NamedTuple):
    """Return a lent unit of concurrency."""

    id: str


class TraceRequest(NamedTuple):
    """Ask a peer for its spans of a trace."""

    trace_id: str


class TraceSpans(NamedTuple):
    """Spans of a trace, each as a tuple of the span's fields in order."""

    trace_id: str
    spans: tuple[tuple, ...]


class Goodbye(NamedTuple):
    """The sender is shutting down and sends nothing more."""

    reason: str


PeerMessage = (
    Hello
    | Heartbeat
    | LeaveMark
    | ConfigPush
    | ConfigRequest
    | TransferRequest
    | Transfer
    | UnitRequest
    | UnitReply
    | UnitReturn
    | TraceRequest
    | TraceSpans
    | Goodbye
    | StageSubmit
    | StageResult
    | StageFree
    | StageCancel
    | StageReserve
    | StageWaitTimes
    | ContentQuery
    | ContentOffer
    | PieceQuery
    | ContentPiece
    | ReplicaCrash
    | PromptAnswered
    | TrialRequest
    | TrialReply
    | ReplicaLimit
    | ReplicaCold
    | PermitRequest
    | PermitReply
    | PermitCancel
    | LoadReport
    | LoadSums
    | LoadUpdate
)
