"""Limits on the number of retries."""

from typing import NamedTuple

PER_REQUEST = 3
RATIO = 0.1
FIRST_RESERVE = 2.0
LARGEST_RESERVE = 5.0


class RequestBudget(NamedTuple):
    """Retries and hedges that one request may still make, over all its stages."""

    left: int = PER_REQUEST

    def spend(self) -> "RequestBudget":
        """Return the budget after one retry."""
        return RequestBudget(self.left - 1)


class RetryRatio:
    """Keeps the retries and hedges of one stage at a daemon at a ratio of its first attempts.

    Each stage has its own, because retries that are earned by the attempts of healthy stages would
    multiply the load of a failing one.

    :param ratio: retries earned by each first attempt.
    """

    def __init__(self, ratio: float = RATIO):
        self.ratio = ratio
        self._reserve = FIRST_RESERVE

    def observe_first(self) -> None:
        """Take note of a first attempt."""
        self._reserve = min(LARGEST_RESERVE, self._reserve + self.ratio)

    def try_acquire(self) -> bool:
        """Spend one retry; returns False if the ratio is used up."""
        if self._reserve < 1.0:
            return False
        self._reserve -= 1.0
        return True
