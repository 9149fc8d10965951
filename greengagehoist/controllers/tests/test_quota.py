"""Guards against requests served without a reservation and reservations that are not settled."""

import asyncio
from datetime import time, timedelta

import pytest
from returns.result import Failure, Success

from greengagehoist.base import (
    Answer,
    ErrorCode,
    Exchange,
    PipelineCall,
    TraceContext,
    not_run,
    unknown,
)
from greengagehoist.config import (
    Config,
    EngineStage,
    Holding,
    Limits,
    Pipeline,
    PlanUsage,
    QuietHours,
    QuietLimits,
    QuietSpan,
)
from greengagehoist.controllers import (
    Drain,
    GetConfig,
    GetHeldSlots,
    GetReport,
    QuotaController,
    RecordController,
    report_body,
)
from greengagehoist.filters import QuotaFilter
from greengagehoist.peers import FromPeer, GetPeers, Peer, SendTo, Subscribe
from greengagehoist.platform_client import (
    GetObject,
    ListObjects,
    PutObject,
    ReadRange,
    Refused,
    Row,
    Rows,
    WriteRow,
    Written,
)
from greengagehoist.utils import Controller

DOWN = Failure(unknown("platform", ErrorCode.PLATFORM, "down"))


class FakePlatform(Controller):
    """Table and object store in memory."""

    def __init__(self, clock):
        super().__init__("platform")
        self.clock, self.rows, self.objects, self.up = clock, {}, {}, True

    def handle(self, message, reply):
        now = self.clock.now().timestamp()
        match message:
            case _ if not self.up:
                reply(DOWN)
            case ReadRange(prefix):
                found = [row for key, row in sorted(self.rows.items()) if key.startswith(prefix)]
                reply(Success(Rows(tuple(found), now)))
            case WriteRow(key, value, expect):
                row = self.rows.get(key)
                if (row.version if row else 0) != expect:
                    reply(Success(Refused(row, now)))
                    return
                self.rows[key] = Row(key, expect + 1, value, now)
                reply(Success(Written(expect + 1, now)))
            case PutObject(name, data):
                self.objects[name] = data
                reply(Success(None))
            case ListObjects(prefix):
                reply(Success(tuple(sorted(n for n in self.objects if n.startswith(prefix)))))
            case GetObject(name):
                reply(Success(self.objects.get(name)))


class FakeConfigs(Controller):
    """Replies with one configuration."""

    def __init__(self, cfg):
        super().__init__("configs")
        self.cfg = cfg

    def handle(self, message, reply):
        if isinstance(message, GetConfig):
            reply(self.cfg)


class FakePeers(Controller):
    """Fake peer controller that delivers messages to the other quota controllers at once."""

    def __init__(self, vm, mesh):
        super().__init__("peers")
        self.vm, self.mesh, self.subscriber = vm, mesh, None
        mesh[vm] = self

    def handle(self, message, reply):
        match message:
            case Subscribe(_, controller):
                self.subscriber = controller
            case GetPeers():
                others = [vm for vm, item in self.mesh.items() if vm != self.vm and item.subscriber]
                reply(tuple(Peer(vm, "dc0", 1, None, 0.0) for vm in others))
            case SendTo(vm, sent):
                self.mesh[vm].subscriber.tell(FromPeer(self.vm, "dc0", 1, sent))


def make_config(quiet):
    usage = PlanUsage("crew", (), (), timedelta(seconds=10), 1, 0, Limits(64, 1000, 64), quiet)
    pipelines = {"summary": Pipeline("summary", (EngineStage("engine", "engine", "m"),))}
    return Config(1, {"depot": Holding("depot", "crew", "")}, {"crew": usage}, pipelines, {})


def make_exchange(cfg, clock, number, max_tokens=10):
    return Exchange(
        request_id=f"r{number}",
        credential="",
        call=PipelineCall("summary", "x", max_tokens),
        arrived=clock.monotonic(),
        trace=TraceContext("", ""),
        cfg=cfg,
        holding=cfg.holdings["depot"],
        usage=cfg.usage["crew"],
        deadline=clock.monotonic() + 10.0,
    )


class Cluster:
    """Two daemons' quota and record controllers on one table."""

    def __init__(self, clock, quiet=None):
        self.clock, self.cfg, self.mesh = clock, make_config(quiet), {}
        self.platform, self.configs = FakePlatform(clock), FakeConfigs(self.cfg)
        self.records, self.quotas = [], []
        for vm in ("entry-0", "entry-1"):
            record = RecordController(self.platform, clock, vm, 1)
            peers = FakePeers(vm, self.mesh)
            parts = (self.platform, self.configs, peers, record, clock, vm, "dc0", 1)
            self.records.append(record)
            self.quotas.append(QuotaController(*parts))

    async def begin(self):
        parts = [self.platform, self.configs, *self.mesh.values(), *self.records, *self.quotas]
        self.tasks = [asyncio.create_task(item.run()) for item in parts]
        await self.clock.advance(125.0)

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def send(self, number, result, daemon=0, max_tokens=10):
        async def proceed(exchange):
            return result

        chain = QuotaFilter(self.quotas[daemon], self.clock)
        exchange = make_exchange(self.cfg, self.clock, number, max_tokens)
        task = asyncio.create_task(chain(exchange, proceed))
        await self.clock.advance(0.2)
        return await task


