"""Guards against a non-idempotent operation that runs twice or whose outcome is misreported."""

import asyncio
import random
from collections import Counter, defaultdict

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Failure, Success

from greengagehoist.base import (
    ErrorCode,
    Exchange,
    Outcome,
    ServiceCall,
    StepError,
    TraceContext,
    compose,
    not_run,
)
from greengagehoist.config import EMPTY_CONFIG, Holding, NonIdempotent, Service
from greengagehoist.controllers import Assignment, ClaimController, FindTarget, Route
from greengagehoist.filters import AttemptLimit, ClaimFilter, DispatchFilter, Sender
from greengagehoist.platform_client import ReadRow, Refused, Row, Rows, WriteRow, Written
from greengagehoist.standins._profiles import property_settings
from greengagehoist.targets import OperationReply, ReadRecord, Send, Target
from greengagehoist.utils import SteppedClock

DEADLINE_S = 10.0
SLOW_S = 11.0
LATE_S = 3.0
SERVICES = ("desk", "mailer", "ledger")
TARGETS = ("a", "b")
CONFIG = EMPTY_CONFIG._replace(
    services={
        name: Service(name, name == "ledger", {"book": NonIdempotent("book")}) for name in SERVICES
    }
)


class Table:
    """Platform table with faults.

    ``down`` fails all calls unapplied, ``lose`` applies them but loses the replies, ``late``
    applies writes after their calls have failed, and ``slow`` delays the replies.
    """

    def __init__(self, clock):
        self.clock = clock
        self.rows = {}
        self.mode = "ok"
        self.tasks = set()

    async def ask(self, message):
        mode = self.mode
        failed = Failure(StepError("platform", "", Outcome.UNKNOWN, ErrorCode.PLATFORM, mode))
        if mode == "down":
            return failed
        if mode == "late" and isinstance(message, WriteRow):
            task = asyncio.ensure_future(self.write_late(message))
            self.tasks.add(task)
            return failed
        result = self.apply(message)
        if mode == "slow":
            await self.clock.sleep(SLOW_S)
        return failed if mode == "lose" else Success(result)

    async def write_late(self, message):
        await self.clock.sleep(LATE_S)
        self.apply(message)

    def apply(self, message):
        now = self.clock.monotonic()
        row = self.rows.get(message.key)
        match message:
            case ReadRow():
                return Rows((row,) if row else (), now)
            case WriteRow(key, value, expect):
                if (row.version if row else 0) != expect:
                    return Refused(row, now)
                self.rows[key] = Row(key, expect + 1, dict(value), now)
                return Written(expect + 1, now)


class TargetDouble:
    """Test double of a target and its link; it counts the runs of each key."""

    def __init__(self, name, clock, world):
        self.target = Target(name, "", "dc", "service", 1)
        self.clock = clock
        self.world = world
        self.mode = "ok"
        self.results = {}

    def tell(self, message):
        pass

    async def ask(self, message):
        match message:
            case ReadRecord(key):
                return self.read_record(key)
            case Send(call):
                return await self.send(call)

    def read_record(self, key):
        service = key.split("/")[1].split(":")[0]
        if service == "mailer":
            return Failure(StepError("r", "", Outcome.UNKNOWN, ErrorCode.NOT_FOUND, "no record"))
        return Success(self.results.get(key))

    async def send(self, call):
        lost = Failure(
            StepError("s", "", Outcome.UNKNOWN, ErrorCode.TARGET_FAILED, "connection lost")
        )
        match self.mode:
            case "refuse":
                return Failure(not_run("s", ErrorCode.CONNECTION, "refused"))
            case "lose_before":
                return lost
            case "late":
                await self.clock.sleep(LATE_S)
                self.late = asyncio.ensure_future(self.run_late(call))
                return lost
        result = self.run(call)
        return lost if self.mode == "lose_after" else result

    async def run_late(self, call):
        await self.clock.sleep(LATE_S)
        self.run(call)

    def run(self, call):
        stored = self.world.ledger if call.attempt.stage == "ledger" else self.results
        if call.attempt.stage == "ledger" and call.key in stored:
            if stored[call.key].result["body"] != call.args["body"]:
                return Failure(not_run("s", ErrorCode.KEY_REUSED, "other body"))
            return Success(stored[call.key])
        self.world.runs[call.key] += 1
        self.world.runs_of_request[call.attempt.request_id] += 1
        number = sum(self.world.runs.values())
        result = OperationReply(call.attempt.request_id, {"run": number, **call.args})
        stored.setdefault(call.key, result)
        self.results.setdefault(call.key, result)
        return Success(result)


