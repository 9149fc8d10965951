"""Runs the experiments and prints their tables."""

import argparse

from benchmarks._quota import run_quota


def main() -> None:
    """Parse the arguments and run the experiments."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks")
    parser.add_argument("--quick", action="store_true", help="run the short set for CI")
    args = parser.parse_args()
    for name, value, bound in run_quota(quick=args.quick):
        print(f"{name:<50} {value:8.3f} {bound}")


if __name__ == "__main__":
    main()
