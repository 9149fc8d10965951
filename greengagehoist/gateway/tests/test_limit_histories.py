"""Guards against sums beyond a replica's limit while daemons fail, start and are cut off."""

import asyncio

import pytest

from greengagehoist.gateway.controllers import LimitObserved
from greengagehoist.gateway.tests.limit_simulation import (
    CONTACT_S,
    REPLICA,
    WINDOW_S,
    Simulation,
    cut,
    freeze,
    kill_and_start,
)
from greengagehoist.replicas import Limited

FACTOR = 1.5
SLACK = 5
HUBS = 6


@pytest.fixture
def play():
    """Return a function that plays a history; returns the simulation."""

    def run(count, per_s, seed, faults=(), seconds=25.0):
        async def main():
            simulation = Simulation(count, per_s, seed, HUBS if count > 30 else 0)
            await simulation.clock.advance(0.1)
            simulation.update_reach()
            first = simulation.daemons["vm0"].controller
            first.tell(LimitObserved(REPLICA, Limited(per_s), simulation.clock.monotonic()))
            await simulation.run(seconds, faults)
            simulation.stop()
            return simulation

        return asyncio.run(main())

    return run


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("per_s", [0.0, 1.0, 6.0])
def test_daemons_keep_a_limit_together_whatever_fails(play, per_s, seed):
    simulation = play(7, per_s, seed, (kill_and_start, freeze, cut))
    allowed = FACTOR * WINDOW_S * per_s + SLACK
    assert simulation.most_in_window(CONTACT_S) <= allowed


@pytest.mark.parametrize("count", [68, 195])
def test_limit_is_kept_by_many_daemons(play, count):
    """A burst of one request for each daemon would exceed it."""
    simulation = play(count, 1.0, 1, (kill_and_start, freeze, cut), seconds=15.0)
    assert simulation.most_in_window(CONTACT_S) <= FACTOR * WINDOW_S * 1.0 + SLACK


@pytest.mark.parametrize("count", [1, 7, 68])
def test_limit_is_used_where_requests_wait_for_it(play, count):
    simulation = play(count, 6.0, 1)
    used = sum(item.at > CONTACT_S for item in simulation.grants)
    assert used >= 0.9 * 6.0 * (25.0 - CONTACT_S)
