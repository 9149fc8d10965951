"""Guards against more requests for a cold replica than it survives, while daemons fail and start."""

import asyncio
from bisect import bisect_left

import pytest

from greengagehoist.gateway.controllers import AcquireSend
from greengagehoist.gateway.controllers._replicas import ReplicasChanged
from greengagehoist.gateway.tests.limit_simulation import (
    COLD_RULE,
    REPLICA,
    STEP_S,
    Simulation,
    cut,
    freeze,
    kill_and_start,
)
from greengagehoist.replicas import JITTER_S, PERMIT_TTL_S, Granted, ReplicaTable

PER_S = 8.0
ALLOWED = COLD_RULE.overshoot * PER_S + COLD_RULE.slack
HUBS = 6
# All daemons have read an entry within this time.
READ_S = 1.5
COLD_S = 6.0


class ColdSimulation(Simulation):
    """Daemons that send many requests to a replica that turns cold again and again.

    :ivar arrivals: times at which requests have reached it.
    :ivar periods: times from which all daemons know that it is cold, and to which it is.
    """

    def __init__(self, count, seed, per_s=0.0):
        hubs = HUBS if count > 30 else 0
        super().__init__(count, per_s, seed, hubs, PER_S, skew_s=0.4)
        self.arrivals: list[float] = []
        self.periods: list[tuple[float, float]] = []
        self.row = 0
        self.entry = REPLICA._replace(cold_s=0.0)

    def tell_list(self, daemon):
        daemon.controller.tell(ReplicasChanged(ReplicaTable({"r": self.entry}, read_at=0.0)))

    async def _read_later(self, daemon):
        await self.clock.sleep(self.rng.uniform(0.0, READ_S))
        self.tell_list(daemon)

    def change_entry(self, **fields):
        self.entry = self.entry._replace(**fields)
        for daemon in self.daemons.values():
            task = asyncio.create_task(self._read_later(daemon))
            self.asks.add(task)
            task.add_done_callback(self.asks.discard)

    async def turn_cold(self):
        """Turn cold at random times; the entry changes at once and is read later."""
        while True:
            await self.clock.sleep(self.rng.uniform(0.5, 4.0))
            self.row += 1
            now = self.clock.monotonic()
            self.periods.append((now + READ_S + JITTER_S, now + COLD_S))
            self.change_entry(cold_s=COLD_S, cold_row=self.row)
            await self.clock.sleep(COLD_S + READ_S)
            self.change_entry(cold_s=0.0, cold_row=0)

    def start(self, daemon):
        """A daemon that starts reads the list before it sends anything."""
        self.tell_list(daemon)

    def _ask_for_some(self):
        """Ask for five times the allowance, at daemons with different shares of the requests."""
        names = sorted(self.daemons)
        for _ in range(round(5 * PER_S * STEP_S)):
            vm = names[int(len(names) * self.rng.random() ** 2)]
            daemon = self.daemons[vm]
            if daemon.is_frozen or not daemon.controller._cold.replicas._listed:
                continue
            wait_s = self.rng.choice((0.0, 0.0, 0.5, 2.0))
            task = asyncio.create_task(
                self._send(vm, AcquireSend(REPLICA, self.rng.randrange(3), wait_s))
            )
            self.asks.add(task)
            task.add_done_callback(self.asks.discard)

    async def _send(self, vm, ask):
        daemon = self.daemons[vm]
        if await daemon.controller.ask(ask) != Granted():
            return
        connect_s = self.rng.uniform(0.0, JITTER_S)
        until = self.clock.monotonic() + PERMIT_TTL_S
        await self.clock.sleep(connect_s)
        is_cold = ("r", REPLICA.born_ms) in daemon.controller.cold.value
        if not daemon.is_frozen and (not is_cold or self.clock.monotonic() <= until):
            self.arrivals.append(self.clock.monotonic())

    def most_in_a_second(self):
        most = 0
        for start, end in self.periods:
            times = sorted(at for at in self.arrivals if start <= at < end)
            most = max([most, *(bisect_left(times, at + 1.0) - n for n, at in enumerate(times))])
        return most

    def cold_rate(self):
        seconds = sum(end - start for start, end in self.periods)
        return (
            sum(start <= at < end for start, end in self.periods for at in self.arrivals) / seconds
        )


@pytest.fixture
def play():
    """Return a function that plays a history; returns the simulation."""

    def run(count, seed, faults=(), seconds=25.0):
        async def main():
            simulation = ColdSimulation(count, seed)
            for daemon in simulation.daemons.values():
                simulation.start(daemon)
            await simulation.clock.advance(0.1)
            simulation.update_reach()
            await simulation.run(seconds, (ColdSimulation.turn_cold, *faults))
            simulation.stop()
            return simulation

        return asyncio.run(main())

    return run


@pytest.mark.parametrize("seed", range(16))
def test_daemons_keep_the_allowance_of_a_cold_replica_together(play, seed):
    simulation = play(7, seed, (kill_and_start, freeze, cut))
    assert simulation.most_in_a_second() <= ALLOWED


@pytest.mark.parametrize("count", [72, 90])
def test_allowance_is_kept_by_many_daemons(play, count):
    simulation = play(count, 1, (kill_and_start, freeze, cut), seconds=20.0)
    assert simulation.most_in_a_second() <= ALLOWED


@pytest.mark.parametrize("count", [1, 7, 72])
def test_cold_replica_gets_what_it_may_take(play, count):
    """A margin that is too large would waste the replicas that a deployment has just started."""
    simulation = play(count, 1)
    assert simulation.cold_rate() >= 0.7 * PER_S
