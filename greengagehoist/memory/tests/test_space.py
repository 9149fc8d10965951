"""Guards against small requests that cost messages, and against memory that is not given back."""

import asyncio

import pytest

from greengagehoist.gateway.tests.recorder import Recorder
from greengagehoist.memory import (
    BodySpace,
    KeepMemory,
    MemoryController,
    ReleaseMemory,
    ReserveMemory,
    SmallBodies,
)
from greengagehoist.utils import SystemClock

KB = 1024
BODY = 4 * KB * KB


@pytest.fixture
def account():
    return Recorder("memory")


def make(account, small):
    return BodySpace(account, small, "1.2.3.4", lambda: None)


def test_small_request_costs_no_message(account):
    small = SmallBodies(100 * KB)
    space = make(account, small)
    asyncio.run(space.reserve(1500, BODY))
    asyncio.run(space.reserve(17 * KB, BODY))
    assert space.granted >= 17 * KB
    assert small.held == space.granted
    space.keep()
    space.release()
    assert (account.told, small.held, space.granted) == ([], 0, 0)


def test_small_requests_are_reserved_when_their_memory_is_used_up(account):
    """Guards against many small requests that together exceed the memory."""
    small = SmallBodies(20 * KB)
    spaces = [make(account, small) for _ in range(3)]
    for space in spaces:
        asyncio.run(space.reserve(8 * KB, 10 * KB))
    assert small.held == 16 * KB
    assert [type(item) for item in account.told] == [ReserveMemory]
    assert account.told[0].size < 12 * KB


def test_large_request_is_reserved_in_growing_steps(account):
    """Guards against memory that is reserved for what is announced and never sent."""
    space = make(account, SmallBodies(100 * KB))
    sizes = []
    for _ in range(100):
        if space.granted >= BODY:
            break
        asyncio.run(space.reserve(space.granted + 1, BODY))
        sizes.append(space.granted)
    assert sizes[1] <= 128 * KB
    assert space.granted == BODY
    assert len(sizes) < 20
    space.keep()
    space.release()
    assert [type(item) for item in account.told[-2:]] == [KeepMemory, ReleaseMemory]


def test_complete_request_does_not_give_way(account):
    """Guards against a request that is refused while it runs, as the account heard late of its end."""
    called = []
    space = BodySpace(account, SmallBodies(0), "a", lambda: called.append(1))
    asyncio.run(space.reserve(50 * KB, 50 * KB))
    give_way = account.told[0].give_way
    give_way()
    assert called == [1]
    space.keep()
    give_way()
    space.release()
    give_way()
    assert called == [1]


def test_client_that_stalls_gives_way_to_one_that_waits():
    """Guards against clients that hold all memory and stop sending."""

    async def scenario():
        memory = MemoryController(100 * KB, SystemClock())
        running = asyncio.ensure_future(memory.run())
        small, evicted = SmallBodies(0), []
        stalling = BodySpace(memory, small, "a", lambda: evicted.append("stalling"))
        await stalling.reserve(50 * KB, 50 * KB)
        waiting = BodySpace(memory, small, "b", lambda: evicted.append("waiting"))
        reserving = asyncio.ensure_future(waiting.reserve(40 * KB, 40 * KB))
        async with asyncio.timeout(5.0):
            while not evicted:
                await asyncio.sleep(0.01)
        stalling.release()
        await reserving
        assert evicted == ["stalling"]
        assert memory.evicted == 1
        waiting.release()
        while memory.held_bytes:
            await asyncio.sleep(0.01)
        running.cancel()

    asyncio.run(scenario())
