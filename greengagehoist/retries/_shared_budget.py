"""Retry budget that all daemons share."""

from collections import deque

# Part of the allowance that daemons use, because requests that one daemon counts in its window may
# fall into another window elsewhere.
USED_PART = 0.8


class RetryBudget:
    """Keeps the repeats of one service within a share of the requests for it.

    Each daemon keeps its own share, so that the sum holds while daemons cannot reach each other.

    :param ratio: repeats for each request.
    :param slack: repeats of this daemon in each window beside the ratio.
    :param window_s: length of the sliding window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def observe_request(self, now: float) -> None:
        """Count a request of a client."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, now: float, count: int = 1) -> bool:
        """Spend ``count`` repeats; returns False and spends none if they exceed the budget."""
        self._expire(now)
        allowed = USED_PART * (self.ratio * len(self._requests) + self.slack)
        if len(self._repeats) + count > allowed:
            return False
        self._repeats.extend([now] * count)
        return True

    def _expire(self, now: float) -> None:
        for instants in (self._requests, self._repeats):
            while instants and instants[0] <= now - self.window_s:
                instants.popleft()
