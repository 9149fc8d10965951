"""Core types shared by all packages."""

from greengagehoist.base._errors import ErrorCode, Outcome, StepError, not_run, unknown
from greengagehoist.base._exchange import (
    Answer,
    Call,
    Exchange,
    ExchangeResult,
    Filter,
    PipelineCall,
    Proceed,
    ServiceCall,
    TraceContext,
    compose,
)
from greengagehoist.base._life_cycle import advance, build_machine

__all__ = [
    "Answer",
    "Call",
    "ErrorCode",
    "Exchange",
    "Filter",
    "Outcome",
    "ExchangeResult",
    "PipelineCall",
    "Proceed",
    "ServiceCall",
    "StepError",
    "TraceContext",
    "advance",
    "build_machine",
    "compose",
    "not_run",
    "unknown",
]
