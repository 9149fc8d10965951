"""Shared fixtures, the Hypothesis profile and deselection of the tests in KNOWN-RED.txt."""

from pathlib import Path

import pytest

from greengagehoist.standins._profiles import load_profile

load_profile()

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def known_red_tests() -> set[str]:
    """Return the test ids of KNOWN-RED.txt: lines of the form ``test: <id>``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def pytest_addoption(parser):
    parser.addoption(
        "--pass-over-known-red",
        action="store_true",
        help="deselect the tests listed in KNOWN-RED.txt",
    )


def pytest_collection_modifyitems(config, items):
    if not config.getoption("--pass-over-known-red"):
        return
    known_red = known_red_tests()
    deselected = [item for item in items if item.nodeid in known_red]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known_red]


@pytest.fixture
def clock():
    """Return a stepped clock that starts at 2026-01-01 00:00 UTC."""
    from greengagehoist.utils import SteppedClock

    return SteppedClock()


@pytest.fixture
def rng():
    """Return a random number generator with a fixed seed."""
    import random

    return random.Random(20260101)


@pytest.fixture
def group(tmp_path):
    """Return a process group that is killed at the end of the test."""
    from greengagehoist.standins import ProcessGroup

    processes = ProcessGroup(tmp_path)
    yield processes
    processes.stop_all()
