"""Quiet hours of plans: spans in local time, hourly windows, and the record of draws."""

from greengagehoist.quiet_hours._record import (
    ChainReport,
    Entry,
    Segment,
    seal_segment,
    sum_entries,
    verify_record,
)
from greengagehoist.quiet_hours._spans import (
    CLOCK_MARGIN_S,
    QuietWindow,
    quiet_windows,
    resolve_local,
    resolve_spans,
    scale_limit,
)

__all__ = [
    "CLOCK_MARGIN_S",
    "ChainReport",
    "Entry",
    "QuietWindow",
    "Segment",
    "quiet_windows",
    "resolve_local",
    "resolve_spans",
    "scale_limit",
    "seal_segment",
    "sum_entries",
    "verify_record",
]
