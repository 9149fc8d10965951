"""The two lists that operators edit: holdings of plans and usage of plans."""

from greengagehoist.config._changes import Change, apply_changes
from greengagehoist.config._types import (
    EMPTY_CONFIG,
    Config,
    EngineStage,
    Holding,
    Idempotent,
    Limits,
    NonIdempotent,
    Operation,
    Pipeline,
    PlanUsage,
    PoolStage,
    QuietHours,
    QuietLimits,
    QuietSpan,
    Service,
    Stage,
)

__all__ = [
    "EMPTY_CONFIG",
    "Change",
    "Config",
    "EngineStage",
    "Holding",
    "Idempotent",
    "Limits",
    "NonIdempotent",
    "Operation",
    "Pipeline",
    "PlanUsage",
    "PoolStage",
    "QuietHours",
    "QuietLimits",
    "QuietSpan",
    "Service",
    "Stage",
    "apply_changes",
]
