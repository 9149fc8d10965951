"""Retry policies for stages and operations."""

from collections import defaultdict
from typing import Protocol

from greengagehoist.base import ErrorCode, Outcome, StepError
from greengagehoist.retries import RetryRatio

MAX_ATTEMPTS = 3


class RetryPolicy(Protocol):
    """Decides whether a failed attempt is retried."""

    def allow_retry(self, error: StepError, attempt: int, left_s: float) -> bool:
        """Return True to allow a retry.

        :param attempt: number of the failed attempt, from 1.
        :param left_s: remaining seconds until the request's deadline.
        """


class AttemptLimit:
    """Allows a fixed number of attempts until the deadline."""

    def __init__(self, max_attempts: int = MAX_ATTEMPTS):
        self.max_attempts = max_attempts

    def allow_retry(self, error: StepError, attempt: int, left_s: float) -> bool:
        """Return True if attempts and time are left."""
        return attempt < self.max_attempts and left_s > 0


class RatioRetryPolicy:
    """Allows retries up to a ratio of the first attempts of each stage at this daemon.

    A failure to connect puts no load on a target, so its retry does not count. Under overload only
    attempts that a target rejected are retried, on another target.
    """

    def __init__(self, max_attempts: int = MAX_ATTEMPTS):
        self.limit = AttemptLimit(max_attempts)
        self.is_overloaded = False
        self._ratios: defaultdict[str, RetryRatio] = defaultdict(RetryRatio)

    def count_first_attempts(self, stages: tuple[str, ...]) -> None:
        """Count the first attempt of each stage of a request."""
        for stage in stages:
            self._ratios[stage].observe_first()

    def set_overloaded(self, overloaded: bool) -> None:
        """Set whether the daemon is overloaded, which restricts retries."""
        self.is_overloaded = overloaded

    def allow_retry(self, error: StepError, attempt: int, left_s: float) -> bool:
        """Return True if the attempt limit, the ratio and the load allow a retry."""
        if not self.limit.allow_retry(error, attempt, left_s):
            return False
        if error.outcome is Outcome.NOT_RUN and error.code is ErrorCode.CONNECTION:
            return True
        rejected = error.outcome is Outcome.NOT_RUN and error.code is not ErrorCode.OVERLOADED
        return (rejected or not self.is_overloaded) and self._ratios[error.step].try_acquire()
