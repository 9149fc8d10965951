"""Idle timeout that adapts to the response times of a target."""

from collections import deque

MIN_TIMEOUT_S = 0.5
INITIAL_TIMEOUT_S = 2.0
P99_MULTIPLIER = 4.0
WINDOW_SAMPLES = 200
MIN_SAMPLES = 50
RECOMPUTE_INTERVAL_SAMPLES = 25


class AdaptiveTimeout:
    """Idle timeout derived from the 99th percentile of the most recent waits for data."""

    def __init__(self):
        self._waits: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._samples_since_update = 0
        self._timeout = INITIAL_TIMEOUT_S

    def observe(self, wait: float) -> None:
        """Record a wait of ``wait`` seconds.

        Waits that ended in a timeout must be recorded as well; otherwise the timeout could not
        grow when a target becomes slower.
        """
        self._waits.append(wait)
        self._samples_since_update += 1
        if (
            self._samples_since_update >= RECOMPUTE_INTERVAL_SAMPLES
            and len(self._waits) >= MIN_SAMPLES
        ):
            self._samples_since_update = 0
            p99 = sorted(self._waits)[int(0.99 * (len(self._waits) - 1))]
            self._timeout = max(MIN_TIMEOUT_S, P99_MULTIPLIER * p99)

    def current(self) -> float:
        """Return the current timeout in seconds."""
        return self._timeout
