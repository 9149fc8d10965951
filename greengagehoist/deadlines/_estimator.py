"""Streaming estimates of stage latencies in constant memory."""

from typing import NamedTuple

LOWEST_S = 1e-4
FIRST_STEP = 0.5
LAST_STEP = 0.02
STEP_DECAY = 0.97


class QuantileEstimator:
    """Tracks one quantile by steps proportional to the estimate.

    A step up is ``q`` parts and a step down ``1 - q`` parts, so the estimate rests where a share
    ``q`` of the values lies below it. Steps shrink from ``FIRST_STEP`` to ``LAST_STEP``, so that the
    estimate settles soon and still follows changes.

    :param quantile: in (0, 1).
    """

    __slots__ = ("_step", "count", "quantile", "value")

    def __init__(self, quantile: float):
        self.quantile = quantile
        self.value = 0.0
        self.count = 0
        self._step = FIRST_STEP

    def observe(self, seconds: float) -> None:
        """Take one latency."""
        seconds = max(LOWEST_S, seconds)
        self.count += 1
        if self.count == 1:
            self.value = seconds
        elif seconds > self.value:
            self.value = min(seconds, self.value * (1.0 + self._step * self.quantile))
        elif seconds < self.value:
            self.value = max(seconds, self.value * (1.0 - self._step * (1.0 - self.quantile)))
        self._step = max(LAST_STEP, self._step * STEP_DECAY)


class StageTimes(NamedTuple):
    """Latency quantiles of a stage in seconds."""

    p10: float
    p50: float
    p95: float


class StageEstimates:
    """Latency quantiles of each stage, by stage key.

    :param initial: assumed for a stage without observations.
    """

    def __init__(self, initial: StageTimes = StageTimes(0.0, 0.0, 0.0)):
        self.initial = initial
        self._stages: dict[str, tuple[QuantileEstimator, ...]] = {}

    def observe(self, stage: str, seconds: float) -> None:
        """Take the latency of one run of a stage."""
        found = self._stages.get(stage)
        if found is None:
            found = tuple(QuantileEstimator(q) for q in (0.1, 0.5, 0.95))
            self._stages[stage] = found
        for estimator in found:
            estimator.observe(seconds)

    def snapshot(self, stage: str) -> StageTimes:
        """Return the current quantiles of a stage."""
        found = self._stages.get(stage)
        if found is None:
            return self.initial
        low, middle, high = (estimator.value for estimator in found)
        return StageTimes(min(low, middle), middle, max(middle, high))
