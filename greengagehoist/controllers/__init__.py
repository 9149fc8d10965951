"""Tasks that own state and talk by messages."""

from greengagehoist.controllers._config import ConfigController, GetConfig, Propose
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
from greengagehoist.controllers._quota import (
    Abandon,
    GetHeld,
    QuotaController,
    Reserve,
    Settle,
)
from greengagehoist.controllers._records import (
    GetReport,
    RecordController,
    RecordDraws,
    Report,
)
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
    "Abandon",
    "GetHeld",
    "GetReport",
    "QuotaController",
    "RecordController",
    "RecordDraws",
    "Report",
    "Reserve",
    "Settle",
    "Assignment",
    "ClockChecked",
    "CollectTrace",
    "Completed",
    "ConfigController",
    "DaemonState",
    "Drain",
    "DrainController",
    "Enter",
    "GetConfig",
    "GetLinks",
    "GetReadiness",
    "GetRoster",
    "GetState",
    "GetTrace",
    "Leave",
    "OnDrain",
    "Propose",
    "Readiness",
    "Record",
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
