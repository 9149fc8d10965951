"""Circuit breaker for calls to the platform, and the backoff delay for retries."""

import enum
import random
from typing import NamedTuple

from greengagehoist.base import build_machine, next_state

FAILURES_TO_OPEN = 5
BASE_OPEN_S = 0.5
MAX_OPEN_S = 10.0


class BreakerState(enum.StrEnum):
    """States of the circuit breaker; ``probing`` is half-open and admits a single call."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class BreakerEvent(enum.StrEnum):
    """Events that change the state of the circuit breaker."""

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

    :param failures: number of consecutive failures.
    :param times_opened: how often the breaker has opened since the last success.
    :param probe_at: time on the monotonic clock from which the next probe is allowed.
    """

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    times_opened: int = 0
    probe_at: float = 0.0


def admit(breaker: Breaker, now: float) -> tuple[Breaker, bool]:
    """Return the breaker and whether a call may start now."""
    match breaker.state:
        case BreakerState.CLOSED:
            return breaker, True
        case BreakerState.OPEN if now >= breaker.probe_at:
            state = next_state(MACHINE, breaker.state, BreakerEvent.PROBE)
            return breaker._replace(state=state), True
        case _:
            return breaker, False


def record_result(
    breaker: Breaker,
    ok: bool,
    now: float,
    rng: random.Random,
    max_open_s: float = MAX_OPEN_S,
) -> Breaker:
    """Return the breaker updated with the result of a call that it had admitted.

    :param max_open_s: maximum time until the next probe, in seconds.
    """
    if breaker.state is BreakerState.OPEN:
        return breaker
    if ok:
        return Breaker()
    failures = breaker.failures + 1
    if breaker.state is BreakerState.CLOSED and failures < FAILURES_TO_OPEN:
        return breaker._replace(failures=failures)
    pause = full_jitter(rng, breaker.times_opened, BASE_OPEN_S, max_open_s)
    state = next_state(MACHINE, breaker.state, BreakerEvent.TRIP)
    return Breaker(state, failures, breaker.times_opened + 1, now + pause)


def full_jitter(rng: random.Random, attempt: int, base: float, maximum: float) -> float:
    """Return a random delay in seconds: exponential backoff with full jitter.

    :param attempt: number of failed attempts before this one.
    :param base: upper bound of the first delay, in seconds.
    :param maximum: upper bound of all delays, in seconds.
    """
    return rng.uniform(0.0, min(maximum, base * 2.0 ** min(attempt, 32)))
