"""Autoscaling of each stage."""

from greengagehoist.scaling._drain import Replica, choose_drain
from greengagehoist.scaling._scaler import Grow, Hold, Scaling, Shrink, Signal, StageScaler

__all__ = [
    "Grow",
    "Hold",
    "Replica",
    "Scaling",
    "Shrink",
    "Signal",
    "StageScaler",
    "choose_drain",
]
