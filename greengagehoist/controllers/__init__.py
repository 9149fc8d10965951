"""Tasks that own state and talk by messages."""

from greengagehoist.controllers._config import ConfigController, GetConfig, Propose
from greengagehoist.controllers._targets import Assignment, Completed, Route, TargetController
from greengagehoist.controllers._traces import GetTrace, Record, TraceController

__all__ = [
    "Assignment",
    "Completed",
    "ConfigController",
    "GetConfig",
    "GetTrace",
    "Propose",
    "Record",
    "Route",
    "TargetController",
    "TraceController",
]
