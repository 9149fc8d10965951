"""Interface of the policy that allows another attempt of a stage."""

from collections import defaultdict
from typing import Protocol

from greengagehoist.base import ErrorCode, Outcome, StepError
from greengagehoist.retries import RetryRatio

MOST_ATTEMPTS = 3


class RetryPolicy(Protocol):
    """Decides whether a failed attempt of an idempotent stage is followed by another."""

    def allow_retry(self, error: StepError, attempt: int, left_s: float) -> bool:
        """Return True to allow a retry.

        :param attempt: number of the attempt that failed, from 1.
        :param left_s: seconds until the request's deadline.
        """


class AttemptLimit:
    """Allows a fixed number of attempts while time is left."""

    def __init__(self, most: int = MOST_ATTEMPTS):
        self.most = most

    def allow_retry(self, error: StepError, attempt: int, left_s: float) -> bool:
        """Return True if fewer than ``most`` attempts were made before the deadline."""
        return attempt < self.most and left_s > 0


class RatioRetryPolicy:
    """Allows retries up to a ratio of the first attempts of each stage at this daemon.

    An attempt that could not connect put no load on a target and does not count. Under overload only attempts that a target refused are repeated, on another target.
    """

    def __init__(self, most: int = MOST_ATTEMPTS):
        self.limit = AttemptLimit(most)
        self.is_overloaded = False
        self._ratios: defaultdict[str, RetryRatio] = defaultdict(RetryRatio)

    def observe_first(self, stages: tuple[str, ...]) -> None:
        """Take note of the first attempts that a request makes."""
        for stage in stages:
            self._ratios[stage].observe_first()

    def set_overloaded(self, overloaded: bool) -> None:
        """Allow fewer or more retries."""
        self.is_overloaded = overloaded

    def allow_retry(self, error: StepError, attempt: int, left_s: float) -> bool:
        """Return True if the attempt limit, the ratio and the load allow a retry."""
        if not self.limit.allow_retry(error, attempt, left_s):
            return False
        if error.outcome is Outcome.NOT_RUN and error.code is ErrorCode.CONNECTION:
            return True
        refused = error.outcome is Outcome.NOT_RUN and error.code is not ErrorCode.OVERLOADED
        return (refused or not self.is_overloaded) and self._ratios[error.step].take()
