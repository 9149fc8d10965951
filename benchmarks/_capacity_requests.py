"""Cost of routing, claims, load polls and traces by size."""

import asyncio
import random
import time
from typing import Any

import msgspec
from returns.result import Success

from benchmarks._capacity_fit import Series, memory_bytes
from benchmarks._routing_cost import measure_decision
from greengagehoist.base import Answer, Exchange, ServiceCall, TraceContext
from greengagehoist.config import EMPTY_CONFIG, Holding, NonIdempotent, Service
from greengagehoist.controllers import (
    Assignment,
    ClaimController,
    GetPendingClaims,
    Route,
    TraceController,
)
from greengagehoist.controllers._traces import RecordSpans
from greengagehoist.filters import AttemptLimit, ClaimFilter
from greengagehoist.platform_client import ReadRow, Row, Rows, WriteRow, Written
from greengagehoist.routing import LoadReport, Member, Roster
from greengagehoist.routing._cache import CacheIndex
from greengagehoist.targets import ReadLoad, Target, TargetLink
from greengagehoist.tracing import Span
from greengagehoist.utils import SteppedClock, SystemClock

TARGETS = (10, 1_000, 4_000, 12_000)
BLOCKS = (10_000, 40_000, 120_000)
BLOCKS_PER_TARGET = 2_000
OPERATIONS = (1, 10, 100)
TRACES = (500, 1_000, 2_000)
SPANS_PER_TRACE = 6
POLLS = (50, 100, 200)


def measure_routing() -> list[Series]:
    """Return the time of a routing decision and the memory of the roster and the cache index."""
    cost = tuple((count, measure_decision(count)) for count in TARGETS)
    memory = tuple((n, memory_bytes(lambda n=n: _make_roster(n))) for n in TARGETS)
    cache = tuple((n, memory_bytes(lambda n=n: _make_index(n))) for n in BLOCKS)
    return [
        Series("routing: choice, median elapsed", "us", "targets", cost),
        Series("routing: memory of the roster", "bytes", "targets", memory),
        Series("cache index: memory", "bytes", "entries", cache),
    ]


def _make_roster(count: int) -> Roster:
    roster = Roster("vm0", "dc0", {})
    for n in range(count):
        roster.add(Member(f"target-{n:05}", f"dc{n % 12}"), 0.0)
        roster.observe_report(f"target-{n:05}", LoadReport(0, n % 16, 16, float(n)))
    return roster


def _make_index(entries: int) -> CacheIndex:
    index = CacheIndex()
    for n in range(entries):
        target = f"target-{n // BLOCKS_PER_TARGET:05}"
        index.observe_sent(target, (10**15 + n,), float(n))
    return index


class _StubPlatform:
    """Stub platform table that counts writes and their bytes."""

    def __init__(self):
        self.writes = 0
        self.bytes = 0
        self.rows: dict[str, Row] = {}

    async def ask(self, message: Any) -> Any:
        match message:
            case ReadRow(key):
                return Success(Rows((self.rows[key],) if key in self.rows else (), 0.0))
            case WriteRow(key, value, expect):
                self.writes += 1
                self.bytes += len(msgspec.json.encode(message._asdict()))
                self.rows[key] = Row(key, expect + 1, value, 0.0)
                return Success(Written(expect + 1, 0.0))


class _StubTargetController:
    """Stub target controller with a single target."""

    def tell(self, message: Any) -> None:
        pass

    async def ask(self, message: Route) -> Any:
        return Success(Assignment(Target("desk-1", "", "dc0", "service:desk", 1), None))


