"""Load balancing across the targets of a role."""

from greengagehoist.routing._cache import CacheEvents, CacheIndex
from greengagehoist.routing._health import Ejected, Health, Healthy, Probing, SlowStart, Unreachable
from greengagehoist.routing._policy import (
    ExpectedTime,
    LeastReported,
    Policy,
    PowerOfTwo,
    RandomChoice,
    RoundRobin,
)
from greengagehoist.routing._prefix import hash_prefix
from greengagehoist.routing._roster import Roster
from greengagehoist.routing._types import Demand, LoadReport, Member

__all__ = [
    "CacheEvents",
    "CacheIndex",
    "Demand",
    "Ejected",
    "ExpectedTime",
    "Health",
    "Healthy",
    "LeastReported",
    "LoadReport",
    "Member",
    "Policy",
    "PowerOfTwo",
    "Probing",
    "RandomChoice",
    "Roster",
    "RoundRobin",
    "SlowStart",
    "Unreachable",
    "hash_prefix",
]