class Targets:
    """Test double of the target controller."""

    def __init__(self, targets, rng):
        self.targets = targets
        self.rng = rng

    def tell(self, message):
        pass

    async def ask(self, message):
        match message:
            case FindTarget(name):
                return Assignment(self.targets[name].target, self.targets[name])
            case Route(exclude=exclude):
                names = [name for name in TARGETS if name not in exclude]
                if not names:
                    return Failure(not_run("route", ErrorCode.UNAVAILABLE, "no target"))
                chosen = self.targets[self.rng.choice(names)]
                return Success(Assignment(chosen.target, chosen))


class DaemonDouble:
    """Claim controller, claim filter and dispatch filter of one daemon."""

    def __init__(self, world, seed):
        rng = random.Random(seed)
        targets = Targets(world.targets, rng)
        self.claims = ClaimController(world.table, world.clock, rng)
        self.filter = ClaimFilter(self.claims, targets, AttemptLimit(), world.clock, rng)
        sender = Sender(targets, Targets({}, rng), world.clock, rng, f"vm{seed}")
        self.proceed = compose([self.filter, DispatchFilter(sender, AttemptLimit())])
        self.task = world.loop.create_task(self.claims.run())

    def kill(self):
        self.task.cancel()
        for task in list(self.filter._tasks):
            task.cancel()

    def stop(self):
        """End as a daemon whose stop has no time left: no send follows, claims are closed."""
        self.filter.end_running()


