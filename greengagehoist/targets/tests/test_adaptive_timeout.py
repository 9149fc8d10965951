"""Guards against an idle timeout that stays too short after a target has become slower."""

from greengagehoist.targets._adaptive_timeout import (
    INITIAL_TIMEOUT_S,
    MIN_TIMEOUT_S,
    RECOMPUTE_INTERVAL_SAMPLES,
    AdaptiveTimeout,
)


def observe(timeout, wait, count):
    for _ in range(count):
        timeout.observe(wait)


def test_initial_timeout_applies_until_there_are_enough_samples():
    timeout = AdaptiveTimeout()
    observe(timeout, 0.001, 10)
    assert timeout.current() == INITIAL_TIMEOUT_S


def test_fast_target_gets_the_minimum_timeout():
    timeout = AdaptiveTimeout()
    observe(timeout, 0.001, 200)
    assert timeout.current() == MIN_TIMEOUT_S


def test_timed_out_waits_raise_the_timeout_for_a_slower_target():
    timeout = AdaptiveTimeout()
    observe(timeout, 0.001, 200)
    response_time = 3.0
    for _ in range(4 * RECOMPUTE_INTERVAL_SAMPLES):
        timeout.observe(min(response_time, timeout.current()))
    assert timeout.current() > response_time
