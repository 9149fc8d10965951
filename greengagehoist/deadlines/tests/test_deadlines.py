"""Guards against biased estimates, and against divisions that starve later stages."""

import pytest

from greengagehoist.deadlines import (
    QuantileEstimator,
    StageEstimates,
    StageTimes,
    can_finish,
    divide,
)


@pytest.mark.parametrize(("quantile", "expected"), [(0.1, 0.1), (0.5, 0.5), (0.95, 0.95)])
def test_estimator_converges_to_the_quantile(quantile, expected, rng):
    estimator = QuantileEstimator(quantile)
    for _ in range(5000):
        estimator.observe(rng.random())
    assert estimator.value == pytest.approx(expected, abs=0.08)


def test_estimator_follows_a_change(rng):
    estimator = QuantileEstimator(0.5)
    for scale in (1.0, 10.0):
        for _ in range(1000):
            estimator.observe(scale * rng.uniform(0.9, 1.1))
    assert estimator.value == pytest.approx(10.0, rel=0.1)


def test_unknown_stage_has_the_initial_times():
    assert StageEstimates().snapshot("encoder") == StageTimes(0.0, 0.0, 0.0)


def test_division_keeps_the_later_stages_medians():
    stages = [StageTimes(0.1, 0.2, 0.4), StageTimes(1.0, 2.0, 3.0)]
    assert divide(4.0, stages).budget <= 2.0
    assert divide(1.1, stages).budget == pytest.approx(0.1)


def test_last_stage_gets_all_that_remains():
    assert divide(4.0, [StageTimes(1.0, 2.0, 3.0)]).budget == pytest.approx(4.0)


def test_request_is_rejected_only_if_fast_runs_do_not_fit():
    stages = [StageTimes(0.5, 2.0, 3.0), StageTimes(0.5, 2.0, 3.0)]
    assert can_finish(1.0, stages)
    assert not can_finish(0.9, stages)
    assert not can_finish(0.0, [])
