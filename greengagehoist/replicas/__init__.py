"""Replicas: the table of known ones, their load, and the choice among them."""

from greengagehoist.replicas._availability import MAX_PAUSE_S, ReplicaAvailability
from greengagehoist.replicas._choice import (
    Affinity,
    AnyReplica,
    Observed,
    PromptAffinity,
    choose,
    rendezvous_rank,
    utilization,
)
from greengagehoist.replicas._cold import (
    JITTER_S,
    MAX_COLD_S,
    PERMIT_TTL_S,
    Allowance,
    ColdEntries,
    ColdReplicas,
    ColdRule,
    ColdState,
    WarmUp,
    allowance_of,
)
from greengagehoist.replicas._send_limits import (
    Incarnation,
    LimitState,
    SendLimits,
    incarnation_of,
)
from greengagehoist.replicas._send_permits import (
    MIN_RATE_PER_S,
    Granted,
    PermitQueue,
    Queued,
    Refused,
)
from greengagehoist.replicas._table import (
    ReplicaTable,
    apply_outage,
    apply_read,
    apply_restore,
    drop_missing,
)
from greengagehoist.replicas._types import (
    Limited,
    Load,
    Replica,
    SendLimit,
    Unlimited,
    UnreadableLimit,
)
from greengagehoist.replicas._validation import check_replica, parse_address

__all__ = [
    "Allowance",
    "ColdEntries",
    "ColdReplicas",
    "ColdRule",
    "ColdState",
    "JITTER_S",
    "MAX_COLD_S",
    "PERMIT_TTL_S",
    "WarmUp",
    "allowance_of",
    "Affinity",
    "AnyReplica",
    "Granted",
    "Incarnation",
    "LimitState",
    "Limited",
    "MAX_PAUSE_S",
    "MIN_RATE_PER_S",
    "ReplicaAvailability",
    "ReplicaTable",
    "Load",
    "PermitQueue",
    "PromptAffinity",
    "Queued",
    "Refused",
    "Observed",
    "Replica",
    "SendLimit",
    "SendLimits",
    "Unlimited",
    "UnreadableLimit",
    "apply_outage",
    "apply_read",
    "apply_restore",
    "check_replica",
    "choose",
    "drop_missing",
    "incarnation_of",
    "parse_address",
    "rendezvous_rank",
    "utilization",
]
