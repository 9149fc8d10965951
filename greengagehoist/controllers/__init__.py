"""Tasks that own state and talk by messages."""

from greengagehoist.controllers._claims import (
    ClaimController,
    CloseClaim,
    GetPendingClaims,
    OpenClaim,
    ReadClaim,
)
from greengagehoist.controllers._config import ConfigController, GetConfig, Propose
from greengagehoist.controllers._targets import (
    Assignment,
    Completed,
    FindTarget,
    Route,
    TargetController,
)
from greengagehoist.controllers._traces import GetTrace, Record, TraceController

__all__ = [
    "Assignment",
    "ClaimController",
    "CloseClaim",
    "Completed",
    "ConfigController",
    "FindTarget",
    "GetConfig",
    "GetPendingClaims",
    "GetTrace",
    "OpenClaim",
    "Propose",
    "ReadClaim",
    "Record",
    "Route",
    "TargetController",
    "TraceController",
]
