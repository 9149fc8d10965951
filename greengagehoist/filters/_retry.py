"""Interface of the policy that allows another attempt of a stage."""

from typing import Protocol

from greengagehoist.base import StepError

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
