"""Guards against reads that trust a feed that fails, and against needless whole reads."""

import asyncio
import random

import pytest
from returns.result import Failure, Success

from greengagehoist.base import ErrorCode, Outcome, StepError, not_run
from greengagehoist.gateway.controllers._deployment_reads import (
    FEED_AVOIDED_S,
    MAX_FEED_AVOIDED_S,
    DeploymentReads,
    ReadCounts,
)
from greengagehoist.platform_client import (
    DeploymentRead,
    HistoryGone,
    ReadDeployment,
    Revision,
    TableState,
)
from greengagehoist.utils import Controller

ROW = Revision(1, 5)
STATE = TableState(Revision(1, 20), ROW)
READ = Success(DeploymentRead(None, ROW, state=STATE))
AWAY = Failure(StepError("platform", "", Outcome.UNKNOWN, ErrorCode.PLATFORM, "away"))
REFUSED = Failure(not_run("platform", ErrorCode.PLATFORM, "breaker"))
GONE = Success(HistoryGone("gone"))


class FakePlatform(Controller):
    """Gives one result to conditional reads and one to whole reads."""

    def __init__(self):
        super().__init__("platform")
        self.feed, self.whole = READ, [READ]
        self.kinds = []

    async def ask(self, message):
        match message:
            case ReadDeployment(since=None):
                self.kinds.append("whole")
                return self.whole.pop(0) if len(self.whole) > 1 else self.whole[0]
            case ReadDeployment():
                self.kinds.append("feed")
                return self.feed


@pytest.fixture
def platform():
    return FakePlatform()


@pytest.fixture
def read(platform, clock):
    """Return a function that reads a number of times and returns the last result."""
    reads = DeploymentReads(platform, clock, random.Random(1))

    def read(times=1, since=STATE, pause_s=1.0):
        async def main():
            for _ in range(times):
                result, sent_at = await reads.read(ROW, since)
                assert sent_at == clock.monotonic()
                await clock.advance(pause_s)
            return result

        return asyncio.run(main())

    read.reads = reads
    return read


def test_known_state_is_confirmed_by_the_feed_alone(platform, read):
    read(3)
    assert platform.kinds == ["feed"] * 3
    assert read.reads.counts == ReadCounts(conditional=3)


def test_unknown_state_is_read_whole(platform, read):
    read(since=None)
    assert platform.kinds == ["whole"]
    assert read.reads.counts == ReadCounts(whole=1)


@pytest.mark.parametrize("feed", [AWAY, GONE])
def test_feed_that_fails_is_replaced_at_once(platform, read, feed):
    platform.feed = feed
    assert read() == READ
    assert platform.kinds == ["feed", "whole"]


def test_feed_that_fails_is_not_asked_again_for_a_while(platform, read):
    """Each read would wait for the time-out of the feed first."""
    platform.feed = AWAY
    read(int(FEED_AVOIDED_S / 2))
    assert platform.kinds.count("feed") == 1
    read(600)
    assert platform.kinds.count("feed") < 10
    platform.feed = READ
    read(int(MAX_FEED_AVOIDED_S))
    assert platform.kinds[-1] == "feed"


def test_history_that_is_gone_once_does_not_count_against_the_feed(platform, read):
    platform.feed = GONE
    read()
    platform.feed = READ
    read()
    assert platform.kinds == ["feed", "whole", "feed"]


def test_store_without_any_history_is_read_whole_by_one_call(platform, read):
    platform.feed = GONE
    read(int(FEED_AVOIDED_S / 2))
    assert platform.kinds.count("feed") == 2


def test_outage_costs_one_call_for_each_attempt(platform, read):
    """Twice the calls of all daemons would meet a store that has just come back."""
    platform.feed, platform.whole = AWAY, [AWAY]
    assert read(9) == AWAY
    assert len(platform.kinds) == 10
    assert platform.kinds[2:] == ["feed", "whole"] * 4
    platform.feed, platform.whole = READ, [READ]
    assert read() == READ
    assert len(platform.kinds) == 11
    read(2)
    assert platform.kinds[-1] == "feed"


def test_refused_call_is_not_repeated(platform, read):
    platform.feed = REFUSED
    assert read() == REFUSED
    assert platform.kinds == ["feed"]


def page(table, zones, last="", row=ROW):
    return Success(DeploymentRead(None, row, "", TableState(table, row, frozenset(zones)), last))


def test_pages_of_a_whole_read_are_joined(platform, read):
    """Changes after the first page are in the feed that follows it."""
    first, second = page(Revision(1, 30), "a", "k"), page(Revision(1, 31), "b")
    platform.whole = [first, second]
    state = read(since=None).unwrap().state
    assert state == TableState(Revision(1, 30), ROW, frozenset("ab"))


def test_pages_of_different_eras_are_read_again(platform, read):
    again = page(Revision(2, 30), "b", "", Revision(2, 5))
    platform.whole = [page(Revision(1, 30), "a", "k"), again, again]
    assert read(since=None) == again
    assert platform.kinds == ["whole"] * 3


def test_pages_without_end_are_a_failed_read(platform, read):
    platform.whole = [page(Revision(1, 30), "a", "k")]
    assert isinstance(read(since=None), Failure)
