"""Division of a request's remaining time among its stages, and the test whether it can finish."""

from collections.abc import Sequence
from typing import NamedTuple

from greengagehoist.deadlines._estimator import StageTimes

MIN_BUDGET_S = 0.005


class Division(NamedTuple):
    """Time limits of the next stage.

    :param budget: seconds that the next stage may take without using up the time of later stages.
    :param hedge_after: seconds after which the stage counts as slow: its 95th percentile.
    """

    budget: float
    hedge_after: float


def divide(remaining: float, stages: Sequence[StageTimes]) -> Division:
    """Divide the remaining seconds among the next stage and the later ones.

    Each stage is given its median latency, and the slack is shared in proportion to the spread
    between median and 95th percentile. If the remaining time is shorter than the sum of the
    medians, it is shared in proportion to the medians.

    :param stages: the next stage first; at least one.
    """
    total_median = sum(stage.p50 for stage in stages)
    slack = remaining - total_median
    if slack < 0.0:
        budget = remaining * stages[0].p50 / total_median
    else:
        spreads = [stage.p95 - stage.p50 for stage in stages]
        total_spread = sum(spreads)
        share = spreads[0] / total_spread if total_spread > 0.0 else 1.0 / len(stages)
        budget = stages[0].p50 + slack * share
    return Division(max(MIN_BUDGET_S, budget), stages[0].p95)


def can_finish(remaining: float, stages: Sequence[StageTimes]) -> bool:
    """Return whether the stages can still finish in the remaining seconds.

    The stages are assumed to need their 10th percentiles, so that a request is rejected only if it
    would be late even with fast runs of all stages.
    """
    return remaining > 0.0 and sum(stage.p10 for stage in stages) <= remaining
