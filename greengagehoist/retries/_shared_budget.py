"""Retry budget that all daemons share."""

from collections import deque

# Share of the allowance that a daemon spends, because a request that it counts in its window may
# fall into another window on another daemon.
USABLE_SHARE = 0.8


class RetryBudget:
    """Limits the retries of one service to a ratio of its requests, over a sliding window.

    Each daemon has its own share, so that the total holds even while daemons cannot reach each
    other.

    :param ratio: retries for each request.
    :param slack: retries of this daemon in each window in addition to the ratio.
    :param window_s: length of the sliding window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def observe_request(self, now: float) -> None:
        """Count a client's request."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, now: float, count: int = 1) -> bool:
        """Spend ``count`` retries; returns False and spends none if they exceed the budget."""
        self._expire(now)
        allowed = USABLE_SHARE * (self.ratio * len(self._requests) + self.slack)
        if len(self._retries) + count > allowed:
            return False
        self._retries.extend([now] * count)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
