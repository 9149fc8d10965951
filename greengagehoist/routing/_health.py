"""Ejection of outliers: targets that fail or are slow relative to their siblings."""

from dataclasses import dataclass
from statistics import median
from typing import Any

MOST_EJECTED = 0.3
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
FIRST_UNREACHABLE_S = 1.0
LONGEST_UNREACHABLE_S = 30.0
SLOW_START_S = 10.0
CONSECUTIVE_ERRORS = 5
ERROR_RATE = 0.5
SLOWNESS_RATIO = 3.0
FEWEST_SAMPLES = 8
SMOOTHING = 0.2


@dataclass(frozen=True, slots=True)
class Healthy:
    """Takes requests without penalty."""


@dataclass(frozen=True, slots=True)
class Ejected:
    """Takes no requests before ``until`` (monotonic seconds)."""

    until: float


@dataclass(frozen=True, slots=True)
class Probing:
    """Takes one request at a time; its end decides."""


@dataclass(frozen=True, slots=True)
class SlowStart:
    """Takes a growing share of requests from ``since`` (monotonic seconds)."""

    since: float


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Could not be connected; takes no requests before ``until`` or a load report."""

    until: float


Health = Healthy | Ejected | Probing | SlowStart | Unreachable


class Record:
    """Error rate and slowness of one target.

    Slowness is the latency divided by the expected latency; siblings share its scale.
    """

    __slots__ = (
        "consecutive",
        "ejections",
        "error_rate",
        "health",
        "samples",
        "slowness",
        "unreachable",
    )

    def __init__(self, health: Health):
        self.health = health
        self.error_rate = 0.0
        self.consecutive = 0
        self.slowness = 1.0
        self.samples = 0
        self.ejections = 0
        self.unreachable = 0

    def observe(self, ok: bool, slowness: float) -> None:
        """Take the end of one request."""
        self.samples += 1
        self.error_rate += SMOOTHING * ((not ok) - self.error_rate)
        self.consecutive = 0 if ok else self.consecutive + 1
        if ok:
            self.slowness += SMOOTHING * (min(slowness, 100.0) - self.slowness)

    def is_outlier(self, typical: float, typical_errors: float) -> bool:
        """Compare with the median slowness and error rate of the siblings."""
        if self.consecutive >= CONSECUTIVE_ERRORS and typical_errors < ERROR_RATE:
            return True
        if self.samples < FEWEST_SAMPLES:
            return False
        failing = self.error_rate > ERROR_RATE and self.error_rate > 2 * typical_errors
        return failing or self.slowness > SLOWNESS_RATIO * max(typical, 0.1)

    def eject(self, now: float) -> None:
        """Stop choosing the target for a time that doubles with each ejection."""
        length = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.health = Ejected(now + length)

    def observe_unreachable(self, now: float) -> None:
        """Skip the target for a time that doubles with each failed connection."""
        length = min(LONGEST_UNREACHABLE_S, FIRST_UNREACHABLE_S * 2**self.unreachable)
        self.unreachable = min(10, self.unreachable + 1)
        self.health = Unreachable(now + length)

    def observe_reachable(self) -> None:
        """Return a target to service that can be connected again."""
        self.unreachable = 0
        if isinstance(self.health, Unreachable):
            self.health = Healthy()

    def finish_probe(self, ok: bool, normal: bool, now: float) -> None:
        """Return to service after a good probe, or eject again."""
        if ok and normal:
            self.health, self.slowness, self.error_rate = SlowStart(now), 1.0, 0.0
            self.samples = 0
        else:
            self.eject(now)


def typical(records: list[Any]) -> tuple[float, float]:
    """Return the median slowness and error rate of the targets that are in service."""
    if not records:
        return 1.0, 0.0
    return median(r.slowness for r in records), median(r.error_rate for r in records)


def may_eject(ejected: int, total: int) -> bool:
    """Return whether one more target may be ejected."""
    return ejected + 1 <= MOST_EJECTED * total
