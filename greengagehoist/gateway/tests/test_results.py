"""Guards against a handle that keeps the results of other replicas from being freed."""

import asyncio

import pytest

from greengagehoist.gateway.controllers import _results as module
from greengagehoist.gateway.controllers._results import FreeHandles, ResultController
from greengagehoist.gateway.tests.recorder import Recorder, deliver


@pytest.fixture
def freed(monkeypatch):
    """Return the handles that are freed, and replace the calls to replicas."""
    found = []

    async def free(self, handles):
        found.extend(handles)
        return True

    monkeypatch.setattr(module.ResultFreer, "free", free)
    return found


@pytest.mark.parametrize("odd", ["nowhere/1", "a:/1", "a:8\u00b2/1", "a:" + "9" * 5000 + "/1", ""])
def test_odd_handle_does_not_keep_others_from_being_freed(clock, freed, odd):
    """The message of a daemon of an earlier version may name such a handle."""

    async def scenario():
        controller = ResultController(None, clock, Recorder("follower"))
        deliver(controller, FreeHandles((odd, "10.0.0.1:1/1")))
        await clock.advance(0.0)
        assert freed == ["10.0.0.1:1/1"]

    asyncio.run(scenario())
