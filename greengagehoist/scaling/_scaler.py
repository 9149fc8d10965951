"""Scaling decisions for one stage."""

import math
from dataclasses import dataclass
from typing import NamedTuple

# Thresholds at attainment weights 0.0 and 1.0.
GROW_UTILISATION = (0.90, 0.70)
SHRINK_UTILISATION = (0.70, 0.45)
GROW_QUEUE_WAIT_S = 0.5
GROW_MISS_RATE = 0.01
SHRINK_DELAY_S = 30.0
SHRINK_INTERVAL_S = 10.0
MAX_GROWTH_FRACTION = 0.5


class Signal(NamedTuple):
    """Measurements of a stage since the last decision.

    :param utilisation: busy fraction of the capacity of the replicas in service.
    :param queue_wait: mean queueing time in seconds.
    :param miss_rate: fraction of runs that exceeded their part of the deadline.
    :param ready: replicas in service.
    :param starting: replicas that are loading weights.
    """

    utilisation: float
    queue_wait: float
    miss_rate: float
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
    """Scales one stage based on its own signal.

    Scale-out is immediate. Scale-in needs low utilisation for ``SHRINK_DELAY_S`` without
    interruption and removes one replica at a time. Between the two thresholds nothing changes.

    :param min_replicas: lower bound of the number of replicas.
    :param max_replicas: upper bound of the number of replicas.
    :param attainment_weight: 1.0 keeps the most headroom, 0.0 the least.
    """

    def __init__(self, min_replicas: int, max_replicas: int, attainment_weight: float = 0.5):
        self.min_replicas = min_replicas
        self.max_replicas = max_replicas
        self.attainment_weight = attainment_weight
        self._low_since: float | None = None
        self._last_shrink = float("-inf")

    def decide(self, signal: Signal, allowed_loads: int, now: float) -> Scaling:
        """Return the scaling decision.

        :param allowed_loads: weight loads that the rate-limited weight store allows now.
        """
        total = signal.ready + signal.starting
        grow_threshold = _interpolate(GROW_UTILISATION, self.attainment_weight)
        shrink_threshold = _interpolate(SHRINK_UTILISATION, self.attainment_weight)
        is_late = signal.queue_wait > GROW_QUEUE_WAIT_S or signal.miss_rate > GROW_MISS_RATE
        if signal.utilisation > grow_threshold or is_late or total < self.min_replicas:
            self._low_since = None
            return self._grow(signal, grow_threshold, total, allowed_loads)
        utilisation_after = signal.utilisation * signal.ready / max(1, signal.ready - 1)
        if (
            signal.utilisation > shrink_threshold
            or utilisation_after > grow_threshold
            or signal.starting
        ):
            self._low_since = None
            return Hold()
        return self._shrink(total, now)

    def _grow(
        self, signal: Signal, grow_threshold: float, total: int, allowed_loads: int
    ) -> Scaling:
        desired = math.ceil(signal.utilisation * signal.ready / grow_threshold)
        if signal.queue_wait > GROW_QUEUE_WAIT_S or signal.miss_rate > GROW_MISS_RATE:
            desired = max(desired, signal.ready + 1)
        step = max(1, math.ceil(MAX_GROWTH_FRACTION * signal.ready))
        desired = max(self.min_replicas, min(desired, signal.ready + step, self.max_replicas))
        count = min(desired - total, allowed_loads)
        return Grow(count) if count > 0 else Hold()

    def _shrink(self, total: int, now: float) -> Scaling:
        if self._low_since is None:
            self._low_since = now
        is_due = (
            now - self._low_since >= SHRINK_DELAY_S and now - self._last_shrink >= SHRINK_INTERVAL_S
        )
        if total <= self.min_replicas or not is_due:
            return Hold()
        self._last_shrink = now
        return Shrink()


def _interpolate(ends: tuple[float, float], weight: float) -> float:
    return ends[0] + (ends[1] - ends[0]) * weight
