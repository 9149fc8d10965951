"""Guards against a second run of a non-idempotent operation and against retry storms."""

import pytest

from greengagehoist.base import ErrorCode, not_run, unknown
from greengagehoist.config import EngineStage, Idempotent, NonIdempotent, PoolStage
from greengagehoist.retries import (
    Hedge,
    Never,
    RequestBudget,
    Retry,
    RetryRatio,
    backoff,
    classify,
    hedge,
)

REFUSED = not_run("job-desk", ErrorCode.CONNECTION, "refused")
LOST = unknown("job-desk", ErrorCode.TARGET_FAILED, "timeout")
BUSY = not_run("job-desk", ErrorCode.OVERLOADED, "busy")


@pytest.mark.parametrize("overloaded", [False, True])
def test_unknown_non_idempotent_run_is_never_retried(overloaded):
    assert classify(LOST, NonIdempotent("book"), overloaded) == Never()


def test_refused_connection_is_retried_at_once():
    assert classify(REFUSED, NonIdempotent("book"), False) == Retry(False, counted=False)


def test_unknown_idempotent_run_is_retried_unless_overloaded():
    assert classify(LOST, Idempotent("look"), False) == Retry(True)
    assert classify(LOST, Idempotent("look"), True) == Never()
    assert classify(BUSY, Idempotent("look"), True) == Never()


def test_permanent_error_is_not_retried():
    error = not_run("quota", ErrorCode.OVER_PLAN, "over plan")
    assert classify(error, Idempotent("look"), False) == Never()


def test_ratio_limits_retries():
    ratio, allowed = RetryRatio(0.1), 0
    for _ in range(1000):
        ratio.observe_first()
        allowed += ratio.try_acquire()
    assert 95 <= allowed <= 102


def test_tokens_are_limited():
    ratio = RetryRatio(0.1)
    for _ in range(10_000):
        ratio.observe_first()
    assert sum(ratio.try_acquire() for _ in range(100)) == 5


def test_budget_decreases():
    assert RequestBudget(1).spend().left == 0


def test_hedges_only_idempotent_short_stages():
    stages = (PoolStage("encoder", "encoder"), EngineStage("engine", "engine", "m"))
    assert hedge(stages[0], 1.0, False, 0.8) == Hedge(1.2)
    assert hedge(stages[1], 1.0, False, 0.8) == Never()
    assert hedge(stages[0], 1.0, True, 0.8) == Never()
    assert hedge(stages[0], 1.0, False, 0.2) == Never()
    assert hedge(NonIdempotent("book"), 1.0, False, 1.0) == Never()


def test_backoff_is_jittered_and_capped(rng):
    delays = [backoff(20, rng) for _ in range(200)]
    assert 0.0 <= min(delays) < 0.1
    assert 0.9 < max(delays) <= 1.0
