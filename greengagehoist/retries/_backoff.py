"""Delay before a retry."""

import random

BASE_S = 0.02
CAP_S = 1.0


def backoff(
    attempt: int, rng: random.Random, base_s: float = BASE_S, cap_s: float = CAP_S
) -> float:
    """Return a delay in seconds with full jitter: uniform from 0 to ``base_s * 2**attempt``.

    :param attempt: retries made so far, 0 for the first.
    :param cap_s: upper bound in seconds.
    """
    return rng.uniform(0.0, min(cap_s, base_s * 2.0 ** min(attempt, 32)))
