"""Acceptance of stage results and stream chunks by request, stage and attempt."""

import enum
import hashlib
from dataclasses import dataclass
from typing import Any, NamedTuple

from greengagehoist.base import advance, build_machine


class AttemptState(enum.StrEnum):
    """States of one dispatch of a stage."""

    OPEN = "open"
    ANSWERED = "answered"
    FAILED = "failed"
    CANCELLED = "cancelled"


class AttemptEvent(enum.StrEnum):
    """What ends a dispatch."""

    ANSWER = "answer"
    FAIL = "fail"
    CANCEL = "cancel"


ATTEMPT_MACHINE = build_machine(
    AttemptState,
    [
        (AttemptEvent.ANSWER, AttemptState.OPEN, AttemptState.ANSWERED),
        (AttemptEvent.FAIL, AttemptState.OPEN, AttemptState.FAILED),
        (AttemptEvent.CANCEL, AttemptState.OPEN, AttemptState.CANCELLED),
    ],
)


class Stream(NamedTuple):
    """Tokens of one generation accepted so far, kept over its attempts.

    :param attempt: identity of the latest attempt; only its results are accepted while it is open.
    """

    tokens: tuple[str, ...] = ()
    attempt: Any = None
    state: AttemptState = AttemptState.FAILED


@dataclass(frozen=True, slots=True)
class Appended:
    """The chunk continued the stream.

    :param offset: offset of the first new token.
    :param tokens: the new tokens; may be empty if the chunk only repeated accepted ones.
    """

    stream: Stream
    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Dropped:
    """The result does not belong to the open attempt; it has no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Closed:
    """The result contradicts the stream, which closes the attempt.

    :param resume: offset at which a new attempt continues.
    """

    stream: Stream
    resume: int
    reason: str


Verdict = Appended | Dropped | Closed


def open_attempt(stream: Stream, attempt: Any) -> Stream:
    """Return the stream with a new open attempt; results of earlier attempts are dropped."""
    return stream._replace(attempt=attempt, state=AttemptState.OPEN)


def end_attempt(stream: Stream, event: AttemptEvent) -> Stream:
    """Return the stream after the end of its open attempt.

    :raises ValueError: if the attempt is not open.
    """
    return stream._replace(state=advance(ATTEMPT_MACHINE, stream.state, event))


def is_open(stream: Stream, attempt: Any) -> bool:
    """Return True if ``attempt`` is the stream's open attempt."""
    return stream.state is AttemptState.OPEN and stream.attempt == attempt


def accept_chunk(
    stream: Stream, attempt: Any, offset: int, tokens: tuple[str, ...], most: int
) -> Verdict:
    """Decide on a chunk of a generation.

    :param offset: offset of the chunk's first token in the whole generation.
    :param most: most tokens that the generation may have.
    """
    if not is_open(stream, attempt):
        return Dropped("not the open attempt")
    have = len(stream.tokens)
    if offset < 0 or offset + len(tokens) > most:
        return _close(stream, have, f"tokens {offset} to {offset + len(tokens)} of at most {most}")
    if offset > have:
        return _close(stream, have, f"gap: chunk at {offset} after {have} tokens")
    repeated = min(have - offset, len(tokens))
    if stream.tokens[offset : offset + repeated] != tokens[:repeated]:
        return _close(stream, 0, f"chunk at {offset} differs from accepted tokens")
    fresh = tokens[repeated:]
    return Appended(stream._replace(tokens=stream.tokens + fresh), have, fresh)


def accept_end(stream: Stream, attempt: Any, length: int, digest: str) -> Verdict:
    """Decide on the end of a generation; ``Appended`` means that the stream is whole."""
    if not is_open(stream, attempt):
        return Dropped("not the open attempt")
    have = len(stream.tokens)
    if have < length:
        return _close(stream, have, f"end at {length} after {have} tokens")
    if not is_whole(stream, length, digest):
        return _close(stream, 0, "length or digest differs from the accepted tokens")
    return Appended(end_attempt(stream, AttemptEvent.ANSWER), have, ())


def accept_output(stream: Stream, attempt: Any, output: str, digest: str) -> Verdict:
    """Decide on the output of a pool stage; ``Appended`` means that it is whole."""
    if not is_open(stream, attempt):
        return Dropped("not the open attempt")
    if digest_text(output) != digest:
        return _close(stream, 0, "digest differs from the output")
    return Appended(end_attempt(stream, AttemptEvent.ANSWER), 0, ())


def _close(stream: Stream, resume: int, reason: str) -> Closed:
    return Closed(end_attempt(stream, AttemptEvent.FAIL), resume, reason)


def digest_text(text: str) -> str:
    """Return the lower-case hex SHA-256 of ``text``."""
    return hashlib.sha256(text.encode()).hexdigest()


def digest_tokens(tokens: tuple[str, ...]) -> str:
    """Return the digest of a whole generation: SHA-256 of its tokens joined by spaces."""
    return digest_text(" ".join(tokens))


def is_whole(stream: Stream, length: int, digest: str) -> bool:
    """Return True if the accepted tokens are the whole generation that the engine closed."""
    return len(stream.tokens) == length and digest_tokens(stream.tokens) == digest
