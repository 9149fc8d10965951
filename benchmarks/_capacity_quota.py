"""Cost of quota enforcement: reservations, memory, lease writes and messages between daemons."""

import itertools
import random
from collections import Counter
from datetime import timedelta

from benchmarks._capacity_fit import Series, cpu_us, memory_bytes
from greengagehoist.config import Config, Holding, Limits, PlanUsage
from greengagehoist.quota import Instant, LeaseBook, Ledger, Request, Reservation, SlotWrite
from greengagehoist.standins import Simulation

START = 1_767_225_600.0
# Requests are reserved in the window after the one in which the slots were acquired.
ACQUIRED_AT, RESERVED_AT = START + 50.0, START + 65.0
CUSTOMERS = (1_000, 4_000, 12_000)
HOLDERS = (32, 8, 1)
VMS = (7, 56, 168)
SETTLING_S = 125.0
COUNTED_S = 60.0
REQUESTS = 300
MESSAGE_CUSTOMERS = 100
DATA_CENTRES = 12
SEED = 7


def _make_config(customers: int) -> Config:
    limits = Limits(6_400, 6_400_000, 640_000)
    usage = PlanUsage("crew", (), (), timedelta(seconds=10), 1, 0, limits, None)
    names = [f"customer-{n:05}" for n in range(customers)]
    return Config(1, {n: Holding(n, "crew", "") for n in names}, {"crew": usage}, {}, {})


def _acquire_slots(holders: int) -> LeaseBook:
    """Return the lease book of one of ``holders`` VMs that share the slots equally."""
    book = LeaseBook("vm000", "dc0", 1)
    sent = Instant(ACQUIRED_AT, 50.0)
    book.observe_rows([], ACQUIRED_AT, sent, sent)
    members = {f"vm{n:03}": "dc0" for n in range(holders)}
    while writes := book.plan_writes(sent, members, draining=False, longest=0.0):
        for write in writes:
            book.observe_written(write, 1, ACQUIRED_AT, sent, sent)
    return book


def _reserve_first(ledger: Ledger, customers: int) -> None:
    """Open a quota window for each customer by reserving and settling one request."""
    now = Instant(RESERVED_AT, 65.0)
    for n in range(customers):
        result = ledger.reserve(Request(f"first-{n}", f"customer-{n:05}", 64, 10.0), now)
        if not isinstance(result, Reservation):
            raise RuntimeError(f"first request of customer {n} was not admitted: {result}")
        ledger.settle(result, 64, now)


def _cycle_us(ledger: Ledger, customers: int) -> float:
    numbers, now = itertools.count(), Instant(RESERVED_AT, 65.0)

    def cycle() -> None:
        number = next(numbers)
        request = Request(f"{number}", f"customer-{number * 7 % customers:05}", 64, 10.0)
        ledger.settle(ledger.reserve(request, now), 60, now)

    return cpu_us(cycle, 500)


def measure_ledger() -> list[Series]:
    """Return the CPU time of a reserve-and-settle cycle and the memory of open windows."""
    by_customers, memory, by_slots, first = [], [], [], []
    for count in CUSTOMERS:
        cfg, book = _make_config(count), _acquire_slots(8)
        ledger = Ledger(book, cfg)
        _reserve_first(ledger, count)
        by_customers.append((count, _cycle_us(ledger, count)))

        def build(book=book, cfg=cfg, count=count) -> Ledger:
            new_ledger = Ledger(book, cfg)
            _reserve_first(new_ledger, count)
            return new_ledger

        memory.append((count, memory_bytes(build)))
    for holders in HOLDERS:
        cfg, book = _make_config(1_000), _acquire_slots(holders)
        ledger = Ledger(book, cfg)
        cost = cpu_us(lambda b=book, c=cfg: _reserve_first(Ledger(b, c), 1_000), 1) / 1_000
        _reserve_first(ledger, 1_000)
        by_slots.append((len(book.held), _cycle_us(ledger, 1_000)))
        first.append((len(book.held), cost))
    return [
        Series("quota: reserve and settle", "us", "customers", tuple(by_customers)),
        Series("quota: memory, windows of a minute", "bytes", "customers", tuple(memory)),
        Series("quota: reserve and settle", "us", "held slots", tuple(by_slots)),
        Series("quota: first request of a window", "us", "held slots", tuple(first)),
    ]


class _CountingSimulation(Simulation):
    """Simulation that counts writes to the table and messages between daemons."""

    def __init__(self, vms: int, customers: int):
        members = [(f"vm{n:03}", f"dc{n % DATA_CENTRES}", 0.0) for n in range(vms)]
        self.counts: Counter[str] = Counter()
        super().__init__(_make_config(customers), members, START, SEED)

    def _write(self, node, write: SlotWrite) -> None:
        self.counts["writes"] += 1
        super()._write(node, write)

    def _read(self, node) -> None:
        self.counts["reads"] += 1
        super()._read(node)

    def _send(self, sender, vm: str, message) -> None:
        self.counts["messages"] += 1
        super()._send(sender, vm, message)


def measure_slots() -> list[Series]:
    """Return table calls and messages by number of VMs, in simulated time with a full mesh."""
    names = ("slot rows", "writes/s", "reads/s", "VMs with slots", "messages", "not admitted")
    points_by_name: dict[str, list[tuple[float, float]]] = {name: [] for name in names}
    for vms in VMS:
        simulation = _CountingSimulation(vms, MESSAGE_CUSTOMERS)
        simulation.advance(SETTLING_S)
        before = Counter(simulation.counts)
        simulation.advance(COUNTED_S)
        points_by_name["slot rows"].append((vms, float(len(simulation.rows))))
        for name in ("writes", "reads"):
            rate = (simulation.counts[name] - before[name]) / COUNTED_S
            points_by_name[f"{name}/s"].append((vms, rate))
        holders = sum(bool(node.coordinator.leases.held) for node in simulation.nodes)
        points_by_name["VMs with slots"].append((vms, float(holders)))
        rng, messages = random.Random(SEED), simulation.counts["messages"]
        for number in range(REQUESTS):
            request = Request(f"r{number}", f"customer-{number % MESSAGE_CUSTOMERS:05}", 64, 5.0)
            simulation.reserve(rng.choice(simulation.nodes), request)
            simulation.advance(0.05)
        simulation.advance(6.0)
        simulation.settle_some(0)
        simulation.advance(1.0)
        sent = simulation.counts["messages"] - messages
        points_by_name["messages"].append((vms, sent / REQUESTS))
        points_by_name["not admitted"].append((vms, 1 - simulation.decided["granted"] / REQUESTS))
    units = ("rows", "writes/s", "reads/s", "VMs", "per request", "of requests")
    return [
        Series(f"slots: {name}", unit, "VMs", tuple(points_by_name[name]))
        for name, unit in zip(names, units, strict=True)
    ]


def measure_planning() -> list[Series]:
    """Return the CPU time of planning the lease writes of a second, by number of VMs."""
    points = []
    for count in (7, 140, 560):
        book, now = _acquire_slots(min(count, 64)), Instant(ACQUIRED_AT + 1.0, 51.0)
        members = {f"vm{n:03}": f"dc{n % DATA_CENTRES}" for n in range(count)}

        def plan(book=book, now=now, members=members) -> None:
            book.plan_writes(now, members, draining=False, longest=0.0)
            book._pending.clear()

        points.append((count, cpu_us(plan, 20)))
    return [Series("slots: decision on lease writes", "us", "VMs", tuple(points))]


def measure() -> list[Series]:
    """Return all series of this module."""
    return [*measure_ledger(), *measure_planning(), *measure_slots()]
