"""Deployments of the work page, for the queueing model."""

import random

from greengagehoist.deployment import PoolLimits, Route, Stage, Streaming
from greengagehoist.gateway.tests.overload_model import Deployment, Kind

LARGE_RESULT = 3e6


def _pool(batch: int, call_ms: float, piece_ms: float, result_mb: float) -> PoolLimits:
    return PoolLimits(batch, call_ms / 1000, piece_ms / 1000, result_mb * 1e6)


def _route(name: str, priority: int, target_s: float, stages: tuple[Stage, ...]) -> Route:
    kind = Streaming(True, 0.8)
    return Route(name, "h", f"/{name}", kind, 30.0, target_s, priority, (), 2, stages, False)


LONG_STAGES = (Stage("p1", (), LARGE_RESULT),)
CHAIN = (Stage("p1", (), 8e3), Stage("p2", (0,), 60e3), Stage("p3", (1,), 6e3))
# The stage with large results comes first in the list, as the stage filter starts it last.
SHORT_STAGES = (
    Stage("p1", (), LARGE_RESULT),
    Stage("p1", (), 8e3),
    Stage("p2", (1,), 60e3),
    Stage("p3", (2,), 6e3),
)


def _geometric(rng: random.Random, mean: float, most: int) -> int:
    count = 1
    while count < most and rng.random() < 1 - 1 / mean:
        count += 1
    return count


def _long_counts(rng: random.Random) -> tuple[int, ...]:
    return (_geometric(rng, 2.5, 12) if rng.random() < 0.7 else 0,)


def _middle_counts(rng: random.Random) -> tuple[int, ...]:
    factor = rng.choice((0.5, 0.75, 1.0, 1.0, 1.25, 1.5))
    return 1, round(8 * factor), round(16 * factor)


def _short_counts(rng: random.Random) -> tuple[int, ...]:
    large = _geometric(rng, 1.5, 6) if rng.random() < 0.4 else 0
    return (large, *_middle_counts(rng))


def _kinds(
    rates: tuple[float, float, float],
    targets_s: tuple[float, float, float],
    engine_s: tuple[float, float, float],
) -> tuple[Kind, ...]:
    return (
        Kind(
            _route("long", 1, targets_s[0], LONG_STAGES), rates[0], 8.0, engine_s[0], _long_counts
        ),
        Kind(_route("middle", 2, targets_s[1], CHAIN), rates[1], 8.0, engine_s[1], _middle_counts),
        Kind(
            _route("short", 0, targets_s[2], SHORT_STAGES),
            rates[2],
            8.0,
            engine_s[2],
            _short_counts,
        ),
    )


DEPLOYMENT_A = Deployment(
    {
        "p1": (6, _pool(8, 150, 16, 46)),
        "p2": (8, _pool(23, 150, 5.63, 4.12)),
        "p3": (9, _pool(40, 150, 3.2, 0.72)),
    },
    _kinds((18.0, 21.4, 19.1), (1.263, 4.045, 1.526), (0.2, 0.1, 0.05)),
)
DEPLOYMENT_B = Deployment(
    {
        "p1": (9, _pool(11, 150, 12, 62.3)),
        "p2": (8, _pool(51, 150, 2.54, 8.97)),
        "p3": (8, _pool(84, 150, 1.5, 1.49)),
    },
    _kinds((48.8, 35.2, 59.0), (1.363, 1.945, 1.726), (0.2, 0.1, 0.05)),
)
SMALL_DEPLOYMENT = Deployment(
    {
        "p1": (4, _pool(5, 150, 25.6, 46)),
        "p2": (4, _pool(18, 150, 7.2, 4.12)),
        "p3": (4, _pool(36, 150, 3.5, 0.72)),
    },
    _kinds((7.4, 3.9, 12.4), (1.263, 4.045, 1.526), (0.2, 0.1, 0.05)),
)
