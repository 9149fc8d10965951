"""Concurrency limit that follows the latency gradient."""

import math

FIRST_LIMIT = 32.0
LEAST_LIMIT = 4.0
LARGEST_LIMIT = 4096.0
SHORT_WEIGHT = 0.05
BASE_RISE = 0.0005
TOLERANCE = 1.6
LEAST_GRADIENT = 0.5
SMOOTHING = 0.1


class AdaptiveLimit:
    """Limit of requests in flight at one stage.

    The limit shrinks while latency is above ``tolerance`` times its baseline (a slowly rising
    minimum of the smoothed latency), and grows by its square root while it is in full use.

    :param tolerance: latency relative to the baseline at which the limit stops growing.
    """

    def __init__(self, first: float = FIRST_LIMIT, tolerance: float = TOLERANCE):
        self.tolerance = tolerance
        self.limit = first
        self._short = 0.0
        self._base = 0.0

    @property
    def is_overloaded(self) -> bool:
        """True while the latency is above the tolerated multiple of its baseline."""
        return self._base > 0.0 and self._short > self.tolerance * self._base

    def observe(self, latency: float, in_flight: int, ok: bool = True) -> None:
        """Take the end of one run.

        :param latency: seconds, divided by the expected work if runs differ in size.
        :param in_flight: runs in flight before this one ended.
        :param ok: False if the run failed; its latency then says nothing.
        """
        if not ok or latency <= 0.0:
            return
        if self._base == 0.0:
            self._short = self._base = latency
        self._short += SHORT_WEIGHT * (latency - self._short)
        if self._short < self._base:
            self._base = self._short
        else:
            self._base += BASE_RISE * (self._short - self._base)
        gradient = min(1.0, max(LEAST_GRADIENT, self.tolerance * self._base / self._short))
        if gradient == 1.0 and in_flight < self.limit / 2:
            return
        wanted = self.limit * gradient + math.sqrt(self.limit)
        limit = self.limit + SMOOTHING * (wanted - self.limit)
        self.limit = min(LARGEST_LIMIT, max(LEAST_LIMIT, limit))
