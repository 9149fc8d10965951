"""Time without a byte after which a connection counts as silent."""

from collections import deque

SHORTEST_S = 0.5
FIRST_S = 2.0
FACTOR = 4.0
SAMPLES = 200
FEWEST_SAMPLES = 50
RECOMPUTE_EVERY = 25


class ProgressTimes:
    """Waits for bytes that were observed, and the progress timeout that follows from them."""

    def __init__(self):
        self._waits: deque[float] = deque(maxlen=SAMPLES)
        self._since = 0
        self._timeout = FIRST_S

    def observe(self, wait: float) -> None:
        """Record a wait of ``wait`` seconds.

        A wait that ended in a timeout is recorded too; otherwise the timeout could not grow when
        a target becomes slower.
        """
        self._waits.append(wait)
        self._since += 1
        if self._since >= RECOMPUTE_EVERY and len(self._waits) >= FEWEST_SAMPLES:
            self._since = 0
            p99 = sorted(self._waits)[int(0.99 * (len(self._waits) - 1))]
            self._timeout = max(SHORTEST_S, FACTOR * p99)

    def timeout(self) -> float:
        """Return the progress timeout in seconds."""
        return self._timeout
