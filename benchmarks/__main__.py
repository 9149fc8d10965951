"""Runs the benchmarks, prints their tables and checks the bounds."""

import argparse
import json
import sys
import time
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path

from benchmarks import _experiments, _routing_cost
from benchmarks._rows import Row, is_within_bound, read_known_red

BUILD = Path(__file__).parent.parent / "build"
# Optional modules that define ``make_rows(quick) -> list[Row]``.
ROW_MODULES = ("_quota",)


def collect_rows(quick: bool) -> tuple[list[Row], str]:
    """Run all benchmarks and return the rows and the tables."""
    results = _experiments.run_all(quick)
    rows = _experiments.make_rows(results) + _routing_cost.make_rows(quick)
    for name in ROW_MODULES:
        if find_spec(f"benchmarks.{name}") is not None:
            rows += [Row(*row) for row in import_module(f"benchmarks.{name}").make_rows(quick)]
    return rows, _experiments.format_tables(results)


def report(rows: list[Row]) -> int:
    """Print the rows; return the exit code, 1 if a row not in KNOWN-RED.txt exceeds its bound."""
    known_red, broken = read_known_red(), []
    for row in rows:
        within_bound = is_within_bound(row)
        state = "ok" if within_bound else "known" if row.name in known_red else "BROKEN"
        print(f"{row.name:36} {row.value:10.3f} {row.unit:8} {row.bound or '-':10} {state}")
        if state == "BROKEN":
            broken.append(row)
        elif state == "known":
            print(f"  passed over: {known_red[row.name]}")
        elif row.bound and row.name in known_red:
            print(f"  listed in KNOWN-RED.txt but keeps its bound: {known_red[row.name]}")
    for row in broken:
        print(f"bound broken: {row.name} seen {row.value:.3f} bound {row.bound}", file=sys.stderr)
    return 1 if broken else 0


def main() -> int:
    """Parse the arguments, run the experiments and write the results to ``build/``."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks")
    parser.add_argument("--quick", action="store_true", help="run the short set for CI")
    quick = parser.parse_args().quick
    start = time.monotonic()
    rows, tables = collect_rows(quick)
    print(tables, end="\n\n")
    code = report(rows)
    BUILD.mkdir(exist_ok=True)
    path = BUILD / ("bench-quick.json" if quick else "bench.json")
    path.write_text(json.dumps([row._asdict() for row in rows], indent=1) + "\n")
    (BUILD / path.with_suffix(".md").name).write_text(tables + "\n")
    print(f"{time.monotonic() - start:.0f} s")
    return code


if __name__ == "__main__":
    sys.exit(main())
