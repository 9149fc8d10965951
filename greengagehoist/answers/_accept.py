"""Acceptance of stage results and stream chunks by request, stage and attempt."""

import hashlib
from typing import NamedTuple


class Stream(NamedTuple):
    """Tokens of one generation accepted so far."""

    tokens: tuple[str, ...] = ()


def digest_text(text: str) -> str:
    """Return the lower-case hex SHA-256 of ``text``."""
    return hashlib.sha256(text.encode()).hexdigest()


def digest_tokens(tokens: tuple[str, ...]) -> str:
    """Return the digest of a whole generation: SHA-256 of its tokens joined by spaces."""
    return digest_text(" ".join(tokens))


def is_whole(stream: Stream, length: int, digest: str) -> bool:
    """Return True if the accepted tokens are the whole generation that the engine closed."""
    return len(stream.tokens) == length and digest_tokens(stream.tokens) == digest
