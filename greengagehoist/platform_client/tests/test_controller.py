"""Guards against platform calls that are refused but spend the rate of later ones."""

import random

import pytest
from returns.result import Failure

from greengagehoist.platform_client import PlatformController, ReadRow
from greengagehoist.platform_client._breaker import Breaker, BreakerState


@pytest.fixture
def controller(clock):
    return PlatformController("127.0.0.1:1", clock, random.Random(1))


@pytest.mark.parametrize("state", [BreakerState.OPEN, BreakerState.PROBING])
def test_call_that_the_circuit_breaker_refuses_takes_no_token(controller, state):
    controller._breaker = Breaker(state, 5, 1, probe_at=1.0)
    before, replies = dict(controller._buckets), []
    controller.handle(ReadRow("key"), replies.append)
    assert isinstance(replies[0], Failure)
    assert controller._buckets == before


def test_call_during_a_probe_takes_no_token(controller):
    """The probe's time has come, but another call is the probe."""
    controller._breaker = Breaker(BreakerState.PROBING, 5, 1, probe_at=0.0)
    before, replies = dict(controller._buckets), []
    controller.handle(ReadRow("key"), replies.append)
    assert isinstance(replies[0], Failure)
    assert controller._buckets == before
