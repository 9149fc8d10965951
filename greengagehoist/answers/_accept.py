"""Acceptance of stage results and stream chunks; only those of the open attempt count."""

import enum
import hashlib
from dataclasses import dataclass
from typing import Any, NamedTuple

from greengagehoist.base import build_machine, next_state


class AttemptState(enum.StrEnum):
    """States of an attempt, which is one dispatch of a stage."""

    OPEN = "open"
    ANSWERED = "answered"
    FAILED = "failed"
    CANCELLED = "cancelled"


class AttemptEvent(enum.StrEnum):
    """Events that end an attempt."""

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
    """Tokens of a generation that were accepted so far, over all its attempts.

    :param attempt: identity of the latest attempt; only its results are accepted, while it is open.
    """

    tokens: tuple[str, ...] = ()
    attempt: Any = None
    state: AttemptState = AttemptState.FAILED


@dataclass(frozen=True, slots=True)
class Appended:
    """The chunk continued the stream.

    :param offset: offset of the first new token.
    :param tokens: the new tokens; empty if the chunk only repeated accepted ones.
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

    :param resume: offset at which a new attempt continues the generation.
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
    return stream._replace(state=next_state(ATTEMPT_MACHINE, stream.state, event))


def is_open(stream: Stream, attempt: Any) -> bool:
    """Return True if ``attempt`` is the stream's open attempt."""
    return stream.state is AttemptState.OPEN and stream.attempt == attempt


def accept_chunk(
    stream: Stream, attempt: Any, offset: int, tokens: tuple[str, ...], max_tokens: int
) -> Verdict:
    """Decide on a chunk of a generation.

    :param offset: offset of the chunk's first token in the whole generation.
    :param max_tokens: largest number of tokens in the generation.
    """
    if not is_open(stream, attempt):
        return Dropped("not the open attempt")
    count = len(stream.tokens)
    if offset < 0 or offset + len(tokens) > max_tokens:
        return _close(
            stream,
            count,
            f"tokens {offset} to {offset + len(tokens)} are outside the range 0 to {max_tokens}",
        )
    if offset > count:
        return _close(
            stream, count, f"gap: chunk starts at token {offset} after {count} accepted tokens"
        )
    repeated = min(count - offset, len(tokens))
    if stream.tokens[offset : offset + repeated] != tokens[:repeated]:
        return _close(stream, 0, f"chunk at token {offset} differs from the accepted tokens")
    new_tokens = tokens[repeated:]
    return Appended(stream._replace(tokens=stream.tokens + new_tokens), count, new_tokens)


def accept_end(stream: Stream, attempt: Any, length: int, digest: str) -> Verdict:
    """Decide on the end of a generation; ``Appended`` means that it is complete."""
    if not is_open(stream, attempt):
        return Dropped("not the open attempt")
    count = len(stream.tokens)
    if count < length:
        return _close(
            stream, count, f"stream of {length} tokens ended after {count} accepted tokens"
        )
    if not is_complete(stream, length, digest):
        return _close(stream, 0, "length or digest does not match the accepted tokens")
    return Appended(end_attempt(stream, AttemptEvent.ANSWER), count, ())


def accept_output(stream: Stream, attempt: Any, output: str, digest: str) -> Verdict:
    """Decide on the output of a pool stage; ``Appended`` means that it is intact."""
    if not is_open(stream, attempt):
        return Dropped("not the open attempt")
    if digest_text(output) != digest:
        return _close(stream, 0, "digest does not match the output")
    return Appended(end_attempt(stream, AttemptEvent.ANSWER), 0, ())


def _close(stream: Stream, resume: int, reason: str) -> Closed:
    return Closed(end_attempt(stream, AttemptEvent.FAIL), resume, reason)


def digest_text(text: str) -> str:
    """Return the lower-case hex SHA-256 of ``text``."""
    return hashlib.sha256(text.encode()).hexdigest()


def digest_tokens(tokens: tuple[str, ...]) -> str:
    """Return the digest of a complete generation: the SHA-256 of its tokens joined by spaces."""
    return digest_text(" ".join(tokens))


def is_complete(stream: Stream, length: int, digest: str) -> bool:
    """Return True if the accepted tokens match the length and digest that the engine reported."""
    return len(stream.tokens) == length and digest_tokens(stream.tokens) == digest
