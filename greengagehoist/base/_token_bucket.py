"""Token bucket for rates."""

from typing import NamedTuple

# A bucket holds the tokens of this period, and at least one token.
BURST_S = 1.0


class Bucket(NamedTuple):
    """Token bucket.

    :param rate: tokens added per second; a call needs one token.
    :param tokens: tokens in the bucket at ``updated_at``.
    :param updated_at: time on the monotonic clock, in seconds.
    :param burst: most tokens in the bucket, None for those of ``BURST_S``.
    """

    rate: float
    tokens: float
    updated_at: float
    burst: float | None = None


def capacity(bucket: Bucket) -> float:
    """Return the maximum number of tokens in the bucket."""
    return max(1.0, bucket.rate * BURST_S if bucket.burst is None else bucket.burst)


def refill(bucket: Bucket, now: float) -> Bucket:
    """Return the bucket with the tokens added up to ``now``; none if the clock has not advanced."""
    added = max(0.0, now - bucket.updated_at) * bucket.rate
    return bucket._replace(tokens=min(capacity(bucket), bucket.tokens + added), updated_at=now)


def try_acquire(bucket: Bucket, now: float) -> tuple[Bucket, float]:
    """Remove one token from the bucket if there is one.

    :returns: the updated bucket and the seconds until the call may start. The wait is 0 if a
        token was removed; otherwise the bucket is only refilled.
    """
    refilled = refill(bucket, now)
    if refilled.tokens >= 1.0:
        return refilled._replace(tokens=refilled.tokens - 1.0), 0.0
    return refilled, (1.0 - refilled.tokens) / refilled.rate


def change_rate(bucket: Bucket, rate: float, now: float) -> Bucket:
    """Return the bucket with a new rate; tokens above the new capacity are discarded."""
    changed = refill(bucket, now)._replace(rate=rate)
    return changed._replace(tokens=min(capacity(changed), changed.tokens))
