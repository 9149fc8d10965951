"""Adaptive concurrency limit based on the latency gradient."""

INITIAL_LIMIT = 24.0
MIN_LIMIT = 4.0
MAX_LIMIT = 4096.0
WINDOW_S = 1.0
CONGESTION_RATIO = 1.4
TARGET_LATENCY_RATIO = 1.2
# Lets a limit that has fallen below other limits catch up during congestion that affects all.
LIMIT_INCREMENT = 3.0
PEAK_HEADROOM = 1.5
GROWTH_FACTOR = 1.1
PEAK_DECAY = 0.98
RATE_DECAY = 0.95
BASELINE_GAIN = 0.01
BASELINE_MISS_DECAY = 0.99
# Windows with few requests are noisy, and the minimum of unsmoothed means would be too low.
LATENCY_SMOOTHING = 0.25


class AdaptiveLimit:
    """Limit of requests in flight at one stage.

    While the smoothed mean latency exceeds ``CONGESTION_RATIO`` times its baseline, the limit is the
    concurrency that the measured rate needs at ``TARGET_LATENCY_RATIO`` times the baseline
    (Little's law) plus ``LIMIT_INCREMENT``, so it does not depend on how far it had grown before.
    Otherwise it grows by ``GROWTH_FACTOR`` per window, up to ``PEAK_HEADROOM`` times the recent peak
    concurrency. The baseline is the minimum of the smoothed means; it rises slowly and is lowered
    by each missed deadline.
    """

    def __init__(self, initial: float = INITIAL_LIMIT):
        self.initial = initial
        self.limit = initial
        self._baseline = 0.0
        self._smoothed = 0.0
        self._rate = 0.0
        self._peak = 0.0
        self._window_start: float | None = None
        self._completed = 0
        self._latency_sum = 0.0
        self._misses = 0

    def observe(self, latency: float, in_flight: int, missed: bool, now: float) -> None:
        """Record the end of one request.

        :param latency: seconds.
        :param in_flight: requests in flight before this one ended.
        :param missed: whether the request was abandoned at its deadline.
        """
        if self._window_start is None:
            self._window_start = now
        self._peak = max(self._peak, in_flight)
        self._completed += not missed
        self._misses += missed
        self._latency_sum += latency
        if now - self._window_start >= WINDOW_S:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        ended = self._completed + self._misses
        mean, rate = self._latency_sum / ended, self._completed / (now - self._window_start)
        self._window_start, self._completed, self._latency_sum = now, 0, 0.0
        if self._baseline == 0.0:
            self._baseline = self._smoothed = mean
        self._smoothed += LATENCY_SMOOTHING * (mean - self._smoothed)
        if self._smoothed < self._baseline:
            self._baseline = self._smoothed
        else:
            self._baseline += BASELINE_GAIN * (self._smoothed - self._baseline)
        self._baseline *= BASELINE_MISS_DECAY**self._misses
        self._misses = 0
        self._rate = max(rate, self._rate * RATE_DECAY)
        if self._smoothed > CONGESTION_RATIO * self._baseline:
            limit = TARGET_LATENCY_RATIO * self._rate * self._baseline + LIMIT_INCREMENT
        else:
            max_limit = max(self.initial, PEAK_HEADROOM * self._peak)
            limit = min(max_limit, self.limit * GROWTH_FACTOR)
        self._peak *= PEAK_DECAY
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, limit))
