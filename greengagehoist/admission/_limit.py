"""Concurrency limit that follows the latency gradient."""

FIRST_LIMIT = 24.0
LEAST_LIMIT = 4.0
LARGEST_LIMIT = 4096.0
WINDOW_S = 1.0
CONGESTED = 1.4
GAIN = 1.2
# Lets a limit that has fallen below the others' catch up with them under a common congestion.
STEP = 3.0
HEADROOM = 1.5
GROWTH = 1.1
PEAK_DECAY = 0.98
RATE_DECAY = 0.95
BASE_RISE = 0.01
MISS_STEP = 0.99
# A window of a daemon with few requests is noisy, and the least of noisy means is too low.
SMOOTHING = 0.25


class AdaptiveLimit:
    """Limit of requests in flight at one stage.

    While the mean latency of a window is above ``CONGESTED`` times its baseline, the limit is the
    number in flight that the measured rate needs at ``GAIN`` times the baseline (Little's law), so
    it does not depend on how far it had grown before, and ``STEP`` more. Otherwise it grows while
    it is in use, but not beyond ``HEADROOM`` times the recent peak. The baseline is the least mean
    latency; it rises slowly, and falls with each missed deadline.
    """

    def __init__(self, first: float = FIRST_LIMIT):
        self.first = first
        self.limit = first
        self._base = 0.0
        self._smooth = 0.0
        self._rate = 0.0
        self._peak = 0.0
        self._start: float | None = None
        self._count = 0
        self._sum = 0.0
        self._misses = 0

    def observe(self, latency: float, in_flight: int, missed: bool, now: float) -> None:
        """Take the end of one run.

        :param latency: seconds.
        :param in_flight: runs in flight before this one ended.
        :param missed: whether the run was given up at its deadline.
        """
        if self._start is None:
            self._start = now
        self._peak = max(self._peak, in_flight)
        self._count += not missed
        self._misses += missed
        self._sum += latency
        if now - self._start >= WINDOW_S:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        ended = self._count + self._misses
        mean, rate = self._sum / ended, self._count / (now - self._start)
        self._start, self._count, self._sum = now, 0, 0.0
        if self._base == 0.0:
            self._base = self._smooth = mean
        self._smooth += SMOOTHING * (mean - self._smooth)
        if self._smooth < self._base:
            self._base = self._smooth
        else:
            self._base += BASE_RISE * (self._smooth - self._base)
        self._base *= MISS_STEP**self._misses
        self._misses = 0
        self._rate = max(rate, self._rate * RATE_DECAY)
        if self._smooth > CONGESTED * self._base:
            limit = GAIN * self._rate * self._base + STEP
        else:
            most = max(self.first, HEADROOM * self._peak)
            limit = min(most, self.limit * GROWTH)
        self._peak *= PEAK_DECAY
        self.limit = min(LARGEST_LIMIT, max(LEAST_LIMIT, limit))
