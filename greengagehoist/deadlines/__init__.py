"""Division of a request's remaining time among its stages."""

from greengagehoist.deadlines._division import Division, can_finish, divide
from greengagehoist.deadlines._estimator import QuantileEstimator, StageEstimates, StageTimes

__all__ = [
    "Division",
    "QuantileEstimator",
    "StageEstimates",
    "StageTimes",
    "can_finish",
    "divide",
]
