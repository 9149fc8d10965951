"""Guards against a stop without an end, and requests that the end of the process cuts."""

import asyncio

import pytest

from greengagehoist.base import ErrorCode, Outcome, compose
from greengagehoist.controllers import (
    BeginRequest,
    DaemonState,
    Drain,
    EndRequest,
    GetState,
    StartDrain,
)
from greengagehoist.controllers.tests.stop_system import GRACE_S, exchange, time_of_end


@pytest.mark.parametrize(("grace", "hangs"), [(30.0, False), (30.0, True), (4.0, True)])
def test_stop_ends_within_the_grace_period(run_stop, clock, grace, hangs):
    """Guards against SIGKILL in the middle of a stop that waits for a request or a hand-over."""

    async def body(system):
        assert await system.drains.ask(BeginRequest())
        await system.drains.ask(StartDrain())
        return await time_of_end(system, clock)

    assert run_stop(body, 0.3, grace, hangs) < grace


def test_state_is_handed_over_although_a_request_runs_to_the_end(run_stop, clock):
    """Guards against quota balances that are lost because a request used the grace period up."""

    async def body(system):
        await system.drains.ask(BeginRequest())
        await system.drains.ask(StartDrain())
        await time_of_end(system, clock)
        assert system.quotas.asked == [Drain()]

    run_stop(body)


@pytest.mark.parametrize(("sends", "outcome"), [(True, Outcome.UNKNOWN), (False, Outcome.NOT_RUN)])
def test_request_that_outlives_the_stop_is_answered_truthfully(run_stop, clock, sends, outcome):
    """Guards against connections that are cut without an answer at the end of a stop."""

    async def hang(item, proceed):
        if sends:
            item.mark_sent()
        await asyncio.Event().wait()

    async def body(system):
        await system.drains.ask(BeginRequest())
        chain = compose([system.stop_filter, hang])
        task = asyncio.create_task(chain(exchange()))
        await system.drains.ask(StartDrain())
        await clock.advance(23.5)
        result = task.result()
        assert (await chain(exchange())).failure().outcome is Outcome.NOT_RUN
        system.drains.tell(EndRequest())
        assert await time_of_end(system, clock) < GRACE_S - 23.5
        return result.failure()

    error = run_stop(body)
    assert (error.outcome, error.code) == (outcome, ErrorCode.DRAINING)


def test_further_orders_to_stop_change_nothing(run_stop, clock):
    """Guards against a second signal or an operator's drain that restarts or shortens a stop."""

    async def body(system):
        await system.drains.ask(BeginRequest())
        await system.drains.ask(StartDrain())
        times = system.drains.stop_times.value
        for _ in range(20):
            await clock.advance(1.0)
            await system.drains.ask(StartDrain())
            assert system.drains.stop_times.value is times
            assert await system.drains.ask(GetState()) is not DaemonState.STOPPED
        system.drains.tell(EndRequest())
        assert await time_of_end(system, clock) < 2.0

    run_stop(body)
