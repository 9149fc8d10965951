"""Decision whether a failed or slow stage run is attempted again."""

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
LEAST_HEDGE_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class Retry:
    """Attempt again on another target.

    :param delayed: whether to wait for the backoff first.
    :param counted: whether it counts towards the ratio; an attempt that could not connect put no
        load on a target.
    """

    delayed: bool
    counted: bool = True


@dataclass(frozen=True, slots=True)
class Never:
    """Return the error to the caller."""


@dataclass(frozen=True, slots=True)
class Hedge:
    """Send a second attempt if there is no answer after ``after`` seconds."""

    after: float


RetryDecision = Retry | Never
Work = PoolStage | EngineStage | Idempotent | NonIdempotent


def classify(error: StepError, work: Work, overloaded: bool) -> RetryDecision:
    """Return whether a failed run may be attempted again.

    A non-idempotent operation is attempted again only if it certainly was not run.

    :param overloaded: whether the stage's targets are overloaded; then only runs that a target
        refused are moved to another target.
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


def hedge(
    work: Work, hedge_after: float, overloaded: bool, attainment_weight: float
) -> Hedge | Never:
    """Return when a second attempt of a slow run may be sent.

    Hedges cost busy seconds, so they are off under overload and where cost weighs more.

    :param hedge_after: 95th percentile of the stage in seconds.
    """
    if overloaded or attainment_weight < LEAST_HEDGE_WEIGHT or hedge_after <= 0.0:
        return Never()
    match work:
        case PoolStage() | Idempotent():
            return Hedge(HEDGE_FACTOR * hedge_after)
        case EngineStage() | NonIdempotent():
            return Never()
