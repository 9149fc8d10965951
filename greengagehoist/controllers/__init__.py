"""Tasks that own state and talk by messages."""

from greengagehoist.controllers._config import (
    ConfigController,
    ConfigStatus,
    GetConfig,
    GetConfigStatus,
    GetHistory,
    HistoryLine,
)
from greengagehoist.controllers._drain import (
    DaemonState,
    Drain,
    DrainController,
    Enter,
    GetReadiness,
    GetState,
    Leave,
    OnDrain,
    Readiness,
    StartDrain,
    WaitStopped,
)
from greengagehoist.controllers._proposals import Propose, Rejection
from greengagehoist.controllers._roster import (
    ClockChecked,
    GetRoster,
    Roster,
    RosterController,
    VmsListed,
)
from greengagehoist.controllers._targets import (
    Assignment,
    Completed,
    GetLinks,
    Reported,
    Route,
    TargetController,
)
from greengagehoist.controllers._traces import CollectTrace, GetTrace, Record, TraceController

__all__ = [
    "Assignment",
    "ClockChecked",
    "CollectTrace",
    "Completed",
    "ConfigController",
    "ConfigStatus",
    "DaemonState",
    "Drain",
    "DrainController",
    "Enter",
    "GetConfig",
    "GetConfigStatus",
    "GetHistory",
    "GetLinks",
    "GetReadiness",
    "GetRoster",
    "GetState",
    "GetTrace",
    "HistoryLine",
    "Leave",
    "OnDrain",
    "Propose",
    "Readiness",
    "Record",
    "Rejection",
    "Reported",
    "Roster",
    "RosterController",
    "Route",
    "StartDrain",
    "TargetController",
    "TraceController",
    "VmsListed",
    "WaitStopped",
]
