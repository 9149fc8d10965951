"""Guards against calls to a platform that is down and against probes in step."""

import random

from greengagehoist.platform_client._breaker import (
    FAILURES_TO_OPEN,
    LONGEST_OPEN_S,
    Breaker,
    BreakerState,
    admit,
    full_jitter,
    observe,
)


def opened(rng, now=0.0):
    breaker = Breaker()
    for _ in range(FAILURES_TO_OPEN):
        breaker = observe(breaker, False, now, rng)
    return breaker


def test_opens_after_failures_in_a_row(rng):
    breaker = Breaker()
    for ok in [False] * (FAILURES_TO_OPEN - 1) + [True] + [False] * (FAILURES_TO_OPEN - 1):
        breaker = observe(breaker, ok, 0.0, rng)
    assert breaker.state is BreakerState.CLOSED
    assert observe(breaker, False, 0.0, rng).state is BreakerState.OPEN


def test_one_probe_at_a_time(rng):
    breaker = opened(rng)
    assert admit(breaker, breaker.until - 0.001)[1] is False
    breaker, admitted = admit(breaker, breaker.until)
    assert admitted
    assert admit(breaker, breaker.until)[1] is False
    assert observe(breaker, True, 1.0, rng) == Breaker()
    again = observe(breaker, False, 1.0, rng)
    assert (again.state, again.opened) == (BreakerState.OPEN, 2)


def test_late_end_does_not_close_an_open_breaker(rng):
    assert observe(opened(rng), True, 0.0, rng).state is BreakerState.OPEN


def test_jitter_covers_its_range(rng):
    assert {opened(random.Random(seed)).until for seed in range(5)}.__len__() == 5
    assert max(full_jitter(rng, 40, 0.5, LONGEST_OPEN_S) for _ in range(200)) > LONGEST_OPEN_S / 2
