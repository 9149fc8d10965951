"""Guards against more requests for a replica than the limit that it names for all daemons."""

import asyncio
from bisect import bisect_left

import pytest

from greengagehoist.daemon.tests.gateway_system import group_of, wait_until
from greengagehoist.http1 import get_header

# The rule: in four seconds one and a half times what the limit allows, and five requests.
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
# From this time after the limit was first named, the rule holds.
CONTACT_S = 3.0
DAEMONS = 3
PERIOD_S = 0.04
STAGES = {"X_Greengagehoist_Segments": b"2,1", "X_Greengagehoist_Segment_Key": b"k"}


def limited_group(system, path):
    return system.pool if path == "/deep/" else group_of(system, path)


async def send_for(system, path, seconds):
    """Send requests to all daemons in turn; returns their statuses."""
    fields = STAGES if path == "/deep/" else {}
    tasks, clock = [], asyncio.get_running_loop().time
    end = clock() + seconds
    while clock() < end:
        call = system.call(path, daemon=len(tasks) % len(system.daemons), **fields)
        tasks.append(asyncio.ensure_future(call))
        await asyncio.sleep(PERIOD_S)
    return [status for status, _, _ in await asyncio.gather(*tasks)]


def most_in_window(times, start):
    """Return the largest number of arrivals in a window that begins at or after ``start``."""
    counted = [at for at in times if at >= start]
    return max((bisect_left(counted, at + WINDOW_S) - n for n, at in enumerate(counted)), default=0)


async def send_beyond_a_limit(system, path):
    """Let one replica name a limit, and check what it gets and what callers get."""
    replica = limited_group(system, path)[0]
    replica.limit = b"1"
    started = asyncio.get_running_loop().time()
    statuses = await send_for(system, path, CONTACT_S + WINDOW_S + 0.5)
    allowed = FACTOR * WINDOW_S * float(replica.limit) + SLACK
    assert most_in_window(replica.arrived_at, started + CONTACT_S) <= allowed, path
    # The other replica has room for all.
    assert set(statuses) == {200}, path


@pytest.mark.parametrize("paths", [("/look/", "/text/"), ("/book/", "/once/"), ("/deep/",)])
def test_replica_gets_no_more_than_its_limit_from_all_daemons(run_scenario, paths):
    """Daemons that keep the limit alone send a multiple of it together.

    The paths have replicas of their own and are played side by side.
    """

    async def scenario(system):
        await asyncio.gather(*(send_beyond_a_limit(system, path) for path in paths))

    run_scenario(scenario, daemons=DAEMONS)


def test_limits_of_all_replicas_are_used_and_not_exceeded(run_scenario):
    """Requests beyond the limits are refused; those within them must still be served."""

    async def scenario(system):
        for desk in system.desks:
            desk.limit = b"3"
        seconds, started = CONTACT_S + WINDOW_S + 0.5, asyncio.get_running_loop().time()
        statuses = await send_for(system, "/book/", seconds)
        assert set(statuses) <= {200, 503}
        for desk in system.desks:
            limit = float(desk.limit)
            allowed = FACTOR * WINDOW_S * limit + SLACK
            assert most_in_window(desk.arrived_at, started + CONTACT_S) <= allowed
            late = [at for at in desk.arrived_at if at >= started + CONTACT_S]
            assert len(late) >= 0.8 * limit * (seconds - CONTACT_S)

    run_scenario(scenario, daemons=DAEMONS)


def test_no_stage_runs_for_a_request_that_no_replica_takes_in_time(run_scenario):
    """Stage work was thrown away for each request that the limits of all engines refuse."""

    async def scenario(system):
        for engine in system.engines:
            engine.limit = b"0"
        await send_for(system, "/deep/", 0.5)
        calls = sum(len(replica.calls) for replica in system.pool)
        status, headers, _ = await system.call("/deep/", **STAGES)
        assert status == 503
        assert float(get_header(headers, b"retry-after")) > 1.0
        assert sum(len(replica.calls) for replica in system.pool) == calls

    run_scenario(scenario)


def test_client_that_leaves_while_its_request_waits_leaves_nothing_behind(run_scenario):
    """Replicas stayed busy with requests that had gone, and one cancel ended another request."""

    async def scenario(system):
        for desk in system.desks:
            desk.limit = b"1"
        await send_for(system, "/look/", 1.0)
        daemon = system.daemons[1]
        kept = asyncio.ensure_future(system.call("/look/", daemon=1))
        for _ in range(40):
            sock = await system.connect(1)
            # All have the id of the request that stays.
            data = system.encode("/look/")
            system.request_count -= 1
            sock.write(data)
            await asyncio.sleep(0.01)
            sock.abort()
        assert (await kept)[0] in (200, 503)
        await wait_until(lambda: daemon.front.in_flight == 0)
        await asyncio.sleep(0.1)
        health = daemon.placement._health.values()
        assert [item.observed.in_flight for item in health if item.observed.in_flight] == []
        assert daemon.limits._pending == {}

    run_scenario(scenario, daemons=2)
