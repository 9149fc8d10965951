"""Admission of requests: adaptive limits, fair queueing and load shedding."""

from greengagehoist.admission._gate import (
    Admitted,
    Entry,
    EntryOutcome,
    Gate,
    Queued,
    Refused,
    Verdict,
)
from greengagehoist.admission._limit import AdaptiveLimit
from greengagehoist.admission._queue import FairQueue

__all__ = [
    "AdaptiveLimit",
    "Admitted",
    "EntryOutcome",
    "Entry",
    "FairQueue",
    "Gate",
    "Queued",
    "Refused",
    "Verdict",
]
