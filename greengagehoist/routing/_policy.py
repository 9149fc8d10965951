"""Load-balancing policies; all but :class:`ExpectedTime` are baselines for benchmarks."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExpectedTime:
    """Score sampled candidates by expected completion time and cost.

    :param samples: candidates scored for each choice, besides targets that have the prefix cached.
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
    """Choose the one of two random targets with fewer requests in flight from this daemon."""


Policy = ExpectedTime | RandomChoice | RoundRobin | LeastReported | PowerOfTwo
