"""Acceptance of the results of stage attempts."""

from greengagehoist.answers._accept import (
    Appended,
    AttemptEvent,
    AttemptState,
    Closed,
    Dropped,
    Stream,
    Verdict,
    accept_chunk,
    accept_end,
    accept_output,
    digest_text,
    digest_tokens,
    end_attempt,
    is_complete,
    is_open,
    open_attempt,
)

__all__ = [
    "Appended",
    "AttemptEvent",
    "AttemptState",
    "Closed",
    "Dropped",
    "Stream",
    "Verdict",
    "accept_chunk",
    "accept_end",
    "accept_output",
    "digest_text",
    "digest_tokens",
    "end_attempt",
    "is_open",
    "is_complete",
    "open_attempt",
]
