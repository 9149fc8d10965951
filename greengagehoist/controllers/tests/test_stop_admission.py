"""Guards against requests that a stopping daemon takes and cannot answer before its end."""

import asyncio
import random
from datetime import datetime
from typing import NamedTuple

import pytest
from returns.result import Failure, Success

from greengagehoist.admission import EntryOutcome
from greengagehoist.base import Answer, ErrorCode, Outcome, compose, unknown
from greengagehoist.controllers import (
    AdmissionController,
    BeginRequest,
    DrainController,
    EndRequest,
    Finish,
    StartDrain,
    WaitStopped,
)
from greengagehoist.controllers.tests.stop_system import (
    GRACE_S,
    LONG_S,
    Silent,
    admit,
    exchange,
    finish_after,
    time_of_end,
)

STOP_AT_S = 10.0


@pytest.mark.parametrize(
    ("took", "within", "after", "accepted"),
    [
        (2.0, LONG_S, 1.0, True),
        (2.0, LONG_S, 22.0, False),
        (20.0, LONG_S, 1.0, True),
        (20.0, LONG_S, 4.0, False),
        (None, LONG_S, 1.0, False),
        (None, 5.0, 1.0, True),
    ],
)
def test_request_is_admitted_during_a_stop_if_its_answer_can_be_complete(
    run_stop, clock, took, within, after, accepted
):
    """Guards against requests that are taken during the drain delay and cut at the end."""

    async def body(system):
        if took is not None:
            await finish_after(system, clock, took, admit(clock))
        await system.drains.ask(StartDrain())
        await clock.advance(after)
        return await system.admission.ask(admit(clock, within=within))

    result = run_stop(body, 22.5)
    if accepted:
        assert isinstance(result, Success)
    else:
        error = result.failure()
        assert (error.outcome, error.code) == (Outcome.NOT_RUN, ErrorCode.DRAINING)
        assert error.retry_safe


def test_estimate_of_short_requests_does_not_admit_a_long_one(run_stop, clock):
    """Guards against long generations that are judged by the times of short ones."""

    async def body(system):
        await finish_after(system, clock, 1.0, admit(clock))
        await finish_after(system, clock, 60.0, admit(clock, cost=40.0))
        await system.drains.ask(StartDrain())
        short = await system.admission.ask(admit(clock))
        return short, await system.admission.ask(admit(clock, cost=40.0))

    short, long = run_stop(body)
    assert isinstance(short, Success)
    assert long.failure().code is ErrorCode.DRAINING


def test_queued_requests_are_handed_back_while_they_have_not_run(run_stop, clock):
    """Guards against requests that wait in the admission queue until the process ends."""

    async def body(system):
        await finish_after(system, clock, 5.0, admit(clock))
        asked = [asyncio.create_task(system.admission.ask(admit(clock))) for _ in range(36)]
        await clock.advance(0.1)
        assert not all(task.done() for task in asked)
        await system.drains.ask(StartDrain())
        await clock.advance(20.0)
        return [task.result() for task in asked]

    refused = [item.failure() for item in run_stop(body) if isinstance(item, Failure)]
    assert refused
    assert {(item.outcome, item.code) for item in refused} == {
        (Outcome.NOT_RUN, ErrorCode.DRAINING)
    }


class FrozenSleepClock:
    """A clock whose sleepers wake late, as those of a process that was stopped for a while."""

    def __init__(self, clock):
        self.clock = clock
        self.offset = 0.0

    def now(self):
        return self.clock.now()

    def monotonic(self):
        return self.clock.monotonic() + self.offset

    async def sleep(self, delay):
        await self.clock.sleep(delay)


def test_after_a_freeze_nothing_is_begun_that_cannot_be_finished(clock):
    """Guards against requests that are admitted by timers which stood still during a freeze."""
    frozen = FrozenSleepClock(clock)

    async def main():
        others = Silent()
        drains = DrainController(others, others, frozen, 10.0, GRACE_S)
        admission = AdmissionController(frozen, stop=drains.stop_times)
        tasks = [asyncio.create_task(item.run()) for item in (drains, admission)]
        grant = (await admission.ask(admit(frozen))).unwrap()
        await clock.advance(2.0)
        admission.tell(Finish(grant, EntryOutcome.COMPLETED))
        await drains.ask(StartDrain())
        clock.set_wall(datetime.fromisoformat("2030-01-01T00:00:00+00:00"))
        assert isinstance(await admission.ask(admit(frozen)), Success)
        frozen.offset = 22.0
        refused = await admission.ask(admit(frozen))
        assert refused.failure().code is ErrorCode.DRAINING
        stopped = asyncio.create_task(drains.ask(WaitStopped()))
        await clock.advance(4.0)
        assert stopped.done()
        for task in tasks:
            task.cancel()

    asyncio.run(main())


