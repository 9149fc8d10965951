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
from greengagehoist.base._life_cycle import build_machine, next_state
from greengagehoist.base._token_bucket import Bucket, change_rate, try_acquire

__all__ = [
    "Answer",
    "Bucket",
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
    "build_machine",
    "change_rate",
    "compose",
    "next_state",
    "not_run",
    "try_acquire",
    "unknown",
]
