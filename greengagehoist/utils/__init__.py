"""Helpers shared by all packages: clock, controller task, validation, logging and metrics."""

from greengagehoist.utils._clock import Clock, SteppedClock, SystemClock
from greengagehoist.utils._controller import Controller, MessageFailedError, Reply, Tick, tick
from greengagehoist.utils._ids import new_id
from greengagehoist.utils._logging import (
    BoundedWriter,
    EventLimiter,
    log_event,
    parse_pairs,
    setup_logging,
)
from greengagehoist.utils._measurements import Measurements
from greengagehoist.utils._metrics import Metrics, NullMetrics, connect_metrics
from greengagehoist.utils._published import Published
from greengagehoist.utils._tls import TlsFiles, check_tls, client_context, server_context
from greengagehoist.utils._validation import (
    MAX_PORT,
    ValidationError,
    check_address,
    check_float,
    check_int,
    check_label,
    check_name,
    check_text,
    parse_port,
    show_value,
)

__all__ = [
    "BoundedWriter",
    "Clock",
    "Controller",
    "EventLimiter",
    "MessageFailedError",
    "Measurements",
    "Metrics",
    "NullMetrics",
    "Published",
    "Reply",
    "SteppedClock",
    "SystemClock",
    "Tick",
    "TlsFiles",
    "MAX_PORT",
    "ValidationError",
    "check_address",
    "check_float",
    "check_int",
    "check_label",
    "check_name",
    "check_text",
    "check_tls",
    "client_context",
    "connect_metrics",
    "log_event",
    "new_id",
    "parse_pairs",
    "parse_port",
    "server_context",
    "setup_logging",
    "show_value",
    "tick",
]
