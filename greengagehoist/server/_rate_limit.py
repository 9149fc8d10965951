"""Rate limit on unauthenticated requests for each source address."""

from collections import OrderedDict
from typing import NamedTuple

REJECTIONS_PER_S = 50.0
BURST_REJECTIONS = 200.0
MAX_SOURCES = 4096


class _Bucket(NamedTuple):
    tokens: float
    refilled_at: float


class SourceRateLimiter:
    """Token buckets for rejected requests, by source address.

    Memory is bounded by evicting the least recently seen source.

    Requests of known customers take no tokens, because all callers may share the address of the
    platform's load balancer.
    """

    def __init__(self):
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()

    def allow(self, source: str, now: float) -> bool:
        """Take a token of ``source`` at ``now``; return False if none is left."""
        bucket = self._buckets.pop(source, _Bucket(BURST_REJECTIONS, now))
        earned = max(0.0, now - bucket.refilled_at) * REJECTIONS_PER_S
        tokens = min(BURST_REJECTIONS, bucket.tokens + earned)
        allowed = tokens >= 1.0
        self._buckets[source] = _Bucket(tokens - 1.0 if allowed else tokens, now)
        while len(self._buckets) > MAX_SOURCES:
            self._buckets.popitem(last=False)
        return allowed
