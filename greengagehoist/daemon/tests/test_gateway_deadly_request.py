"""Guards against a request that crashes one replica after the other whenever it comes again."""

import asyncio

import pytest

from greengagehoist.daemon.tests.gateway_system import group_of
from greengagehoist.daemon.tests.test_gateway_crashing_part import prompt
from greengagehoist.http1 import IncompleteError, get_header
from greengagehoist.standins import CrashesOnBody

DOWN_S = 0.3
# The rule: three retries from this time after the third crash.
CONTACT_S = 3.0
MAX_LATER_REQUESTS = 3
REPEATS = 20
DEADLY, SOUND = b"deadly", b"sound"


async def send(system, path, number, body, **fields):
    """Send a request to one of the daemons; returns the status and Retry-After."""
    daemon = number % len(system.daemons)
    try:
        status, headers, _ = await system.call(path, body, daemon=daemon, **fields)
    except IncompleteError:
        return 0, None
    return status, get_header(headers, b"retry-after")


def received(group, body):
    """Return how often replicas have received a request with a body."""
    return sum(request.body == body for replica in group for request in replica.requests)


async def repeat_deadly(system, path, fields):
    """Repeat one request beside sound ones, and check how often it reaches replicas."""
    group = group_of(system, path)
    for replica in group:
        replica.behaviour = CrashesOnBody(DEADLY, DOWN_S)
    clock = asyncio.get_running_loop().time
    third_at, before, replies = None, 0, []
    for number in range(REPEATS):
        replies.append(await send(system, path, number, DEADLY, **fields))
        await asyncio.sleep(DOWN_S)
        status, _ = await send(system, path, number, SOUND, **fields)
        assert status == 200, path
        crashes = sorted(at for replica in group for at in replica.crashes)
        if third_at is None and len(crashes) >= 3:
            third_at = crashes[2]
        if third_at is not None and clock() < third_at + CONTACT_S:
            before = received(group, DEADLY)
        await asyncio.sleep(DOWN_S)
    assert third_at is not None, path
    assert received(group, DEADLY) - before <= MAX_LATER_REQUESTS, path
    status, retry_after = replies[-1]
    assert (status, float(retry_after) > 0) == (503, True), path


@pytest.mark.parametrize("parts", [(), (b"system", b"doc", b"own")])
@pytest.mark.parametrize("paths", [("/look/", "/text/"), ("/book/", "/once/")])
def test_request_that_crashes_replicas_is_held_back(run_scenario, paths, parts):
    """It has no prompt part that other requests lack, or no prompt at all.

    The paths have replicas of their own and are played side by side.
    """

    async def scenario(system):
        fields = prompt(*parts) if parts else {}
        await asyncio.gather(*(repeat_deadly(system, path, fields) for path in paths))

    run_scenario(scenario, daemons=2, engines=4)


@pytest.mark.parametrize("path", ["/look/", "/once/"])
def test_sound_request_that_is_repeated_beside_a_deadly_one_is_served(run_scenario, path):
    """It is under way when replicas end, so only its answers tell it from the deadly one."""

    async def scenario(system):
        group = group_of(system, path)
        for replica in group:
            replica.behaviour, replica.pause_s = CrashesOnBody(DEADLY, DOWN_S), 0.05
        refused = 0
        for number in range(12):
            both = send(system, path, number, DEADLY), send(system, path, number, SOUND)
            await asyncio.gather(*both)
            await asyncio.sleep(DOWN_S)
            refused += (await send(system, path, number, SOUND))[0] == 503
        assert refused <= 1

    run_scenario(scenario, daemons=2, engines=4)