async def _run_operations(count: int) -> _StubPlatform:
    clock, rng, platform = SteppedClock(), random.Random(1), _StubPlatform()
    claims = ClaimController(platform, clock, rng)
    task = asyncio.create_task(claims.run())
    claim_filter = ClaimFilter(claims, _StubTargetController(), AttemptLimit(), clock, rng)
    service = Service("desk", False, {"book": NonIdempotent("book")})
    cfg = EMPTY_CONFIG._replace(services={"desk": service})

    async def answer(exchange: Exchange) -> Any:
        return Success(Answer(exchange.request_id, {"number": 1}))

    for n in range(count):
        exchange = Exchange(
            f"request-{n}",
            "",
            ServiceCall("desk", "book", {"n": n}),
            0.0,
            TraceContext("t", "s"),
            cfg=cfg,
            holding=Holding("customer-00001", "crew", ""),
            deadline=10.0,
        )
        (await claim_filter(exchange, answer)).unwrap()
    while await claims.ask(GetPendingClaims()):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return platform


def measure_claims() -> list[Series]:
    """Return table writes, rows and bytes by number of fault-free non-idempotent operations."""
    tables = [(count, asyncio.run(_run_operations(count))) for count in OPERATIONS]
    return [
        Series("claims: table writes", "writes", "operations", _points(tables, "writes")),
        Series("claims: bytes written", "bytes", "operations", _points(tables, "bytes")),
        Series(
            "claims: rows that stay in the table",
            "rows",
            "operations",
            tuple((count, float(len(table.rows))) for count, table in tables),
        ),
    ]


def _points(tables: list[tuple[int, _StubPlatform]], field: str) -> tuple[tuple[float, float], ...]:
    return tuple((count, float(getattr(table, field))) for count, table in tables)


def measure_traces() -> list[Series]:
    """Return the memory of the trace ring buffer by number of requests."""
    points = tuple((n, memory_bytes(lambda n=n: _fill_traces(n))) for n in TRACES)
    return [Series("traces: memory, six spans each", "bytes", "requests", points)]


def _fill_traces(count: int) -> TraceController:
    controller = TraceController()
    for n in range(count):
        trace = f"{n:032x}"
        spans = tuple(
            Span(
                trace,
                f"{n:08x}{k:08x}",
                f"{n:08x}00000000",
                f"stage-{k}",
                "vm0",
                "",
                n + 0.5,
                0.25,
                "ok",
            )
            for k in range(SPANS_PER_TRACE)
        )
        controller.handle(RecordSpans(spans), lambda value: None)
    return controller


async def _poll(counts: tuple[int, ...]) -> tuple[list[float], list[float]]:
    """Return the bytes exchanged and the CPU time (us) of load polls.

    Both ends run in this process, so the CPU time includes the server's.
    """
    received = 0
    body = msgspec.json.encode(
        {"queue": 3, "running": 12, "capacity": 16, "state": "live", "incarnation": 1}
    )
    head = (
        f"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    )

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal received
        try:
            while True:
                received += len(await reader.readuntil(b"\r\n\r\n"))
                writer.write(head.encode() + body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    target = Target("target-1", f"127.0.0.1:{port}", "dc0", "engine", 1)
    link = TargetLink(target, SystemClock(), TraceController())
    task = asyncio.create_task(link.run())
    sizes, costs = [], []
    (await link.ask(ReadLoad())).unwrap()
    for count in counts:
        before, start = received, _process_us()
        for _ in range(count):
            (await link.ask(ReadLoad())).unwrap()
        sizes.append(float(received - before + count * (len(head) + len(body))))
        costs.append(_process_us() - start)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    server.close()
    return sizes, costs


def _process_us() -> float:
    return 1e6 * time.process_time()


def measure_polls() -> list[Series]:
    """Return the HTTP bytes and CPU time of load polls; TCP/IP headers are not counted."""
    sizes, costs = asyncio.run(_poll(POLLS))
    return [
        Series("load polls: HTTP bytes", "bytes", "polls", tuple(zip(POLLS, sizes, strict=True))),
        Series("load polls: both ends", "us", "polls", tuple(zip(POLLS, costs, strict=True))),
    ]


def measure() -> list[Series]:
    """Return all series of this module."""
    return [*measure_routing(), *measure_claims(), *measure_polls(), *measure_traces()]
