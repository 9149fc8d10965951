"""Decision to grow or shrink one stage."""

import math
from dataclasses import dataclass
from typing import NamedTuple

GROW_UTILISATION = (0.90, 0.70)
SHRINK_UTILISATION = (0.70, 0.45)
GROW_QUEUE_S = 0.5
GROW_MISSES = 0.01
SHRINK_AFTER_S = 30.0
SHRINK_PAUSE_S = 10.0
LARGEST_STEP = 0.5


class Signal(NamedTuple):
    """What was measured of a stage since the last decision.

    :param utilisation: busy share of the capacity of the replicas in service.
    :param queue_wait: mean seconds that runs waited.
    :param misses: share of runs that exceeded their part of the deadline.
    :param ready: replicas in service.
    :param starting: replicas that load weights.
    """

    utilisation: float
    queue_wait: float
    misses: float
    ready: int
    starting: int


@dataclass(frozen=True, slots=True)
class Grow:
    """Start ``count`` more replicas."""

    count: int


@dataclass(frozen=True, slots=True)
class Shrink:
    """Drain one replica."""


@dataclass(frozen=True, slots=True)
class Hold:
    """Change nothing."""


Scaling = Grow | Shrink | Hold


class StageScaler:
    """Scales one stage on its own signal.

    Growth is immediate; shrinkage needs a low signal for ``SHRINK_AFTER_S`` without interruption,
    and removes one replica at a time. Between the two thresholds nothing changes.

    :param fewest: replicas that are always kept.
    :param most: replicas that are never exceeded.
    :param attainment_weight: 1.0 keeps more headroom, 0.0 less.
    """

    def __init__(self, fewest: int, most: int, attainment_weight: float = 0.5):
        self.fewest = fewest
        self.most = most
        self.attainment_weight = attainment_weight
        self._low_since: float | None = None
        self._shrunk = float("-inf")

    def decide(self, signal: Signal, fetches: int, now: float) -> Scaling:
        """Return what to change.

        :param fetches: weight loads that the rate-limited weight store allows now.
        """
        total = signal.ready + signal.starting
        high = _between(GROW_UTILISATION, self.attainment_weight)
        low = _between(SHRINK_UTILISATION, self.attainment_weight)
        pressed = signal.queue_wait > GROW_QUEUE_S or signal.misses > GROW_MISSES
        if signal.utilisation > high or pressed or total < self.fewest:
            self._low_since = None
            return self._grow(signal, high, total, fetches)
        after = signal.utilisation * signal.ready / max(1, signal.ready - 1)
        if signal.utilisation > low or after > high or signal.starting:
            self._low_since = None
            return Hold()
        return self._shrink(total, now)

    def _grow(self, signal: Signal, high: float, total: int, fetches: int) -> Scaling:
        wanted = math.ceil(signal.utilisation * signal.ready / high)
        if signal.queue_wait > GROW_QUEUE_S or signal.misses > GROW_MISSES:
            wanted = max(wanted, signal.ready + 1)
        step = max(1, math.ceil(LARGEST_STEP * signal.ready))
        wanted = max(self.fewest, min(wanted, signal.ready + step, self.most))
        count = min(wanted - total, fetches)
        return Grow(count) if count > 0 else Hold()

    def _shrink(self, total: int, now: float) -> Scaling:
        if self._low_since is None:
            self._low_since = now
        waited = now - self._low_since >= SHRINK_AFTER_S and now - self._shrunk >= SHRINK_PAUSE_S
        if total <= self.fewest or not waited:
            return Hold()
        self._shrunk = now
        return Shrink()


def _between(ends: tuple[float, float], weight: float) -> float:
    return ends[0] + (ends[1] - ends[0]) * weight
