"""Core types shared by all packages."""

from greengagehoist.base._errors import ErrorCode, Outcome, StepError, not_run, unknown
from greengagehoist.base._exchange import (
    Answer,
    Call,
    Exchange,
    Filter,
    Outcomes,
    PipelineCall,
    Proceed,
    ServiceCall,
    TraceContext,
    compose,
)

__all__ = [
    "Answer",
    "Call",
    "ErrorCode",
    "Exchange",
    "Filter",
    "Outcome",
    "Outcomes",
    "PipelineCall",
    "Proceed",
    "ServiceCall",
    "StepError",
    "TraceContext",
    "compose",
    "not_run",
    "unknown",
]
