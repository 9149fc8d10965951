"""Stage work, split into pieces that the replicas of a stage pool process in batches."""

from greengagehoist.pieces._estimate import estimate_completion_s
from greengagehoist.pieces._queue import RANK_HEAD_START_S, Job, JobKey, PoolQueue, Reservation
from greengagehoist.pieces._result_memory import ResultMemory
from greengagehoist.pieces._tenant_rates import TenantRates
from greengagehoist.pieces._types import (
    InputGone,
    Made,
    NotMade,
    Piece,
    PieceOutcome,
    StageWork,
    TooLate,
)

__all__ = [
    "RANK_HEAD_START_S",
    "InputGone",
    "Job",
    "JobKey",
    "Made",
    "NotMade",
    "Piece",
    "PieceOutcome",
    "PoolQueue",
    "Reservation",
    "ResultMemory",
    "StageWork",
    "TenantRates",
    "TooLate",
    "estimate_completion_s",
]
