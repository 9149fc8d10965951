"""Capacity series, their least-squares fit and helpers that measure CPU time and memory."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

BATCHES = 3


class Series(NamedTuple):
    """A quantity measured at several sizes.

    :param unit: unit of the values.
    :param per: unit of the sizes, such as ``targets``.
    :param points: (size, value) pairs in order of the sizes.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]


class Line(NamedTuple):
    """Least-squares line through the points of a series.

    :param residual: root mean square error of the fit.
    """

    slope: float
    intercept: float
    residual: float


def fit_line(points: tuple[tuple[float, float], ...]) -> Line:
    """Return the least-squares line.

    :raises ValueError: if there are fewer than three points.
    """
    if len(points) < 3:
        raise ValueError(f"points: got {len(points)}, accepted: 3 or more")
    sizes, values = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(sizes, values)
    squares = [(value - intercept - slope * size) ** 2 for size, value in points]
    return Line(slope, intercept, statistics.fmean(squares) ** 0.5)


def cpu_us(action: Callable[[], Any], repeats: int) -> float:
    """Return the CPU time (us) of one call as the median of ``BATCHES`` batches."""
    times = []
    for _ in range(BATCHES):
        start = time.process_time()
        for _ in range(repeats):
            action()
        times.append((time.process_time() - start) / repeats)
    return 1e6 * statistics.median(times)


def memory_bytes(build: Callable[[], Any]) -> float:
    """Return the bytes allocated for the result of ``build``."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    current = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(current)
