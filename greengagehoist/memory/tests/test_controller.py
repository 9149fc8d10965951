"""Guards against large answers that together take more memory than a daemon has."""

import asyncio

import pytest

from greengagehoist.gateway.tests.recorder import deliver
from greengagehoist.memory import Buffered, MemoryController, ReleaseMemory, ReserveMemory
from greengagehoist.utils import SteppedClock


@pytest.fixture
def controller():
    return MemoryController(100, SteppedClock())


def test_memory_is_granted_up_to_the_limit_in_order(controller):
    assert deliver(controller, ReserveMemory("a", Buffered(), "r", 60)) == [True]
    waiting = deliver(controller, ReserveMemory("b", Buffered(), "r", 60))
    # A small request does not overtake, or the large one might wait without end.
    small = deliver(controller, ReserveMemory("c", Buffered(), "r", 10))
    assert (waiting, small) == ([], [])
    deliver(controller, ReleaseMemory("a"))
    assert (waiting, small) == ([True], [True])
    assert controller.held_bytes == 70


def test_replica_whose_answers_hold_least_goes_first(controller):
    """Guards against a faulty replica whose many answers hold up those of all others."""
    for key in range(4):
        deliver(controller, ReserveMemory(key, Buffered(), "faulty", 40))
    sound = deliver(controller, ReserveMemory("a", Buffered(), "sound", 40))
    assert sound == []
    deliver(controller, ReleaseMemory(0))
    assert sound == [True]


def test_request_beyond_the_limit_is_granted_alone(controller):
    """Guards against an answer that waits without end for more memory than there is."""
    assert deliver(controller, ReserveMemory("a", Buffered(), "r", 500)) == [True]
    assert deliver(controller, ReserveMemory("b", Buffered(), "r", 1)) == []
    assert controller.held_bytes == 100


def test_release_ends_a_wait(controller):
    """A client that leaves while its request waits must not receive memory later."""
    deliver(controller, ReserveMemory("a", Buffered(), "r", 100))
    left = deliver(controller, ReserveMemory("b", Buffered(), "r", 50))
    waiting = deliver(controller, ReserveMemory("c", Buffered(), "r", 50))
    deliver(controller, ReleaseMemory("b"))
    deliver(controller, ReleaseMemory("a"))
    assert (left, waiting) == ([], [True])
    assert controller.held_bytes == 50


def test_repeated_release_frees_nothing_twice(controller):
    deliver(controller, ReserveMemory("a", Buffered(), "r", 100))
    for _ in range(2):
        deliver(controller, ReleaseMemory("a"))
    assert deliver(controller, ReserveMemory("b", Buffered(), "r", 100)) == [True]
    assert deliver(controller, ReserveMemory("c", Buffered(), "r", 100)) == []


def test_answer_that_is_cancelled_holds_nothing():
    async def scenario():
        controller = MemoryController(100, SteppedClock())
        running = asyncio.ensure_future(controller.run())
        await controller.ask(ReserveMemory("a", Buffered(), "r", 100))
        asking = asyncio.ensure_future(controller.ask(ReserveMemory("b", Buffered(), "r", 100)))
        await asyncio.sleep(0)
        asking.cancel()
        controller.tell(ReleaseMemory("b"))
        controller.tell(ReleaseMemory("a"))
        assert await controller.ask(ReserveMemory("c", Buffered(), "r", 100))
        assert controller.held_bytes == 100
        running.cancel()

    asyncio.run(scenario())
