"""Guards against platform calls that are refused but spend the rate of later ones."""

import random

import pytest
from returns.result import Failure

from greengagehoist.gateway.tests.recorder import Recorder
from greengagehoist.platform_client import (
    DeleteRow,
    EraChanged,
    PlatformController,
    ReadRow,
    WriteRow,
)
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


class EraCodec:
    """Codec of a table that states its era in a header."""

    def is_write(self, message):
        return isinstance(message, WriteRow)

    def read_era(self, headers):
        return headers["era"]


@pytest.fixture
def table(clock):
    """Return a controller that decodes eras, and its follower."""
    follower = Recorder("follower")
    controller = PlatformController(
        "127.0.0.1:1", clock, random.Random(1), EraCodec(), followers=(follower,)
    )
    return controller, follower


def test_response_of_an_earlier_era_is_rejected(table):
    """It may be a late one, which says nothing about the table that was restored since."""
    controller, follower = table
    assert [controller._check_era({"era": era}) for era in (3, 3, 4)] == [3, 3, 4]
    with pytest.raises(ValueError, match="era 3"):
        controller._check_era({"era": 3})
    assert controller._check_era({"era": 4}) == 4
    assert follower.told == [EraChanged(4)]


@pytest.mark.parametrize(
    "make", [lambda era: WriteRow("k", 1, 5, era), lambda era: DeleteRow("k", 5, era)]
)
def test_condition_of_an_earlier_era_is_not_sent(table, make):
    """The version may have been given out again, for other content."""
    controller, _ = table
    controller._check_era({"era": 4})
    replies = []
    controller.handle(make(3), replies.append)
    assert "another era" in replies[0].failure().message
    assert not controller._conditional_on_other_era(make(4))
