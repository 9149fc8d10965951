"""Decides whether a failed stage run is retried and when a slow one is hedged."""

from dataclasses import dataclass

from greengagehoist.base import ErrorCode, Outcome, StepError
from greengagehoist.config import EngineStage, Idempotent, NonIdempotent, PoolStage

_PERMANENT = {
    ErrorCode.INVALID,
    ErrorCode.UNAUTHENTICATED,
    ErrorCode.FORBIDDEN,
    ErrorCode.NOT_FOUND,
    ErrorCode.CONFLICT,
    ErrorCode.KEY_REUSED,
    ErrorCode.OVER_PLAN,
    ErrorCode.QUIET_HOURS,
    ErrorCode.DEADLINE,
    ErrorCode.DRAINING,
}
HEDGE_FACTOR = 1.2
MIN_HEDGE_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class Retry:
    """Retry on another target.

    :param delayed: whether to back off before the retry.
    :param counted: whether the retry takes a token; a failed connection has put no load on the
        target, so its retry is free.
    """

    delayed: bool
    counted: bool = True


@dataclass(frozen=True, slots=True)
class Never:
    """Make no further attempt."""


@dataclass(frozen=True, slots=True)
class Hedge:
    """Send a second attempt if there is no answer after ``delay_s`` seconds."""

    delay_s: float


RetryDecision = Retry | Never
Work = PoolStage | EngineStage | Idempotent | NonIdempotent


def classify(error: StepError, work: Work, overloaded: bool) -> RetryDecision:
    """Return whether a failed run is retried.

    A non-idempotent operation is retried only if it is certain that it did not run.

    :param overloaded: whether the stage's targets are overloaded; then only runs that did not
        start are retried, and not those that were refused because of overload.
    """
    if error.code in _PERMANENT:
        return Never()
    match work, error.outcome:
        case _, Outcome.NOT_RUN if error.code is ErrorCode.CONNECTION:
            return Retry(False, counted=False)
        case _, Outcome.NOT_RUN:
            return Never() if overloaded and error.code is ErrorCode.OVERLOADED else Retry(False)
        case NonIdempotent(), _:
            return Never()
        case _:
            return Never() if overloaded else Retry(True)


def hedge(work: Work, p95_s: float, overloaded: bool, attainment_weight: float) -> Hedge | Never:
    """Return the delay before the hedge of a slow run, or that it is not hedged.

    Hedges cost busy seconds, so there are none under overload or where cost has the higher weight.

    :param p95_s: 95th percentile of the stage's latency in seconds.
    :param attainment_weight: weight of the deadlines that are met, against cost.
    """
    if overloaded or attainment_weight < MIN_HEDGE_WEIGHT or p95_s <= 0.0:
        return Never()
    match work:
        case PoolStage() | Idempotent():
            return Hedge(HEDGE_FACTOR * p95_s)
        case EngineStage() | NonIdempotent():
            return Never()
