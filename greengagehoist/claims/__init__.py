"""Idempotency claims."""

from greengagehoist.claims._claim import (
    Claim,
    ClaimEvent,
    ClaimState,
    Decision,
    Insert,
    Own,
    Reconcile,
    Replace,
    Replay,
    Reused,
    StoredClaim,
    apply_event,
    choose_final,
    decide_claim,
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
    "Reconcile",
    "apply_event",
    "choose_final",
    "decide_claim",
    "event_of",
    "scoped_key",
]
