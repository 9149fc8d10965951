"""Usable share of a plan's quota, healthy and under faults, in simulated time."""

import random
from collections.abc import Callable
from datetime import timedelta

from benchmarks._rows import Row
from greengagehoist.config import Config, Holding, Limits, PlanUsage
from greengagehoist.quota import Request
from greengagehoist.standins import Simulation

START = 1_767_225_600.0
SEED = 7
VMS = 7
DATA_CENTRES = 4
SETTLING_S = 115.0
MINUTE_S = 60.0
STEP_S = 0.02
# Demand as a multiple of the plan.
DEMAND_RATIO = 1.25
HOUR_S = 3600.0


def make_rows(quick: bool) -> list[Row]:
    """Return the usable shares of a plan.

    :param quick: measure only the shortest outage of the table.
    """
    rows = []
    for limit in (6400, 60):
        for name, choose in (("one VM", lambda rng: 0), ("random VMs", _random_vm)):
            share = _measure_minute(_start_simulation(limit), limit, choose)
            rows.append(Row(f"healthy, {limit}/min, demand at {name}", share, ">= 0.95", "of plan"))
    rows.extend(_measure_partition())
    rows.extend(_measure_table_outage((0.5,) if quick else (0.5, 3.5, 4.5)))
    return rows


def _random_vm(rng: random.Random) -> int:
    return rng.randrange(VMS)


def _start_simulation(limit: int) -> Simulation:
    """Return a simulation in which all slots are held, shortly before a minute begins."""
    usage = PlanUsage("crew", (), (), timedelta(seconds=10), 1, 0, Limits(limit, 0, 64 * VMS), None)
    cfg = Config(1, {"depot": Holding("depot", "crew", "")}, {"crew": usage}, {}, {})
    members = [(f"entry-{n}", f"dc{n % DATA_CENTRES}", 0.0) for n in range(VMS)]
    simulation = Simulation(cfg, members, START, SEED)
    simulation.advance(SETTLING_S)
    return simulation


def _measure_minute(
    simulation: Simulation, limit: int, choose: Callable[[random.Random], int]
) -> float:
    """Offer more load than the plan allows for one minute; return the share that was granted."""
    rng = random.Random(SEED)
    simulation.advance(MINUTE_S - simulation.now % MINUTE_S + 0.3)
    before = simulation.decided["granted"]
    sent = 0
    steps = int((MINUTE_S - 0.6) / STEP_S)
    for step in range(steps):
        while sent < limit * DEMAND_RATIO * (step + 1) / steps:
            request = Request(f"{simulation.now}/{sent}", "depot", 0, 1.0)
            simulation.reserve(simulation.nodes[choose(rng)], request)
            sent += 1
        simulation.advance(STEP_S)
        simulation.settle_some(0)
    return (simulation.decided["granted"] - before) / limit


def _measure_partition() -> list[Row]:
    """Measure with one data centre partitioned from the others and from the table."""
    limit, rows = 6400, []
    isolated_vms = [n for n in range(VMS) if n % DATA_CENTRES == 0]
    connected_vms = [n for n in range(VMS) if n % DATA_CENTRES != 0]
    for name, vms in (("in it", isolated_vms), ("elsewhere", connected_vms)):
        simulation = _start_simulation(limit)
        for other in range(1, DATA_CENTRES):
            simulation.cut_links.add(frozenset(("dc0", f"dc{other}")))
        simulation.cut_from_table.add("dc0")
        simulation.advance(3 * MINUTE_S)
        share = _measure_minute(simulation, limit, lambda rng, vms=vms: rng.choice(vms))
        rows.append(Row(f"data centre cut off, demand {name}", share, "", "of plan"))
    return rows


def _measure_table_outage(hours: tuple[float, ...]) -> list[Row]:
    limit, rows = 6400, []
    simulation = _start_simulation(limit)
    simulation.table_up = False
    outage_start = simulation.now
    for count in hours:
        simulation.advance(outage_start + count * HOUR_S - simulation.now)
        share = _measure_minute(simulation, limit, lambda rng: 0)
        rows.append(Row(f"table down for {count} h, demand at one VM", share, "", "of plan"))
    return rows
