"""Limits on the number of retries."""

from typing import NamedTuple

MAX_RETRIES_PER_REQUEST = 3
RETRIES_PER_FIRST_ATTEMPT = 0.1
INITIAL_TOKENS = 2.0
MAX_TOKENS = 5.0


class RequestBudget(NamedTuple):
    """Retries and hedges that one request may still make, over all its stages."""

    left: int = MAX_RETRIES_PER_REQUEST

    def spend(self) -> "RequestBudget":
        """Return the budget after one retry."""
        return RequestBudget(self.left - 1)


class RetryRatio:
    """Token bucket that limits retries and hedges of one stage to a ratio of its first attempts.

    Each daemon keeps one bucket per stage. With a common bucket, the first attempts of healthy
    stages would pay for retries that multiply the load of a failing stage.

    :param ratio: tokens that each first attempt adds; a retry takes one token.
    """

    def __init__(self, ratio: float = RETRIES_PER_FIRST_ATTEMPT):
        self.ratio = ratio
        self._tokens = INITIAL_TOKENS

    def observe_first(self) -> None:
        """Add tokens for a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self.ratio)

    def try_acquire(self) -> bool:
        """Take one token; returns False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
