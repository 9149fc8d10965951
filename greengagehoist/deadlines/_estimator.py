"""Streaming estimates of stage latencies in constant memory."""

from typing import NamedTuple

MIN_LATENCY_S = 1e-4
INITIAL_STEP = 0.5
MIN_STEP = 0.02
STEP_DECAY = 0.97


class QuantileEstimator:
    """Estimates one quantile by steps proportional to the current estimate.

    Steps up are weighted by ``q`` and steps down by ``1 - q``, so the estimate is in equilibrium
    where a share ``q`` of the values lies below it. The step size decays from ``INITIAL_STEP`` to
    ``MIN_STEP``, so that the estimate converges quickly and still follows changes.

    :param quantile: the quantile ``q``, in (0, 1).
    """

    __slots__ = ("_step", "count", "quantile", "value")

    def __init__(self, quantile: float):
        self.quantile = quantile
        self.value = 0.0
        self.count = 0
        self._step = INITIAL_STEP

    def observe(self, seconds: float) -> None:
        """Update the estimate with a latency."""
        seconds = max(MIN_LATENCY_S, seconds)
        self.count += 1
        if self.count == 1:
            self.value = seconds
        elif seconds > self.value:
            self.value = min(seconds, self.value * (1.0 + self._step * self.quantile))
        elif seconds < self.value:
            self.value = max(seconds, self.value * (1.0 - self._step * (1.0 - self.quantile)))
        self._step = max(MIN_STEP, self._step * STEP_DECAY)


class StageTimes(NamedTuple):
    """Latency quantiles of a stage, in seconds."""

    p10: float
    p50: float
    p95: float


class StageEstimates:
    """Latency quantiles of each stage, by stage key.

    :param initial: returned for a stage without observations.
    """

    def __init__(self, initial: StageTimes = StageTimes(0.0, 0.0, 0.0)):
        self.initial = initial
        self._stages: dict[str, tuple[QuantileEstimator, ...]] = {}

    def observe(self, stage: str, seconds: float) -> None:
        """Update the estimates with the latency of one run of a stage."""
        estimators = self._stages.get(stage)
        if estimators is None:
            estimators = tuple(QuantileEstimator(q) for q in (0.1, 0.5, 0.95))
            self._stages[stage] = estimators
        for estimator in estimators:
            estimator.observe(seconds)

    def snapshot(self, stage: str) -> StageTimes:
        """Return the current estimates of a stage, in increasing order."""
        estimators = self._stages.get(stage)
        if estimators is None:
            return self.initial
        low, middle, high = (estimator.value for estimator in estimators)
        return StageTimes(min(low, middle), middle, max(middle, high))
