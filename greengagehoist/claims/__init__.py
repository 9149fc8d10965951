"""Idempotency claims."""

from greengagehoist.claims._claim import (
    Claim,
    ClaimEvent,
    ClaimState,
    Decision,
    Insert,
    Own,
    Replace,
    Replay,
    Reused,
    Settle,
    StoredClaim,
    apply_event,
    choose_final,
    choose_step,
    event_of,
    scoped_key,
)

__all__ = [
    "Claim",
    "ClaimEvent",
    "ClaimState",
    "Decision",
    "Insert",
    "StoredClaim",
    "Own",
    "Replace",
    "Replay",
    "Reused",
    "Settle",
    "apply_event",
    "choose_final",
    "choose_step",
    "event_of",
    "scoped_key",
]
