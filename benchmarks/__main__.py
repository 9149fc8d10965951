"""Runs the experiments and prints their tables."""

import argparse


def main() -> None:
    """Parse the arguments and run the experiments."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks")
    parser.add_argument("--quick", action="store_true", help="run the short set for CI")
    parser.parse_args()
    print("no experiment is defined")


if __name__ == "__main__":
    main()