class ClaimWorld(RuleBasedStateMachine):
    """Several daemons, a table and two targets under faults; every run is counted."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = SteppedClock()
        self.table = Table(self.clock)
        self.runs, self.runs_of_request = Counter(), Counter()
        self.ledger = {}
        self.targets = {name: TargetDouble(name, self.clock, self) for name in TARGETS}
        self.daemons = [DaemonDouble(self, seed) for seed in range(3)]
        self.count = 0
        self.requests = {}
        self.open = {}
        self.not_run = set()
        self.answers = defaultdict(list)

    def run_for(self, delay=0.0):
        async def run():
            for _ in range(40):
                await asyncio.sleep(0)
            await self.clock.advance(delay)
            for _ in range(40):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run())
        for request_id, task in list(self.open.items()):
            if task.done():
                del self.open[request_id]
                if not task.cancelled():
                    self.check_result(request_id, task.result())

    def check_result(self, request_id, result):
        key, body = self.requests[request_id]
        match result:
            case Success(answer):
                assert answer.body["body"] == body
                self.answers[key].append(answer.body)
            case Failure(error) if error.outcome is Outcome.NOT_RUN:
                self.not_run.add(request_id)

    @rule(
        daemon=st.integers(0, 2),
        service=st.sampled_from(SERVICES),
        name=st.sampled_from(["", "1", "1"]),
        body=st.sampled_from([0, 0, 0, 1]),
        delay=st.sampled_from([0.0, 0.0, 1.0]),
    )
    def submit(self, daemon, service, name, body, delay):
        self.count += 1
        request_id = f"{service}:{self.count}"
        exchange = Exchange(
            request_id,
            "",
            ServiceCall(service, "book", {"body": body}),
            self.clock.monotonic(),
            TraceContext("t", "s"),
            idempotency_key=f"{service}:k{name}" if name else "",
            cfg=CONFIG,
            holding=Holding("depot", "crew", ""),
            deadline=self.clock.monotonic() + DEADLINE_S,
        )
        key = exchange.idempotency_key or request_id
        self.requests[request_id] = (key, body)
        self.open[request_id] = self.loop.create_task(self.daemons[daemon].proceed(exchange))
        self.run_for(delay)

    @rule(mode=st.sampled_from(["ok", "down", "lose", "late", "slow"]))
    def set_table(self, mode):
        self.table.mode = mode

    @rule(
        name=st.sampled_from(TARGETS),
        mode=st.sampled_from(["ok", "refuse", "lose_before", "lose_after", "late"]),
    )
    def set_target(self, name, mode):
        self.targets[name].mode = mode

    @rule(delay=st.sampled_from([0.1, 1.0, 4.0, 12.0]))
    def advance(self, delay):
        self.run_for(delay)

    @rule(index=st.integers(0, 2))
    def kill(self, index):
        self.daemons[index].kill()
        self.run_for()
        self.daemons[index] = DaemonDouble(self, 100 + self.count)

    @rule(index=st.integers(0, 2), delay=st.sampled_from([0.0, 0.5, 5.0]))
    def stop(self, index, delay):
        self.daemons[index].stop()
        self.run_for(delay)
        self.kill(index)

    @invariant()
    def runs_at_most_once(self):
        assert {key: count for key, count in self.runs.items() if count > 1} == {}

    @invariant()
    def not_run_means_no_run(self):
        assert [item for item in self.not_run if self.runs_of_request[item]] == []

    @invariant()
    def answers_equal_the_first(self):
        assert {k: v for k, v in self.answers.items() if any(a != v[0] for a in v)} == {}

    def teardown(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


TestClaims = ClaimWorld.TestCase
TestClaims.settings = property_settings(100, stateful_step_count=25)


def test_repeated_key_replays_the_first_answer():
    """Guards against a state machine above whose runs never reach a replay."""
    world = ClaimWorld()
    for daemon in (0, 1):
        world.submit(daemon, "desk", "1", 0, 1.0)
    world.submit(2, "desk", "1", 1, 1.0)
    assert world.answers == {"desk:k1": [{"run": 1, "body": 0}] * 2}
    assert len(world.not_run) == 1
    world.teardown()


def test_lost_table_reply_does_not_allow_sending():
    """Guards against an insert whose reply was lost being treated as accepted."""
    world = ClaimWorld()
    world.submit(0, "desk", "1", 0, 1.0)
    world.table.mode = "lose"
    world.submit(1, "desk", "1", 0, 1.0)
    world.run_for(12.0)
    assert world.runs == {"depot/desk:k1": 1}
    world.teardown()


def test_claim_of_a_killed_owner_is_resolved_from_the_record():
    """Guards against an operation that is sent again after the owner of its claim was killed."""
    world = ClaimWorld()
    world.targets["a"].mode = world.targets["b"].mode = "late"
    world.submit(0, "desk", "1", 0, 0.0)
    world.run_for(4.0)
    world.kill(0)
    world.run_for(4.0)
    world.submit(1, "desk", "1", 0, 1.0)
    assert world.answers == {"desk:k1": [{"run": 1, "body": 0}]}
    assert world.runs == {"depot/desk:k1": 1}
    world.teardown()


def test_record_of_another_request_is_not_an_answer():
    """Guards against replaying the result of another body.

    While the table is down, only the service keeps the key, and its record may belong to another
    request.
    """
    world = ClaimWorld()
    world.submit(1, "ledger", "1", 1, 0.0)
    world.set_table("down")
    world.set_target("a", "lose_before")
    world.set_target("b", "lose_before")
    world.kill(0)
    world.submit(0, "ledger", "1", 0, 12.0)
    world.answers_equal_the_first()
    assert world.targets["a"].results or world.targets["b"].results
    world.teardown()


def stop_during(service, mode, prepare, after):
    """Return the claim and the sends of an operation that the end of a daemon's stop ends."""
    world = ClaimWorld()
    prepare(world)
    world.targets["a"].mode = world.targets["b"].mode = mode
    world.submit(0, service, "1", 0, 0.5)
    world.daemons[0].stop()
    world.run_for(after)
    state = next(iter(world.table.rows.values())).value["state"]
    runs = sum(world.runs.values())
    world.teardown()
    return state, runs


def test_operation_that_outlives_the_stop_leaves_an_unknown_claim():
    """Guards against claims that stay in sending because the daemon ended before their answers."""
    assert stop_during("desk", "late", lambda world: None, 1.0)[0] == "unknown"


def test_operation_is_not_sent_after_the_end_of_the_stop(monkeypatch):
    """Guards against an operation that runs although its caller was told that it did not."""
    monkeypatch.setattr(f"{__name__}.SLOW_S", LATE_S)
    slow_table = stop_during("desk", "ok", lambda world: world.set_table("slow"), 12.0)
    assert slow_table == ("not_run", 0)
