"""Tasks that own the gateway's state and talk by messages."""

from greengagehoist.gateway.controllers._deployment import DeploymentController, SetReadPeriod
from greengagehoist.gateway.controllers._distribution_state import distribution_state
from greengagehoist.gateway.controllers._evacuation import EvacuationController
from greengagehoist.gateway.controllers._limit_messages import (
    AcquireSend,
    CancelAcquire,
    ColdObserved,
    LimitObserved,
    SetColdRule,
)
from greengagehoist.gateway.controllers._load_view import LoadViewController
from greengagehoist.gateway.controllers._members import POLL_PERIOD_S as MEMBER_POLL_PERIOD_S
from greengagehoist.gateway.controllers._members import MemberController
from greengagehoist.gateway.controllers._owned_pool import NO_REPLICA_WAIT_S
from greengagehoist.gateway.controllers._placement import (
    AbandonChoice,
    AnswerBegun,
    AnswerObserved,
    Choose,
    DeferSends,
    Evacuated,
    FindHome,
    LoadReported,
    NotBefore,
    OwnLoadChanged,
    PartsCopied,
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
from greengagehoist.gateway.controllers._reach import Reach, ReachChanged, ReachController
from greengagehoist.gateway.controllers._relay import RelayController
from greengagehoist.gateway.controllers._replicas import ReplicaController, ReplicasChanged
from greengagehoist.gateway.controllers._send_limits import SendLimitController
from greengagehoist.gateway.controllers._shared_reads import SharedReads
from greengagehoist.gateway.controllers._time_ranking import SpeedSample, TimedSend, TimeRanking
from greengagehoist.gateway.controllers._topology import Topology, topology_of

__all__ = [
    "Evacuated",
    "EvacuationController",
    "ColdObserved",
    "SetColdRule",
    "MEMBER_POLL_PERIOD_S",
    "NO_REPLICA_WAIT_S",
    "AbandonChoice",
    "AcquireSend",
    "AnswerBegun",
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
    "LoadViewController",
    "MemberController",
    "NotBefore",
    "OwnLoadChanged",
    "PartsCopied",
    "PlacementController",
    "PoolController",
    "QuarantineController",
    "QuarantineView",
    "Reach",
    "ReachChanged",
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
    "SpeedSample",
    "StageEnd",
    "StagePlan",
    "SubmitStage",
    "TimeRanking",
    "TimedSend",
    "Topology",
    "TrialDecision",
    "format_key",
    "distribution_state",
    "topology_of",
]
