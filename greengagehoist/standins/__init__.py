"""Stand-ins for external systems, used by tests, benchmarks and demos."""

from greengagehoist.standins._deployment import CALL_FAILURES, Deployment
from greengagehoist.standins._engine import build_engine
from greengagehoist.standins._functions import (
    digest,
    generate_tokens,
    run_pipeline,
    run_stage,
    token_digest,
)
from greengagehoist.standins._gateway_behaviours import (
    BreaksOff,
    CrashesOn,
    CrashesOnBody,
    Endless,
    EndsStream,
    Full,
    Healthy,
    LosesAnswers,
    MakesNothing,
    MixesUp,
    Repeats,
    Sheds,
    Silent,
    Writes,
)
from greengagehoist.standins._gateway_standins import ReplicaStandin
from greengagehoist.standins._lists import STAGES, credential_of, example_changes
from greengagehoist.standins._main import main
from greengagehoist.standins._platform import build_platform
from greengagehoist.standins._processes import (
    OPERATOR_CREDENTIAL,
    PEER_CREDENTIAL,
    Process,
    ProcessGroup,
)
from greengagehoist.standins._quota_simulation import Faults as SimulatedFaults
from greengagehoist.standins._quota_simulation import Simulation
from greengagehoist.standins._store_standin import FeedFault, StoreCopy, StoreStandin
from greengagehoist.standins._targets import build_pool, build_service

__all__ = [
    "BreaksOff",
    "CrashesOn",
    "CrashesOnBody",
    "Endless",
    "EndsStream",
    "FeedFault",
    "Full",
    "LosesAnswers",
    "MakesNothing",
    "MixesUp",
    "Repeats",
    "ReplicaStandin",
    "Sheds",
    "StoreCopy",
    "StoreStandin",
    "Silent",
    "Writes",
    "Healthy",
    "CALL_FAILURES",
    "Deployment",
    "SimulatedFaults",
    "Simulation",
    "OPERATOR_CREDENTIAL",
    "PEER_CREDENTIAL",
    "Process",
    "ProcessGroup",
    "STAGES",
    "build_engine",
    "build_platform",
    "build_pool",
    "build_service",
    "credential_of",
    "digest",
    "example_changes",
    "generate_tokens",
    "main",
    "run_pipeline",
    "run_stage",
    "token_digest",
]
