"""Division of a request's remaining time among its stages, and the times of a daemon's stop."""

from greengagehoist.deadlines._division import Division, can_finish, divide
from greengagehoist.deadlines._estimator import QuantileEstimator, StageEstimates, StageTimes
from greengagehoist.deadlines._stop import (
    DEFAULT_GRACE_S,
    StopTimes,
    answer_time,
    can_answer,
    plan_stop,
)

__all__ = [
    "DEFAULT_GRACE_S",
    "Division",
    "QuantileEstimator",
    "StageEstimates",
    "StageTimes",
    "StopTimes",
    "answer_time",
    "can_answer",
    "can_finish",
    "divide",
    "plan_stop",
]
