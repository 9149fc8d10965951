"""What a stand-in of a replica does with the requests that it receives."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Healthy:
    """Responds to every request."""


@dataclass(frozen=True, slots=True)
class Full:
    """Responds to every request with 503 and the header ``NOT_EXECUTED``."""


@dataclass(frozen=True, slots=True)
class Sheds:
    """Turns requests away and says when to come back.

    :param retry_after: value of the header.
    """

    retry_after: bytes


@dataclass(frozen=True, slots=True)
class LosesAnswers:
    """Runs requests, then resets the connection instead of responding."""


@dataclass(frozen=True, slots=True)
class BreaksOff:
    """Resets the connection of a stream in the middle of an event.

    :param after: number of complete events before the reset.
    """

    after: int


@dataclass(frozen=True, slots=True)
class EndsStream:
    """Ends a stream without an error after some bytes, as a crash of the process may do.

    :param after_bytes: number of bytes of the body, None for the whole body.
    :param chunked: whether the last chunk follows; otherwise the body has neither a length nor
        chunks and only the close ends it.
    """

    after_bytes: int | None = None
    chunked: bool = False


@dataclass(frozen=True, slots=True)
class Writes:
    """Runs requests, writes fixed bytes as the response and closes the connection.

    :param response: ``{id}`` stands for the id of the request.
    :param after: if not None, only requests that resume a stream get the response; the others get
        this number of events and a reset.
    """

    response: bytes
    after: int | None = None


@dataclass(frozen=True, slots=True)
class CrashesOn:
    """Ends when it begins to answer a prompt with a part, and starts again at the same address.

    :param part_id: id of the part.
    :param down_s: seconds until it starts again.
    """

    part_id: bytes
    down_s: float


@dataclass(frozen=True, slots=True)
class CrashesOnBody:
    """Ends when it begins to run a request with a body, and starts again at the same address.

    :param body: the body.
    :param down_s: seconds until it starts again.
    """

    body: bytes
    down_s: float


@dataclass(frozen=True, slots=True)
class MixesUp:
    """Responds with the id and body of another request."""


@dataclass(frozen=True, slots=True)
class Repeats:
    """Writes the last response to a stage call once more when the next call has arrived."""


@dataclass(frozen=True, slots=True)
class MakesNothing:
    """Responds to stage calls without results.

    :param reason: why no piece was made.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Silent:
    """Accepts requests and never responds."""


@dataclass(frozen=True, slots=True)
class Endless:
    """Responds with bytes that never end, until the caller closes the connection.

    :param beginning: first bytes; ``{id}`` stands for the id of the request.
    :param repeated: bytes that follow again and again.
    :param pause_s: seconds before each of the repeated blocks, 0 for full speed.
    """

    beginning: bytes
    repeated: bytes
    pause_s: float = 0.0


# The soak run writes these class names to its report.
Behaviour = (
    Healthy
    | Full
    | Sheds
    | LosesAnswers
    | BreaksOff
    | EndsStream
    | Writes
    | CrashesOn
    | CrashesOnBody
    | MixesUp
    | Repeats
    | MakesNothing
    | Silent
    | Endless
)
