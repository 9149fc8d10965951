"""Measures cost against size; docs/CAPACITY.md derives the supported deployment size from it."""

import json
import platform
import time
from pathlib import Path
from typing import Any

import psutil
from loguru import logger

from benchmarks import _capacity_lists, _capacity_peers, _capacity_quota, _capacity_requests
from benchmarks._capacity_fit import Series, fit_line

OUTPUT = Path("build") / "capacity.json"
MODULES = (_capacity_peers, _capacity_lists, _capacity_quota, _capacity_requests)


def _series_to_dict(series: Series) -> dict[str, Any]:
    return series._asdict() | fit_line(series.points)._asdict()


def _print_series(series: Series) -> None:
    line = fit_line(series.points)
    points = ", ".join(f"{size:g}: {value:.4g}" for size, value in series.points)
    print(f"{series.name} [{series.unit} by {series.per}]")
    print(f"    points     {points}")
    print(
        f"    line       {line.slope:.4g} x + {line.intercept:.4g}, residual {line.residual:.3g}",
        flush=True,
    )


def main() -> None:
    """Run all measurements, print them and write them to ``build/``."""
    logger.disable("greengagehoist")
    start, measured = time.monotonic(), []
    for module in MODULES:
        for series in module.measure():
            _print_series(series)
            measured.append(series)
    conditions = {
        "python": platform.python_version(),
        "cores": psutil.cpu_count(),
        "load_1min": psutil.getloadavg()[0],
        "wall_s": time.monotonic() - start,
        "resident_mib": psutil.Process().memory_info().rss / 2**20,
    }
    print("conditions: " + ", ".join(f"{key} {value}" for key, value in conditions.items()))
    OUTPUT.parent.mkdir(exist_ok=True)
    content = {"conditions": conditions, "series": [_series_to_dict(item) for item in measured]}
    OUTPUT.write_text(json.dumps(content, indent=1))


if __name__ == "__main__":
    main()
