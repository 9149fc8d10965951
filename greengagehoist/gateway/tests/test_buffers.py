"""Guards against large answers that together take more memory than a daemon has."""

import asyncio

import pytest

from greengagehoist.gateway.controllers import BufferController, ReleaseBuffer, ReserveBuffer
from greengagehoist.gateway.tests.recorder import deliver


@pytest.fixture
def controller():
    return BufferController(100)


def test_memory_is_granted_up_to_the_limit_in_order(controller):
    assert deliver(controller, ReserveBuffer("r", "a", 60)) == [True]
    waiting = deliver(controller, ReserveBuffer("r", "b", 60))
    # A small request does not overtake, or the large one might wait without end.
    small = deliver(controller, ReserveBuffer("r", "c", 10))
    assert (waiting, small) == ([], [])
    deliver(controller, ReleaseBuffer("a"))
    assert (waiting, small) == ([True], [True])
    assert controller.held_bytes == 70


def test_replica_whose_answers_hold_least_goes_first(controller):
    """Guards against a faulty replica whose many answers hold up those of all others."""
    for key in range(4):
        deliver(controller, ReserveBuffer("faulty", key, 40))
    sound = deliver(controller, ReserveBuffer("sound", "a", 40))
    assert sound == []
    deliver(controller, ReleaseBuffer(0))
    assert sound == [True]


def test_request_beyond_the_limit_is_granted_alone(controller):
    """Guards against an answer that waits without end for more memory than there is."""
    assert deliver(controller, ReserveBuffer("r", "a", 500)) == [True]
    assert deliver(controller, ReserveBuffer("r", "b", 1)) == []
    assert controller.held_bytes == 100


def test_release_ends_a_wait(controller):
    """A client that leaves while its request waits must not receive memory later."""
    deliver(controller, ReserveBuffer("r", "a", 100))
    left = deliver(controller, ReserveBuffer("r", "b", 50))
    waiting = deliver(controller, ReserveBuffer("r", "c", 50))
    deliver(controller, ReleaseBuffer("b"))
    deliver(controller, ReleaseBuffer("a"))
    assert (left, waiting) == ([], [True])
    assert controller.held_bytes == 50


def test_repeated_release_frees_nothing_twice(controller):
    deliver(controller, ReserveBuffer("r", "a", 100))
    for _ in range(2):
        deliver(controller, ReleaseBuffer("a"))
    assert deliver(controller, ReserveBuffer("r", "b", 100)) == [True]
    assert deliver(controller, ReserveBuffer("r", "c", 100)) == []


def test_answer_that_is_cancelled_holds_nothing():
    async def scenario():
        controller = BufferController(100)
        running = asyncio.ensure_future(controller.run())
        await controller.ask(ReserveBuffer("r", "a", 100))
        asking = asyncio.ensure_future(controller.ask(ReserveBuffer("r", "b", 100)))
        await asyncio.sleep(0)
        asking.cancel()
        controller.tell(ReleaseBuffer("b"))
        controller.tell(ReleaseBuffer("a"))
        assert await controller.ask(ReserveBuffer("r", "c", 100))
        assert controller.held_bytes == 100
        running.cancel()

    asyncio.run(scenario())
