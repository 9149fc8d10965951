"""Choice of the replica for a request."""

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

from greengagehoist.replicas._types import Load, Replica

# Utilization from which the home replica of a shared prompt part gets no further requests for it.
MAX_HOME_UTILIZATION = 0.85
# Load of a request in a replica's queue, relative to a running one.
WAITING_WEIGHT = 2.0
# Added to the utilization of replicas in other zones.
CROSS_ZONE_PENALTY = 0.25
# Load reports older than this are ignored.
REPORT_MAX_AGE_S = 1.0


class Observed(NamedTuple):
    """What this daemon has observed of one replica.

    :param in_flight: requests of this daemon that the replica is serving.
    :param sent_since_report: requests of this daemon that were sent after the report.
    :param load: last load report, or None.
    :param reported_at: time of the report.
    :param avoid_until: until this time it gets requests only if no other replica is usable.
    """

    in_flight: int = 0
    sent_since_report: int = 0
    load: Load | None = None
    reported_at: float = 0.0
    avoid_until: float = 0.0


@dataclass(frozen=True, slots=True)
class PromptAffinity:
    """The request reuses a part of its prompt that few replicas hold.

    :param part: id of the deepest shared part.
    :param zone: data centre whose replicas go before all others, empty for none.
    """

    part: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class AnyReplica:
    """All replicas serve the request equally well."""


Affinity = PromptAffinity | AnyReplica


def utilization(replica: Replica, seen: Observed, now: float) -> float:
    """Return the estimated fraction of a replica's slots in use; over 1.0 if requests wait."""
    running = float(seen.in_flight)
    if seen.load is not None and now - seen.reported_at < REPORT_MAX_AGE_S:
        reported = seen.load.running + WAITING_WEIGHT * seen.load.waiting + seen.sent_since_report
        running = max(running, reported)
    return running / max(1, replica.slots)


@lru_cache(maxsize=65536)
def rendezvous_rank(key: str, name: str) -> bytes:
    """Return the rank of ``name`` for ``key`` in rendezvous hashing; the highest rank wins."""
    return hashlib.blake2b(f"{key}\n{name}".encode(), digest_size=8).digest()


def choose(
    candidates: Sequence[Replica],
    observed: Callable[[str], Observed],
    affinity: Affinity,
    zone: str,
    now: float,
) -> Replica | None:
    """Return the replica for a request, or None if there is no candidate.

    Each prompt part has a home replica by rendezvous hashing with bounded loads: requests skip
    replicas at or above ``MAX_HOME_UTILIZATION`` and go to the next in rank.
    """
    usable = [item for item in candidates if observed(item.replica_id).avoid_until <= now]
    if not usable:
        usable = sorted(candidates, key=lambda item: observed(item.replica_id).avoid_until)[:1]
    if not usable:
        return None
    match affinity:
        case PromptAffinity(part, preferred_zone):
            ranked = sorted(
                usable,
                key=lambda item: (
                    item.zone == preferred_zone,
                    rendezvous_rank(part, item.replica_id),
                ),
                reverse=True,
            )
            for item in ranked:
                if utilization(item, observed(item.replica_id), now) < MAX_HOME_UTILIZATION:
                    return item
            return _least_loaded(usable, observed, zone, now)
        case AnyReplica():
            return _least_loaded(usable, observed, zone, now)


def _least_loaded(
    usable: Sequence[Replica], observed: Callable[[str], Observed], zone: str, now: float
) -> Replica:
    def cost(item: Replica) -> float:
        seen = observed(item.replica_id)
        penalty = 0.0 if item.zone == zone else CROSS_ZONE_PENALTY
        return utilization(item, seen, now) + penalty

    return min(usable, key=cost)
