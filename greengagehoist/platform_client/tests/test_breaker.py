"""Guards against calls to a platform that is down and against synchronized probes."""

import random

from greengagehoist.platform_client._breaker import (
    FAILURES_TO_OPEN,
    MAX_OPEN_S,
    Breaker,
    BreakerState,
    admit,
    full_jitter,
    record_result,
)


def opened(rng, now=0.0):
    breaker = Breaker()
    for _ in range(FAILURES_TO_OPEN):
        breaker = record_result(breaker, False, now, rng)
    return breaker


def test_opens_after_consecutive_failures(rng):
    breaker = Breaker()
    for ok in [False] * (FAILURES_TO_OPEN - 1) + [True] + [False] * (FAILURES_TO_OPEN - 1):
        breaker = record_result(breaker, ok, 0.0, rng)
    assert breaker.state is BreakerState.CLOSED
    assert record_result(breaker, False, 0.0, rng).state is BreakerState.OPEN


def test_one_probe_at_a_time(rng):
    breaker = opened(rng)
    assert admit(breaker, breaker.probe_at - 0.001)[1] is False
    breaker, admitted = admit(breaker, breaker.probe_at)
    assert admitted
    assert admit(breaker, breaker.probe_at)[1] is False
    assert record_result(breaker, True, 1.0, rng) == Breaker()
    again = record_result(breaker, False, 1.0, rng)
    assert (again.state, again.times_opened) == (BreakerState.OPEN, 2)


def test_late_success_does_not_close_an_open_breaker(rng):
    assert record_result(opened(rng), True, 0.0, rng).state is BreakerState.OPEN


def test_jitter_covers_its_range(rng):
    assert {opened(random.Random(seed)).probe_at for seed in range(5)}.__len__() == 5
    assert max(full_jitter(rng, 40, 0.5, MAX_OPEN_S) for _ in range(200)) > MAX_OPEN_S / 2
