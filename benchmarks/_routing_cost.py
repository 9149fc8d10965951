"""Elapsed time of a routing decision over few and many targets."""

import random
import statistics
import time

from benchmarks._rows import Row
from greengagehoist.routing import Demand, LoadReport, Member, Roster

FEW, MANY = 10, 12_000
DECISIONS = 4000
IN_FLIGHT = 40
WORK_S = 1.0


def measure_decision(count: int) -> float:
    """Return the median time (us) of a decision over ``count`` targets in 12 data centres."""
    rng = random.Random(7)
    roster = Roster("vm0", "dc0", {f"dc{index}": 0.001 * index for index in range(12)})
    for index in range(count):
        roster.add(Member(f"t{index}", f"dc{index % 12}"), 0.0)
    for name in roster.candidates():
        roster.observe_report(name, LoadReport(0, rng.randrange(16), 16, 0.0))
    sent: list[tuple[str, str]] = []
    times = []
    for number in range(DECISIONS):
        now, first = number * 0.001, 8 * rng.randrange(40)
        demand = Demand(str(number), WORK_S, tuple(range(first, first + 8)), 0.04)
        start = time.perf_counter()
        name = roster.choose(demand, now, rng)
        times.append(time.perf_counter() - start)
        roster.observe_sent(name, demand, now)
        sent.append((name, demand.request_id))
        if len(sent) > IN_FLIGHT:
            roster.observe_done(*sent.pop(0), WORK_S, True, now)
    return 1e6 * statistics.median(times)


def make_rows(quick: bool) -> list[Row]:
    """Return the rows.

    In the quick set only the ratio has a bound, because absolute times vary by machine.
    """
    few, many = measure_decision(FEW), measure_decision(MANY)
    return [
        Row("routing-decision-10", few, "" if quick else "<= 20", "us"),
        Row("routing-decision-12000", many, "" if quick else "<= 200", "us"),
        Row("routing-decision-ratio", many / few, "<= 10", "ratio"),
    ]
