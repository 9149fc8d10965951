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
from greengagehoist.replicas._table import ReplicaTable, apply_outage, apply_read, apply_restore
from greengagehoist.replicas._types import Load, Replica
from greengagehoist.replicas._validation import check_replica, parse_address

__all__ = [
    "Affinity",
    "AnyReplica",
    "MAX_PAUSE_S",
    "ReplicaAvailability",
    "ReplicaTable",
    "Load",
    "PromptAffinity",
    "Observed",
    "Replica",
    "apply_outage",
    "apply_read",
    "apply_restore",
    "check_replica",
    "choose",
    "parse_address",
    "rendezvous_rank",
    "utilization",
]