class Arrival(NamedTuple):
    """A request of a generated history, with times in seconds.

    :param cost: requests of equal cost take the same time in a steady history.
    """

    at: float
    cost: float
    takes: float
    within: float
    waits_before_send: float


def make_history(rng, is_steady):
    """Return arrivals before and during a stop that begins at ``STOP_AT_S``."""
    kinds = [(2.0**n, rng.choice([0.2, 1.0, 4.0, 15.0])) for n in range(3)]
    history = []
    for _ in range(rng.choice([5, 30, 120])):
        cost, takes = rng.choice(kinds)
        if not is_steady:
            takes *= rng.choice([0.5, 1.0, 1.0, 1.5, 30.0])
        waits = 0.0 if is_steady else rng.choice([0.0, 0.0, 0.3])
        within = rng.choice([2.0, 10.0, 60.0, 600.0])
        history.append(Arrival(rng.uniform(0.0, 40.0), cost, takes, within, waits))
    return history


@pytest.mark.parametrize("seed", range(25))
def test_every_request_of_a_history_is_answered_truthfully(run_stop, clock, seed):
    """Guards against any order of arrivals, slow targets and the stop that cuts a request.

    The rule is checked from what callers see: each request has a complete answer or a refusal, and
    what is reported as not run was never sent. Where times can be predicted, none that was sent
    during the stop is cut.
    """
    rng = random.Random(seed)
    is_steady = seed % 2 == 0
    history = make_history(rng, is_steady)
    sent, results = {}, {}

    async def body(system):
        async def admission(item, proceed):
            asked = admit(
                clock, history[int(item.request_id)].cost, item.deadline - clock.monotonic()
            )
            match await system.admission.ask(asked):
                case Success(grant):
                    ending = EntryOutcome.FAILED
                    try:
                        result = await proceed(item)
                        if isinstance(result, Success):
                            ending = EntryOutcome.COMPLETED
                        return result
                    finally:
                        system.admission.tell(Finish(grant, ending))
                case refusal:
                    return refusal

        async def target(item, proceed):
            arrival = history[int(item.request_id)]
            await clock.sleep(arrival.waits_before_send)
            item.mark_sent()
            sent[item.request_id] = clock.monotonic()
            left = item.deadline - clock.monotonic()
            await clock.sleep(min(arrival.takes, left))
            if arrival.takes > left:
                return Failure(unknown("target", ErrorCode.DEADLINE, "late"))
            return Success(Answer(item.request_id, "done"))

        chain = compose([system.stop_filter, admission, target])

        async def call(name, arrival):
            await clock.sleep(arrival.at)
            if not await system.drains.ask(BeginRequest()):
                results[name] = "refused"
                return
            try:
                deadline = clock.monotonic() + arrival.within
                results[name] = await chain(exchange(name, deadline))
            finally:
                system.drains.tell(EndRequest())

        callers = [asyncio.create_task(call(str(n), item)) for n, item in enumerate(history)]
        await clock.advance(STOP_AT_S)
        await system.drains.ask(StartDrain())
        took = await time_of_end(system, clock)
        ended = clock.monotonic()
        assert took < GRACE_S
        arrived = [str(n) for n, item in enumerate(history) if item.at < ended - 0.2]
        assert [name for name in arrived if name not in results] == []
        for caller in callers:
            caller.cancel()

    run_stop(body, rng.choice([0.0, 2.0, 15.0, 22.0]))
    for name, result in results.items():
        if isinstance(result, Failure):
            error = result.failure()
            assert (error.outcome is Outcome.NOT_RUN) == (name not in sent)
            if is_steady and error.code is ErrorCode.DRAINING:
                assert sent.get(name, 0.0) <= STOP_AT_S
            assert error.code in {ErrorCode.DRAINING, ErrorCode.OVERLOADED, ErrorCode.DEADLINE}
