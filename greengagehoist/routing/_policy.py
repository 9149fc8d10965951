"""Policies of choice; all but :class:`ExpectedTime` are baselines for measurements."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExpectedTime:
    """Score sampled candidates by expected completion time and cost.

    :param samples: candidates that are scored for each choice, besides holders of the prefix.
    """

    samples: int = 3


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Choose uniformly at random."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Choose in turn."""


@dataclass(frozen=True, slots=True)
class LeastReported:
    """Choose the target with the least reported load."""


@dataclass(frozen=True, slots=True)
class PowerOfTwo:
    """Choose the less loaded of two random targets by own requests in flight."""


Policy = ExpectedTime | RandomChoice | RoundRobin | LeastReported | PowerOfTwo
