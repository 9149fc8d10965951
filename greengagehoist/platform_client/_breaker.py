"""Circuit breaker of the platform's calls and the backoff of callers that retry."""

import enum
import random
from typing import NamedTuple

from greengagehoist.base import build_machine, next_state

FAILURES_TO_OPEN = 5
FIRST_OPEN_S = 0.5
LONGEST_OPEN_S = 10.0


class BreakerState(enum.StrEnum):
    """States of the circuit breaker; ``probing`` lets one call through."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class BreakerEvent(enum.StrEnum):
    """What moves the circuit breaker."""

    TRIP = "trip"
    PROBE = "probe"
    RECOVER = "recover"


MACHINE = build_machine(
    BreakerState,
    [
        (BreakerEvent.TRIP, BreakerState.CLOSED, BreakerState.OPEN),
        (BreakerEvent.PROBE, BreakerState.OPEN, BreakerState.PROBING),
        (BreakerEvent.TRIP, BreakerState.PROBING, BreakerState.OPEN),
        (BreakerEvent.RECOVER, BreakerState.PROBING, BreakerState.CLOSED),
    ],
)


class Breaker(NamedTuple):
    """Circuit breaker.

    :param failures: failures in a row.
    :param opened: times that it opened in a row.
    :param until: instant on the monotonic clock at which the next probe is allowed.
    """

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    opened: int = 0
    until: float = 0.0


def admit(breaker: Breaker, now: float) -> tuple[Breaker, bool]:
    """Return the breaker and whether a call may start now."""
    match breaker.state:
        case BreakerState.CLOSED:
            return breaker, True
        case BreakerState.OPEN if now >= breaker.until:
            state = next_state(MACHINE, breaker.state, BreakerEvent.PROBE)
            return breaker._replace(state=state), True
        case _:
            return breaker, False


def observe(
    breaker: Breaker,
    ok: bool,
    now: float,
    rng: random.Random,
    longest_open: float = LONGEST_OPEN_S,
) -> Breaker:
    """Return the breaker after a call that it admitted has ended.

    :param longest_open: bound of the pause before the next probe, in seconds.
    """
    if breaker.state is BreakerState.OPEN:
        return breaker
    if ok:
        return Breaker()
    failures = breaker.failures + 1
    if breaker.state is BreakerState.CLOSED and failures < FAILURES_TO_OPEN:
        return breaker._replace(failures=failures)
    pause = full_jitter(rng, breaker.opened, FIRST_OPEN_S, longest_open)
    state = next_state(MACHINE, breaker.state, BreakerEvent.TRIP)
    return Breaker(state, failures, breaker.opened + 1, now + pause)


def full_jitter(rng: random.Random, attempt: int, first: float, longest: float) -> float:
    """Return a delay in seconds, uniform up to an exponential bound.

    :param attempt: failed attempts before this one, from 0.
    :param first: bound of the first delay, in seconds.
    :param longest: largest bound, in seconds.
    """
    return rng.uniform(0.0, min(longest, first * 2.0 ** min(attempt, 32)))
