"""Limit on unauthenticated requests of each source address."""

from collections import OrderedDict
from typing import NamedTuple

REFUSALS_PER_S = 50.0
BURST = 200.0
MOST_SOURCES = 4096


class _Level(NamedTuple):
    level: float
    at: float


class SourceLimit:
    """Token buckets for refused requests; memory is bounded by forgetting the oldest source.

    Requests of known customers never draw from it, because all callers may share the address of
    the platform's load balancer.
    """

    def __init__(self):
        self._levels: OrderedDict[str, _Level] = OrderedDict()

    def allow(self, source: str, now: float) -> bool:
        """Draw one refusal of ``source`` at ``now``; False if it has none left."""
        before = self._levels.pop(source, _Level(BURST, now))
        earned = max(0.0, now - before.at) * REFUSALS_PER_S
        level = min(BURST, before.level + earned)
        allowed = level >= 1.0
        self._levels[source] = _Level(level - 1.0 if allowed else level, now)
        while len(self._levels) > MOST_SOURCES:
            self._levels.popitem(last=False)
        return allowed
