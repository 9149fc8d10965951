"""Outlier detection: ejects targets that fail or are slow relative to others of their role."""

from dataclasses import dataclass
from statistics import median
from typing import Any

MAX_EJECTED_FRACTION = 0.3
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
BASE_UNREACHABLE_S = 1.0
MAX_UNREACHABLE_S = 30.0
SLOW_START_S = 10.0
CONSECUTIVE_ERROR_LIMIT = 5
ERROR_RATE_LIMIT = 0.5
SLOWNESS_RATIO = 3.0
MIN_SAMPLES = 8
SMOOTHING = 0.2


@dataclass(frozen=True, slots=True)
class Healthy:
    """Receives requests without penalty."""


@dataclass(frozen=True, slots=True)
class Ejected:
    """Receives no requests before ``until`` (monotonic seconds)."""

    until: float


@dataclass(frozen=True, slots=True)
class Probing:
    """Receives one request at a time, whose outcome ends the probe."""


@dataclass(frozen=True, slots=True)
class SlowStart:
    """Receives a growing share of requests from ``since`` (monotonic seconds)."""

    since: float


@dataclass(frozen=True, slots=True)
class Unreachable:
    """A connection failed; receives no requests before ``until`` or the next load report."""

    until: float


Health = Healthy | Ejected | Probing | SlowStart | Unreachable


class HealthRecord:
    """Error rate and slowness of one target.

    Slowness is the ratio of measured to expected latency. An error in the expectation affects all
    targets of a role alike, so slowness is judged against the median of the role.
    """

    __slots__ = (
        "consecutive_errors",
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
        self.consecutive_errors = 0
        self.slowness = 1.0
        self.samples = 0
        self.ejections = 0
        self.unreachable = 0

    def observe(self, ok: bool, slowness: float) -> None:
        """Record the outcome of one request."""
        self.samples += 1
        self.error_rate += SMOOTHING * ((not ok) - self.error_rate)
        self.consecutive_errors = 0 if ok else self.consecutive_errors + 1
        if ok:
            self.slowness += SMOOTHING * (min(slowness, 100.0) - self.slowness)

    def is_outlier(self, median_slowness: float, median_error_rate: float) -> bool:
        """Return whether the target is an outlier against the medians of its role."""
        if (
            self.consecutive_errors >= CONSECUTIVE_ERROR_LIMIT
            and median_error_rate < ERROR_RATE_LIMIT
        ):
            return True
        if self.samples < MIN_SAMPLES:
            return False
        failing = self.error_rate > ERROR_RATE_LIMIT and self.error_rate > 2 * median_error_rate
        return failing or self.slowness > SLOWNESS_RATIO * max(median_slowness, 0.1)

    def eject(self, now: float) -> None:
        """Eject the target for a time that doubles with each ejection."""
        duration = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.health = Ejected(now + duration)

    def observe_unreachable(self, now: float) -> None:
        """Exclude the target for a time that doubles with each failed connection."""
        duration = min(MAX_UNREACHABLE_S, BASE_UNREACHABLE_S * 2**self.unreachable)
        self.unreachable = min(10, self.unreachable + 1)
        self.health = Unreachable(now + duration)

    def observe_reachable(self) -> None:
        """Record that the target accepts connections, which returns an unreachable one to service."""
        self.unreachable = 0
        if isinstance(self.health, Unreachable):
            self.health = Healthy()

    def finish_probe(self, ok: bool, normal: bool, now: float) -> None:
        """Return the target to service after a successful probe at normal latency, or eject it."""
        if ok and normal:
            self.health, self.slowness, self.error_rate = SlowStart(now), 1.0, 0.0
            self.samples = 0
        else:
            self.eject(now)


def compute_medians(records: list[Any]) -> tuple[float, float]:
    """Return the median slowness and error rate of the targets in service."""
    if not records:
        return 1.0, 0.0
    return median(r.slowness for r in records), median(r.error_rate for r in records)


def may_eject(ejected: int, total: int) -> bool:
    """Return whether one more target may be ejected."""
    return ejected + 1 <= MAX_EJECTED_FRACTION * total
