"""Shared fixtures of the controllers' tests."""

import asyncio

import pytest

from greengagehoist.controllers import (
    AdmissionController,
    DrainController,
    RegisterDrain,
    RegisterWork,
)
from greengagehoist.controllers.tests.stop_system import GRACE_S, Silent, System
from greengagehoist.filters import StopFilter


@pytest.fixture
def run_stop(clock):
    """Return a function that runs a coroutine with running controllers."""

    def start(body, drain_delay=2.0, grace=GRACE_S, hangs=False):
        async def main():
            others = Silent()
            drains = DrainController(others, others, clock, drain_delay, grace)
            admission = AdmissionController(clock, stop=drains.stop_times)
            system = System(drains, admission, StopFilter(), Silent(hangs))
            tasks = [asyncio.create_task(item.run()) for item in (drains, admission)]
            drains.tell(RegisterDrain(system.quotas))
            drains.tell(RegisterWork(system.stop_filter))
            try:
                return await body(system)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

        return asyncio.run(main())

    return start
