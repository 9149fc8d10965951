"""Guards against a daemon that is ready with a wrong clock, or not ready with a corrected one."""

import asyncio
from datetime import timedelta

import pytest
from returns.result import Success

from greengagehoist.config import EMPTY_CONFIG
from greengagehoist.controllers import (
    DrainController,
    GetReadiness,
    GetRoster,
    RosterController,
)
from greengagehoist.controllers._roster import clock_error
from greengagehoist.platform_client import ListVms, Rows
from greengagehoist.utils import Controller


@pytest.mark.parametrize(
    ("table_now", "error"), [(99.0, -1.0), (100.0, 0.0), (100.4, 0.0), (101.0, 0.5)]
)
def test_clock_error_allows_for_the_duration_of_the_call(table_now, error):
    assert clock_error(100.0, 100.5, table_now) == error


class FakeControllers(Controller):
    """Fake platform, peer and configuration controllers; the clock of its table is correct."""

    def __init__(self, clock):
        super().__init__("fake")
        self.started, self.clock = clock.now(), clock

    def handle(self, message, reply):
        if isinstance(message, ListVms):
            reply(Success(()))
        elif type(message).__name__ == "ReadRow":
            now = self.started + timedelta(seconds=self.clock.monotonic())
            reply(Success(Rows((), now.timestamp())))
        elif type(message).__name__ == "GetPeers":
            reply(())
        else:
            reply(EMPTY_CONFIG._replace(version=1))


def test_daemon_with_a_wrong_clock_is_not_ready_until_it_is_corrected(clock):
    async def scenario():
        fake = FakeControllers(clock)
        drains = DrainController(fake, fake, clock, 0.0)
        roster = RosterController(fake, fake, (drains,), clock)
        tasks = [asyncio.create_task(item.run()) for item in (fake, drains, roster)]
        correct = clock.start
        observed = []
        for error in (0.0, 0.2, 0.4, -3.0, 0.0):
            clock.set_wall(correct + timedelta(seconds=clock.monotonic() + error))
            await clock.advance(11.0)
            readiness = await drains.ask(GetReadiness())
            found = await roster.ask(GetRoster())
            observed.append((readiness.reasons, found.clock_within_margin))
        for task in tasks:
            task.cancel()
        return observed

    wrong = (("clock outside margin",), False)
    assert asyncio.run(scenario()) == [((), True), ((), True), wrong, wrong, ((), True)]
