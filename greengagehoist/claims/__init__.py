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
    decide_claim,
    event_of,
    final_write_version,
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
    "final_write_version",
    "decide_claim",
    "event_of",
    "scoped_key",
]
