"""Choice of the replica with the shortest expected time to the first event."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from greengagehoist.replicas._choice import (
    Affinity,
    AnyReplica,
    PromptAffinity,
    rendezvous_rank,
)
from greengagehoist.replicas._expected_time import (
    USUAL_TOKENS_PER_S,
    PlainWork,
    ReplicaKnowledge,
    Work,
    busy_s,
    copy_tokens,
    expected_s,
)
from greengagehoist.replicas._types import Replica

# Replicas whose expected times differ by less are equal: what daemons know of each other's requests
# is some tenths of a second old, so that all of them would choose the same one.
NEAR_S = 0.05
# Time that a request must gain to leave its data centre. The way takes 2 ms; traffic between data
# centres is expensive.
CROSS_ZONE_S = 0.1
# The same for a request without a prompt, which is small.
PLAIN_CROSS_ZONE_S = 0.02
# Time that it must gain to leave the data centre of large stage results.
MOVE_RESULTS_S = 0.3
# A request leaves the home of its parts if it gains this many times what it costs to read them again.
# With less, late homes lose parts that must then be read again, which makes more homes late.
COPY_FACTOR = 4.0
# The same again for each such queue at the other replica: only idle ones read parts again for nothing.
QUEUE_S = 0.05
# Parts of fewer tokens have a home in each data centre: a copy of them costs less than the way.
MIN_SINGLE_HOME_TOKENS = 1500
KnownOf = Callable[[str], ReplicaKnowledge]


class Need(NamedTuple):
    """What a request needs of a replica.

    :param kv_tokens: tokens in the memory of a replica of its service, 0 if unknown.
    :param copies: ids of replicas that hold the shared parts besides their home.
    """

    work: Work
    affinity: Affinity
    kv_tokens: int = 0
    copies: frozenset[str] = frozenset()


class TimedChoice(NamedTuple):
    """A chosen replica and why.

    :param expected_s: expected seconds to the first event there.
    :param holds_parts: whether it is the home of the shared parts of the prompt.
    :param home: home of the parts, None if the request has none.
    :param home_s: expected seconds at the home.
    """

    replica: Replica
    expected_s: float
    holds_parts: bool
    home: Replica | None
    home_s: float


class _Option(NamedTuple):
    """A candidate.

    :param detour_s: seconds that it must be sooner because it is in another data centre.
    :param price_s: seconds that it must be sooner because it is not the home of the parts.
    """

    replica: Replica
    expected_s: float
    detour_s: float
    price_s: float = 0.0

    @property
    def cost_s(self) -> float:
        """Expected seconds and, in seconds, what the choice costs others."""
        return self.expected_s + self.detour_s + self.price_s


def choose_by_time(
    candidates: Sequence[Replica],
    known_of: KnownOf,
    need: Need,
    zone: str,
    now: float,
    rng: random.Random,
) -> TimedChoice | None:
    """Return the choice for a request, or None if there is no candidate.

    The home of the shared parts is chosen unless it is so late that another replica is faster
    although it must read them, and although the second copy costs others time.
    """
    known = {item.replica_id: known_of(item.replica_id) for item in candidates}
    usable = [item for item in candidates if known[item.replica_id].avoid_until <= now]
    if not usable:
        usable = sorted(candidates, key=lambda item: known[item.replica_id].avoid_until)[:1]
    if not usable:
        return None
    home = _home_of(usable, need, zone)
    options = [
        _option(item, known[item.replica_id], need, zone, item.replica_id in need.copies)
        for item in usable
        if item is not home
    ]
    if home is None:
        chosen = _among_near(options, known, rng)
        return TimedChoice(chosen.replica, chosen.expected_s, False, None, 0.0)
    at_home = _option(home, known[home.replica_id], need, zone, True)
    priced = (
        item._replace(price_s=_leave_price_s(item.replica, known, need))
        for item in options
        if item.cost_s < at_home.cost_s
    )
    faster = [item for item in priced if item.cost_s < at_home.cost_s]
    if not faster:
        return TimedChoice(home, at_home.expected_s, True, home, at_home.expected_s)
    chosen = _next_home(faster, need)
    holds_parts = chosen.replica.replica_id in need.copies
    return TimedChoice(chosen.replica, chosen.expected_s, holds_parts, home, at_home.expected_s)


def _home_of(usable: Sequence[Replica], need: Need, zone: str) -> Replica | None:
    match need.affinity:
        case AnyReplica():
            return None
        case PromptAffinity(part, preferred_zone):
            if not preferred_zone and copy_tokens(need.work) < MIN_SINGLE_HOME_TOKENS:
                preferred_zone = zone
            near = [item for item in usable if item.zone == preferred_zone]
            return max(near or usable, key=lambda item: rendezvous_rank(part, item.replica_id))


def _option(
    replica: Replica, known: ReplicaKnowledge, need: Need, zone: str, holds_parts: bool
) -> _Option:
    seconds = expected_s(need.work, known, replica.slots, need.kv_tokens, holds_parts)
    match need.affinity:
        case PromptAffinity(_, preferred_zone) if preferred_zone:
            detour_s = 0.0 if replica.zone == preferred_zone else MOVE_RESULTS_S
        case _ if replica.zone == zone:
            detour_s = 0.0
        case _:
            is_plain = isinstance(need.work, PlainWork)
            detour_s = PLAIN_CROSS_ZONE_S if is_plain else CROSS_ZONE_S
    return _Option(replica, seconds, detour_s)


def _leave_price_s(replica: Replica, known: dict[str, ReplicaKnowledge], need: Need) -> float:
    """Return the seconds that a request must gain to leave the home of its parts for a replica."""
    if replica.replica_id in need.copies:
        return NEAR_S
    return _copy_price_s(known[replica.replica_id], need)


def _copy_price_s(known: ReplicaKnowledge, need: Need) -> float:
    """Return the seconds that a request must gain to have its shared parts read again."""
    queued_s = known.slowdown * known.counts.waiting_tokens / USUAL_TOKENS_PER_S
    copy_s = copy_tokens(need.work) / USUAL_TOKENS_PER_S
    return COPY_FACTOR * copy_s * (1.0 + queued_s / QUEUE_S)


def _near(options: Sequence[_Option]) -> list[_Option]:
    """Return the options that are about as good as the best, in no farther data centre."""
    best = min(options, key=lambda item: item.cost_s)
    return [
        item
        for item in options
        if item.cost_s <= best.cost_s + NEAR_S and item.detour_s <= best.detour_s
    ]


def _next_home(faster: Sequence[_Option], need: Need) -> _Option:
    """Return the replica that all daemons choose as the next home of hot parts."""
    near = _near(faster)
    match need.affinity:
        case PromptAffinity(part, _):
            return max(near, key=lambda item: rendezvous_rank(part, item.replica.replica_id))
        case AnyReplica():
            return near[0]


def _among_near(
    options: Sequence[_Option], known: dict[str, ReplicaKnowledge], rng: random.Random
) -> _Option:
    """Return the less busy of two replicas, drawn by speed from those that are about as good.

    Idle ones are equal here, so that replicas get requests in proportion to their speed.
    """
    near = _near(options)
    weights = [1.0 / known[item.replica.replica_id].slowdown for item in near]
    drawn = rng.choices(near, weights, k=2)
    return min(drawn, key=lambda item: busy_s(known[item.replica.replica_id]))
