"""Choice of the replica for a request."""

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

from greengagehoist.replicas._types import Load, Replica

# Share of a replica's slots up to which requests go to the home of their prompt's shared part.
HOME_SHARE = 0.85
# Requests in a replica's queue that count like this many running ones.
WAITING_WEIGHT = 2.0
# Load difference, as a share of the slots, that outweighs a crossing between zones.
ZONE_WEIGHT = 0.25
# A load report older than this says nothing about the present.
REPORT_LIFE_S = 1.0


class Observed(NamedTuple):
    """What this daemon knows of one replica.

    :param in_flight: own requests that it is serving.
    :param sent_since: own requests that were sent after the report.
    :param load: last report, or None.
    :param reported_at: instant of the report.
    :param avoid_until: instant until which it gets requests only if no other replica is left.
    """

    in_flight: int = 0
    sent_since: int = 0
    load: Load | None = None
    reported_at: float = 0.0
    avoid_until: float = 0.0


@dataclass(frozen=True, slots=True)
class NearHome:
    """The request reuses a part of its prompt that few replicas hold.

    :param part: id of the deepest shared part.
    :param zone: data centre whose replicas go before all others, empty for none.
    """

    part: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class AnyReplica:
    """All replicas serve the request equally well."""


Affinity = NearHome | AnyReplica


def used_share(replica: Replica, seen: Observed, now: float) -> float:
    """Return the estimated share of a replica's slots in use; over 1.0 if requests wait."""
    running = float(seen.in_flight)
    if seen.load is not None and now - seen.reported_at < REPORT_LIFE_S:
        reported = seen.load.running + WAITING_WEIGHT * seen.load.waiting + seen.sent_since
        running = max(running, reported)
    return running / max(1, replica.slots)


@lru_cache(maxsize=65536)
def rendezvous_rank(key: str, name: str) -> bytes:
    """Return the rank of ``name`` for ``key`` in rendezvous hashing; the highest is the home."""
    return hashlib.blake2b(f"{key}\n{name}".encode(), digest_size=8).digest()


def choose(
    candidates: Sequence[Replica],
    observed: Callable[[str], Observed],
    affinity: Affinity,
    zone: str,
    now: float,
) -> Replica | None:
    """Return the replica for a request, or None if there is no candidate.

    Prompt parts have one home by rendezvous hashing with bounded load: a home above
    ``HOME_SHARE`` passes its requests on to the next in rank.
    """
    usable = [item for item in candidates if observed(item.replica_id).avoid_until <= now]
    if not usable:
        usable = sorted(candidates, key=lambda item: observed(item.replica_id).avoid_until)[:1]
    if not usable:
        return None
    match affinity:
        case NearHome(part, wanted):
            ranked = sorted(
                usable,
                key=lambda item: (item.zone == wanted, rendezvous_rank(part, item.replica_id)),
                reverse=True,
            )
            for item in ranked:
                if used_share(item, observed(item.replica_id), now) < HOME_SHARE:
                    return item
            return _least_used(usable, observed, zone, now)
        case AnyReplica():
            return _least_used(usable, observed, zone, now)


def _least_used(
    usable: Sequence[Replica], observed: Callable[[str], Observed], zone: str, now: float
) -> Replica:
    def cost(item: Replica) -> float:
        seen = observed(item.replica_id)
        crossing = 0.0 if item.zone == zone else ZONE_WEIGHT
        return used_share(item, seen, now) + crossing

    return min(usable, key=cost)