@pytest.fixture
def run(clock):
    def start(scenario, quiet=None):
        async def main():
            cluster = Cluster(clock, quiet)
            await cluster.begin()
            try:
                await scenario(cluster)
            finally:
                await cluster.end()

        asyncio.run(main())

    return start


ANSWER = Success(Answer("", "text", 4))


def test_slots_are_divided_and_one_daemon_can_use_the_whole_plan(run):
    async def scenario(cluster):
        held = [await quota.ask(GetHeldSlots()) for quota in cluster.quotas]
        assert [len(slots) for slots in held] == [32, 32]
        results = [await cluster.send(n, ANSWER, max_tokens=1) for n in range(66)]
        assert [isinstance(r, Success) for r in results] == [True] * 64 + [False] * 2
        error = results[-1].failure()
        assert error.code is ErrorCode.OVER_PLAN and error.retry_safe
        assert 0 < error.retry_after.total_seconds() <= 60.25

    run(scenario)


@pytest.mark.parametrize(
    ("result", "charged"),
    [
        (ANSWER, 4),
        (Failure(not_run("route", ErrorCode.UNAVAILABLE, "none")), 0),
        (Failure(unknown("engine", ErrorCode.CONNECTION, "lost")), 1000),
    ],
)
def test_unused_tokens_return_unless_the_request_may_have_run(run, result, charged):
    async def scenario(cluster):
        assert await cluster.send(1, result, max_tokens=1000) == result
        rest = await cluster.send(2, ANSWER, max_tokens=1000 - charged or 1)
        assert isinstance(rest, Success) is (charged < 1000)
        assert isinstance(await cluster.send(3, ANSWER, max_tokens=1000), Failure)

    run(scenario)


def test_drain_releases_all_slots_and_hands_balances_over(run):
    async def scenario(cluster):
        await cluster.send(0, ANSWER, daemon=1, max_tokens=1)
        drained = asyncio.create_task(cluster.quotas[1].ask(Drain()))
        await cluster.clock.advance(2.0)
        await drained
        assert not await cluster.quotas[1].ask(GetHeldSlots())
        results = [await cluster.send(n, ANSWER, max_tokens=1) for n in range(1, 65)]
        assert sum(isinstance(r, Success) for r in results) == 63

    run(scenario)


def test_quiet_draws_are_recorded_and_reported_after_a_store_outage(run):
    span = QuietSpan(tuple(range(7)), time(0), time(6))
    quiet = QuietHours("Africa/Abidjan", (span,), QuietLimits(3, 100, 64))

    async def scenario(cluster):
        results = [await cluster.send(n, ANSWER) for n in range(4)]
        assert [isinstance(r, Success) for r in results] == [True] * 3 + [False]
        assert results[3].failure().code is ErrorCode.QUIET_HOURS
        cluster.platform.up = False
        await cluster.clock.advance(25.0)
        cluster.platform.up = True
        await cluster.clock.advance(15.0)
        report = (await cluster.records[0].ask(GetReport("2026-01-01"))).unwrap()
        assert [(e.customer, e.requests, e.tokens) for e in report.entries] == [("depot", 3, 12)]
        body = report_body(report, "depot")
        assert body["intact"] and body["usage"] and not report_body(report, "clerks")["usage"]

    run(scenario, quiet)


def test_units_are_borrowed_and_returned(run):
    async def scenario(cluster):
        gate = asyncio.Event()

        async def proceed(exchange):
            await gate.wait()
            return ANSWER

        async def fill(daemon, numbers):
            chain = QuotaFilter(cluster.quotas[daemon], cluster.clock)
            made = [make_exchange(cluster.cfg, cluster.clock, n, 1) for n in numbers]
            tasks = [asyncio.create_task(chain(item, proceed)) for item in made]
            await cluster.clock.advance(0.5)
            return tasks

        await cluster.clock.advance(52.0)
        tasks = await fill(0, range(64)) + await fill(1, range(64, 66))
        refused = [task.result().failure() for task in tasks if task.done()]
        assert [error.code for error in refused] == [ErrorCode.OVER_PLAN] * 2
        cancelled, rest = tasks[0], tasks[1:64]
        cancelled.cancel()
        gate.set()
        await asyncio.gather(*rest)
        gate.clear()
        # The next minute has begun, and no lent unit has expired yet.
        await cluster.clock.advance(3.0)
        tasks = await fill(1, range(100, 164))
        assert sum(not task.done() for task in tasks) == 64
        gate.set()
        await asyncio.gather(*tasks)

    run(scenario)
