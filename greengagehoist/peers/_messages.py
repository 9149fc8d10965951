"""Messages that daemons send each other."""

from typing import Any, NamedTuple


class Hello(NamedTuple):
    """First message on a link, from both sides.

    :param address: peers' ``ip:port`` of the sender.
    """

    vm: str
    data_centre: str
    incarnation: int
    address: str


class LeaveMark(NamedTuple):
    """A target's incarnation that takes no new work any more."""

    target: str
    incarnation: int


class Heartbeat(NamedTuple):
    """Sign of life, sent each second.

    :param in_flight: requests that the sender is serving.
    :param load: load summary of the sender, 0.0 idle to 1.0 full.
    :param leave_marks: marks that the sender learned recently.
    """

    seq: int
    config_version: int
    ready: bool
    in_flight: int
    load: float
    leave_marks: tuple[LeaveMark, ...]


class ConfigPush(NamedTuple):
    """An accepted version of the configuration.

    :param value: content of the table row of that version.
    """

    version: int
    value: dict[str, Any]


class ConfigWant(NamedTuple):
    """Ask a peer to push the versions after ``after``."""

    after: int


class TransferWant(NamedTuple):
    """Ask a peer for an amount of a windowed resource.

    :param resource: ``requests``, ``tokens``, ``quiet_requests`` or ``quiet_tokens``.
    :param window: start of the window, seconds since the Unix epoch.
    """

    id: str
    customer: str
    resource: str
    window: int
    amount: int


class Transfer(NamedTuple):
    """An amount that the sender has given up; 0 if it has none to give."""

    id: str
    customer: str
    resource: str
    window: int
    amount: int


class UnitWant(NamedTuple):
    """Ask a peer to lend one unit of concurrency for one request.

    :param resource: ``concurrency`` or ``quiet_concurrency``.
    :param lasting: seconds until the request's deadline.
    """

    id: str
    customer: str
    resource: str
    lasting: float


class UnitLend(NamedTuple):
    """Answer to :class:`UnitWant`."""

    id: str
    lent: bool


class UnitReturn(NamedTuple):
    """Give a lent unit back."""

    id: str


class TraceWant(NamedTuple):
    """Ask a peer for its spans of a trace."""

    trace_id: str


class TraceSpans(NamedTuple):
    """Spans of a trace, each as the fields of a span in order."""

    trace_id: str
    spans: tuple[tuple, ...]


class Goodbye(NamedTuple):
    """The sender stops and sends nothing more."""

    reason: str


PeerMessage = (
    Hello
    | Heartbeat
    | LeaveMark
    | ConfigPush
    | ConfigWant
    | TransferWant
    | Transfer
    | UnitWant
    | UnitLend
    | UnitReturn
    | TraceWant
    | TraceSpans
    | Goodbye
)
