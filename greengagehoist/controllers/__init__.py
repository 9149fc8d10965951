"""Tasks that own state and talk by messages."""

from greengagehoist.controllers._config import (
    ConfigController,
    ConfigStatus,
    GetConfig,
    GetConfigStatus,
    GetHistory,
    HistoryLine,
)
from greengagehoist.controllers._proposals import Propose, Rejection
from greengagehoist.controllers._targets import Assignment, Completed, Route, TargetController
from greengagehoist.controllers._traces import GetTrace, Record, TraceController

__all__ = [
    "Assignment",
    "Completed",
    "ConfigController",
    "ConfigStatus",
    "GetConfig",
    "GetConfigStatus",
    "GetHistory",
    "GetTrace",
    "HistoryLine",
    "Propose",
    "Record",
    "Rejection",
    "Route",
    "TargetController",
    "TraceController",
]
