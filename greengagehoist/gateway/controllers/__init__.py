"""Tasks that own the gateway's state and talk by messages."""

from greengagehoist.gateway.controllers._buffers import (
    BUFFER_FRACTION,
    BufferController,
    ReleaseBuffer,
    ReserveBuffer,
)
from greengagehoist.gateway.controllers._deployment import DeploymentController, SetReadPeriod
from greengagehoist.gateway.controllers._evacuation import EvacuationController
from greengagehoist.gateway.controllers._limit_messages import (
    AcquireSend,
    CancelAcquire,
    ColdObserved,
    LimitObserved,
    SetColdRule,
)
from greengagehoist.gateway.controllers._members import POLL_PERIOD_S as MEMBER_POLL_PERIOD_S
from greengagehoist.gateway.controllers._members import MemberController
from greengagehoist.gateway.controllers._owned_pool import NO_REPLICA_WAIT_S
from greengagehoist.gateway.controllers._placement import (
    AnswerObserved,
    Choose,
    DeferSends,
    Evacuated,
    FindHome,
    LoadReported,
    NotBefore,
    PlacementController,
    RequestEnded,
)
from greengagehoist.gateway.controllers._pool_messages import (
    CancelStages,
    FreeResults,
    Leave,
    ReserveStages,
    StageEnd,
    StagePlan,
    SubmitStage,
)
from greengagehoist.gateway.controllers._pools import PoolController
from greengagehoist.gateway.controllers._quarantine import (
    QuarantineController,
    QuarantineView,
    ReportAnswer,
    ReportBroken,
    RequestTrial,
    ServiceView,
    TrialDecision,
    format_key,
)
from greengagehoist.gateway.controllers._reach import Reach, ReachController
from greengagehoist.gateway.controllers._relay import RelayController
from greengagehoist.gateway.controllers._replicas import ReplicaController, ReplicasChanged
from greengagehoist.gateway.controllers._send_limits import SendLimitController
from greengagehoist.gateway.controllers._shared_reads import SharedReads
from greengagehoist.gateway.controllers._topology import Topology, topology_of

__all__ = [
    "BUFFER_FRACTION",
    "BufferController",
    "Evacuated",
    "EvacuationController",
    "ColdObserved",
    "SetColdRule",
    "ReleaseBuffer",
    "ReserveBuffer",
    "MEMBER_POLL_PERIOD_S",
    "NO_REPLICA_WAIT_S",
    "AcquireSend",
    "AnswerObserved",
    "CancelAcquire",
    "CancelStages",
    "Choose",
    "DeferSends",
    "DeploymentController",
    "RequestEnded",
    "FindHome",
    "FreeResults",
    "Leave",
    "LimitObserved",
    "LoadReported",
    "MemberController",
    "NotBefore",
    "PlacementController",
    "PoolController",
    "QuarantineController",
    "QuarantineView",
    "Reach",
    "ReachController",
    "RelayController",
    "ReplicaController",
    "ReplicasChanged",
    "ReportAnswer",
    "ReportBroken",
    "RequestTrial",
    "ReserveStages",
    "SendLimitController",
    "ServiceView",
    "SetReadPeriod",
    "SharedReads",
    "StageEnd",
    "StagePlan",
    "SubmitStage",
    "Topology",
    "TrialDecision",
    "format_key",
    "topology_of",
]
