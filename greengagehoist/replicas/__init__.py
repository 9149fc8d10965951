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
from greengagehoist.replicas._choice_by_time import (
    MIN_SINGLE_HOME_TOKENS,
    Need,
    TimedChoice,
    choose_by_time,
)
from greengagehoist.replicas._expected_time import (
    NO_REQUESTS,
    PlainWork,
    PromptWork,
    ReplicaCounts,
    ReplicaKnowledge,
    Work,
    add_counts,
    counts_of,
    expected_s,
    subtract_counts,
)
from greengagehoist.replicas._learnt_speed import (
    SLOWDOWN_MAX_AGE_S,
    LearntSlowdown,
    LearntSpeeds,
)
from greengagehoist.replicas._own_sends import OwnSend, OwnSends
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
    "Affinity",
    "AnyReplica",
    "Granted",
    "Incarnation",
    "LearntSlowdown",
    "LearntSpeeds",
    "LimitState",
    "Limited",
    "Load",
    "MAX_PAUSE_S",
    "MIN_RATE_PER_S",
    "MIN_SINGLE_HOME_TOKENS",
    "NO_REQUESTS",
    "Need",
    "Observed",
    "OwnSend",
    "OwnSends",
    "PermitQueue",
    "PlainWork",
    "PromptAffinity",
    "PromptWork",
    "Queued",
    "Refused",
    "Replica",
    "ReplicaAvailability",
    "ReplicaCounts",
    "ReplicaKnowledge",
    "ReplicaTable",
    "SLOWDOWN_MAX_AGE_S",
    "SendLimit",
    "SendLimits",
    "TimedChoice",
    "Unlimited",
    "UnreadableLimit",
    "Work",
    "add_counts",
    "apply_outage",
    "apply_read",
    "apply_restore",
    "check_replica",
    "choose",
    "choose_by_time",
    "counts_of",
    "drop_missing",
    "expected_s",
    "incarnation_of",
    "parse_address",
    "rendezvous_rank",
    "subtract_counts",
    "utilization",
]
