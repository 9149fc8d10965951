"""This daemon's share of the platform's rates."""

from typing import NamedTuple

WRITES_PER_S = 400.0
READS_PER_S = 1600.0
# A bucket holds what it earns in this time, and at least one call.
BURST_S = 1.0


class Bucket(NamedTuple):
    """Token bucket.

    :param rate: calls earned each second.
    :param level: calls that may start now.
    :param at: instant of ``level`` on the monotonic clock, in seconds.
    """

    rate: float
    level: float
    at: float


def share(total: float, vms: int) -> float:
    """Return the rate of one daemon; the VM roster counts as at least one VM."""
    return total / max(1, vms)


def capacity(bucket: Bucket) -> float:
    """Return the most calls that the bucket holds."""
    return max(1.0, bucket.rate * BURST_S)


def refill(bucket: Bucket, now: float) -> Bucket:
    """Return the bucket at ``now``; a clock that stands still earns nothing."""
    earned = max(0.0, now - bucket.at) * bucket.rate
    return bucket._replace(level=min(capacity(bucket), bucket.level + earned), at=now)


def draw(bucket: Bucket, now: float) -> tuple[Bucket, float]:
    """Draw one call.

    :returns: the bucket afterwards and the seconds until the call may start, 0 if it may now; the
        bucket is unchanged but for the time if the call must wait.
    """
    full = refill(bucket, now)
    if full.level >= 1.0:
        return full._replace(level=full.level - 1.0), 0.0
    return full, (1.0 - full.level) / full.rate


def change_rate(bucket: Bucket, rate: float, now: float) -> Bucket:
    """Return the bucket with another rate; what it held above its new capacity is lost."""
    changed = refill(bucket, now)._replace(rate=rate)
    return changed._replace(level=min(capacity(changed), changed.level))
