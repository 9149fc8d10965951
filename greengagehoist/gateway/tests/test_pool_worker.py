"""Guards against answers of earlier stage calls, with a stand-in of a pool replica on loopback.

A replica wrote an earlier answer once more on a kept connection, and it passed for the answer to the
next call, whose pieces then got the results of other requests.
"""

import asyncio

import pytest

from greengagehoist.gateway.controllers._kept_connection import MAX_HANDLES
from greengagehoist.gateway.controllers._pool_worker import PoolWorker
from greengagehoist.gateway.tests.recorder import Recorder
from greengagehoist.pieces import Made, Piece
from greengagehoist.platform import PlatformWireFormat
from greengagehoist.replicas import Replica
from greengagehoist.standins import Full, Healthy, MakesNothing, Repeats, ReplicaStandin
from greengagehoist.utils import SystemClock

# Time for an answer that is on its way when the next call is sent.
PAUSE_S = 0.05


@pytest.fixture
def run_calls():
    """Return a function that sends one call under each behaviour and returns stand-in and ends."""

    def run(behaviours, pause_s=0.0, count=2):
        return asyncio.run(send_calls(behaviours, pause_s, count))

    return run


async def send_calls(behaviours, pause_s, count):
    standin, owner = ReplicaStandin("p0", "pool", "a"), Recorder("owner")
    await standin.start()
    host, _, port = standin.address.partition(":")
    replica = Replica("p0", "pool", host, int(port), "a", 8, 1, False)
    worker = PoolWorker(replica, PlatformWireFormat(), SystemClock(), owner)
    standin.pause_s = pause_s
    try:
        for number, behaviour in enumerate(behaviours):
            standin.behaviour = behaviour
            pieces = tuple(Piece(f"r{number}", 0, n, "k", (), 5.0) for n in range(count))
            await worker.run_batch(pieces, 0.01)
    finally:
        worker.close()
        await standin.stop()
    return standin, owner.told


def check_results(standin, ends):
    """Check that each piece got the result that was made for it."""
    for end in ends:
        for piece, outcome in zip(end.pieces, end.outcomes or (), strict=False):
            if isinstance(outcome, Made):
                item = standin.stage_results[outcome.handle]
                assert (item["id"], item["segment"]) == (piece.request_id, piece.segment)


@pytest.mark.parametrize("pause_s", [0.0, PAUSE_S])
def test_repeated_answer_is_not_taken_for_the_next_one(run_calls, pause_s):
    standin, ends = run_calls([Healthy(), Repeats(), Healthy(), Repeats()], pause_s)
    check_results(standin, ends)
    assert [end.failure for end in ends] == ["", "lost", "", "lost"]


@pytest.mark.parametrize("first", [Full(), MakesNothing("late"), MakesNothing("error")])
def test_answer_to_a_call_is_not_taken_for_the_next_one_after_a_repeated_refusal(run_calls, first):
    """After a repeated answer without results, each answer would belong to the call before."""
    standin, ends = run_calls([Healthy(), first, Repeats(), Healthy(), Healthy()], PAUSE_S)
    check_results(standin, ends)
    assert [end.failure for end in ends[2:]] == ["", "", ""]


def test_calls_with_results_share_a_connection(run_calls):
    """A new connection for each call would cost a round trip."""
    standin, ends = run_calls([Healthy()] * 5)
    check_results(standin, ends)
    assert standin.connections == 1


def test_handles_of_a_connection_are_bounded(run_calls):
    """The memory for received handles must not grow with the age of a connection."""
    standin, ends = run_calls([Healthy()] * 3, count=MAX_HANDLES // 2 + 1)
    check_results(standin, ends)
    assert [end.failure for end in ends] == ["", "", ""]
    assert standin.connections == 2
