"""Guaranteed minimum of what is admitted of each kind, tenant, data centre and size."""

import math
from collections import OrderedDict
from typing import NamedTuple

# Requests and refusals count with this time constant.
TIME_S = 4.0
# Groups that are kept; the ones without requests for longest are forgotten.
MAX_GROUPS = 4096
# A group has a guarantee from this many recent requests on.
MIN_REQUESTS = 2.0
# A group is short of its guarantee if the share of its requests that is admitted is below this
# fraction of the share of all requests; the share of a size is compared with that of the kind.
MIN_KIND_FRACTION = 0.5
MIN_TENANT_FRACTION = 0.4
MIN_ZONE_FRACTION = 0.6
MIN_SIZE_FRACTION = 0.9


class Origin(NamedTuple):
    """What a request belongs to.

    :param kind: name of its route.
    :param zone: data centre that received it.
    :param size_class: class of its size among the requests of its kind, empty if ordinary.
    :param excess: whether its tenant is above its usual share. Such a request counts for its tenant
        alone, as refusals of one large tenant say nothing of the others.
    """

    kind: str
    tenant: str
    zone: str
    size_class: str
    excess: bool = False


class _Counts:
    __slots__ = ("asked", "at", "refused")

    def __init__(self):
        self.asked, self.refused, self.at = 0.0, 0.0, 0.0

    def decay(self, now: float) -> "_Counts":
        factor = math.exp(-max(0.0, now - self.at) / TIME_S)
        self.asked *= factor
        self.refused *= factor
        self.at = now
        return self

    @property
    def admitted_share(self) -> float:
        return max(0.0, 1.0 - self.refused / self.asked) if self.asked else 1.0


class Guarantees:
    """Recent requests and refusals by group."""

    def __init__(self):
        self._all = _Counts()
        self._groups: OrderedDict[tuple[str, str], _Counts] = OrderedDict()

    def ask(self, origin: Origin, now: float) -> bool:
        """Count a request; return whether one of its groups is short of its guarantee."""
        short = self._is_short(origin, now)
        for counts in self._counts_of(origin):
            counts.decay(now).asked += 1.0
        return short

    def refuse(self, origin: Origin, now: float) -> None:
        """Count the refusal of a request that was counted before."""
        for counts in self._counts_of(origin):
            counts.decay(now).refused += 1.0

    def refused_share(self, now: float) -> float:
        """Return the share of the recent requests that was refused."""
        return 1.0 - self._all.decay(now).admitted_share

    def _is_short(self, origin: Origin, now: float) -> bool:
        share = self._all.decay(now).admitted_share
        kind = self._group(("kind", origin.kind)).decay(now)
        limits = [(("tenant", origin.tenant), MIN_TENANT_FRACTION * share)]
        if not origin.excess:
            limits.append((("kind", origin.kind), MIN_KIND_FRACTION * share))
            limits.append((("zone", origin.zone), MIN_ZONE_FRACTION * share))
        if origin.size_class and not origin.excess:
            key = (origin.size_class, origin.kind)
            limits.append((key, MIN_SIZE_FRACTION * kind.admitted_share))
        for key, limit in limits:
            counts = self._group(key).decay(now)
            if counts.asked >= MIN_REQUESTS and counts.admitted_share < limit:
                return True
        return False

    def _counts_of(self, origin: Origin) -> list[_Counts]:
        found = [self._group(key) for key in _groups_of(origin)]
        return found if origin.excess else [self._all, *found]

    def _group(self, key: tuple[str, str]) -> _Counts:
        counts = self._groups.get(key)
        if counts is None:
            counts = self._groups[key] = _Counts()
            if len(self._groups) > MAX_GROUPS:
                self._groups.popitem(last=False)
        else:
            self._groups.move_to_end(key)
        return counts


def _groups_of(origin: Origin) -> list[tuple[str, str]]:
    if origin.excess:
        return [("tenant", origin.tenant)]
    groups = [("kind", origin.kind), ("tenant", origin.tenant), ("zone", origin.zone)]
    if origin.size_class:
        groups.append((origin.size_class, origin.kind))
    return groups
