"""Helpers of the tests of a daemon's stop on a stepped clock."""

import asyncio
from types import SimpleNamespace
from typing import NamedTuple

from greengagehoist.admission import EntryOutcome
from greengagehoist.base import Exchange, PipelineCall, TraceContext
from greengagehoist.controllers import (
    AdmissionController,
    Admit,
    DrainController,
    Finish,
    WaitStopped,
)
from greengagehoist.filters import StopFilter

GRACE_S = 30.0
LONG_S = 1000.0


class Silent:
    """Test double of the other controllers; ``hand_over`` never ends if it is told so."""

    name = "silent"

    def __init__(self, hangs=False):
        self.hangs = hangs
        self.asked = []

    def tell(self, message):
        pass

    async def ask(self, message):
        self.asked.append(message)
        if self.hangs:
            await asyncio.Event().wait()
        return SimpleNamespace(version=1)


class System(NamedTuple):
    """Controllers of a daemon that matter to its stop."""

    drains: DrainController
    admission: AdmissionController
    stop_filter: StopFilter
    quotas: Silent


async def time_of_end(system, clock):
    """Advance until the stop has completed and return the seconds that it took."""
    begun, waiter = clock.monotonic(), asyncio.create_task(system.drains.ask(WaitStopped()))
    while not waiter.done() and clock.monotonic() - begun < LONG_S:
        await clock.advance(0.1)
    waiter.cancel()
    return clock.monotonic() - begun


async def finish_after(system, clock, seconds, request):
    """Admit a request and complete it after some seconds, so that its size has an estimate."""
    grant = (await system.admission.ask(request)).unwrap()
    await clock.advance(seconds)
    system.admission.tell(Finish(grant, EntryOutcome.COMPLETED))
    await clock.advance(0.0)


def admit(clock, cost=1.0, within=LONG_S):
    return Admit("pipeline:summary", "c", 1.0, cost, clock.monotonic() + within)


def exchange(name="r", deadline=LONG_S):
    call = PipelineCall("summary", "x", 1)
    return Exchange(name, "", call, 0.0, TraceContext("t", "s"), deadline=deadline)
