"""Division of a remaining time, and the decision whether a request can still finish."""

from collections.abc import Sequence
from typing import NamedTuple

from greengagehoist.deadlines._estimator import StageTimes

LEAST_SHARE_S = 0.005


class Division(NamedTuple):
    """What the next stage may use.

    :param budget: seconds that the next stage may take so that the later stages keep theirs.
    :param hedge_after: seconds after which the stage is slower than usual.
    """

    budget: float
    hedge_after: float


def divide(remaining: float, stages: Sequence[StageTimes]) -> Division:
    """Divide the remaining seconds over the next stage and those after it.

    The median time of every stage is set aside first; what is left over is shared in proportion to
    the spread between the median and the 95th percentile. If the medians do not fit, the time is
    shared in proportion to them.

    :param stages: the next stage first; at least one.
    """
    medians = sum(stage.p50 for stage in stages)
    slack = remaining - medians
    if slack < 0.0:
        budget = remaining * stages[0].p50 / medians
    else:
        spreads = [stage.p95 - stage.p50 for stage in stages]
        total = sum(spreads)
        share = spreads[0] / total if total > 0.0 else 1.0 / len(stages)
        budget = stages[0].p50 + slack * share
    return Division(max(LEAST_SHARE_S, budget), stages[0].p95)


def can_finish(remaining: float, stages: Sequence[StageTimes]) -> bool:
    """Return whether the stages may fit into the remaining seconds.

    The sum of the 10th percentiles is the bound: a request is given up only if even quick runs of
    all its stages would not suffice.
    """
    return remaining > 0.0 and sum(stage.p10 for stage in stages) <= remaining
