"""Guards against requests for replicas that say they leave or ask for a pause, with stand-ins."""

import asyncio
import time

import pytest

from greengagehoist.daemon.tests.gateway_system import BOUNDS, group_of, wait_until
from greengagehoist.http1 import get_header
from greengagehoist.replicas._availability import REPORT_TIME_S
from greengagehoist.standins import Healthy, Sheds

STAGES = {"X_Greengagehoist_Segments": b"2,1", "X_Greengagehoist_Segment_Key": b"k"}


async def call_many(system, path, count, **headers):
    return [(await system.call(path, **headers))[0] for _ in range(count)]


@pytest.mark.parametrize("path", ["/look/", "/book/", "/text/", "/once/"])
def test_replica_that_says_it_leaves_gets_no_more_requests(run_scenario, path):
    """The list still says that it is ready.

    A new incarnation gets requests as soon as it is listed, if it was not listed soon after the answer.
    """

    async def scenario(system):
        leaving, other = group_of(system, path)
        leaving.leaving = True
        async with asyncio.timeout(5):
            while not leaving.arrivals:
                await call_many(system, path, 2)
        arrived = leaving.arrivals
        assert set(await call_many(system, path, 8)) == {200}
        assert leaving.arrivals == arrived
        table, said_at = system.daemons[0].replicas.table, time.monotonic()
        await wait_until(lambda: table.value.read_at > said_at + REPORT_TIME_S, 8.0)
        leaving.leaving, leaving.born = False, 2
        system.store.put("servers", leaving.replica_id, leaving.entry())
        await wait_until(lambda: table.value.replicas[leaving.replica_id].born_ms == 2)
        for replica in (leaving, other):
            replica.pause_s = 0.05
        await asyncio.gather(*(system.call(path) for _ in range(12)))
        assert leaving.arrivals > arrived

    run_scenario(scenario)


@pytest.mark.parametrize("restarts", [1, 2])
@pytest.mark.parametrize("path", ["/book/", "/deep/"])
def test_replica_that_restarted_unseen_and_says_it_leaves_gets_no_more_requests(
    run_scenario, path, restarts
):
    """Guards against a statement that the first read after an outage of the platform undoes.

    It was kept for the incarnation that was listed when the answer came, which was an earlier one.
    """

    async def scenario(system):
        leaving = (system.pool if path == "/deep/" else system.desks)[0]
        table = system.daemons[0].replicas.table
        for born in range(2, 2 + restarts):
            leaving.born = born
            system.store.put("servers", leaving.replica_id, leaving.entry())
            system.store.available = False
        leaving.leaving = True
        async with asyncio.timeout(5):
            while not leaving.arrivals:
                await call_many(system, path, 2, **STAGES)
        arrived = leaving.arrivals
        assert table.value.replicas[leaving.replica_id].born_ms == 1
        system.store.available = True
        await wait_until(lambda: table.value.replicas[leaving.replica_id].born_ms == leaving.born)
        # With calls in parallel, each replica that may be used gets some.
        for replica in system.pool + system.desks:
            replica.pause_s = 0.05
        calls = [call_many(system, path, 1, **STAGES) for _ in range(6)]
        assert await asyncio.gather(*calls) == [[200]] * 6
        assert leaving.arrivals == arrived
        # It was the former incarnation that had left.
        leaving.leaving = False
        async with asyncio.timeout(REPORT_TIME_S + 3.0):
            while leaving.arrivals == arrived:
                await asyncio.gather(*(call_many(system, path, 1, **STAGES) for _ in range(6)))

    run_scenario(scenario, bounds=BOUNDS._replace(revoke_s=9.0))


def test_pool_replica_that_says_it_leaves_gets_no_more_calls(run_scenario):
    async def scenario(system):
        leaving = system.pool[0]
        leaving.leaving = True
        async with asyncio.timeout(5):
            while not leaving.arrivals:
                await call_many(system, "/deep/", 2, **STAGES)
        arrived = leaving.arrivals
        assert set(await call_many(system, "/deep/", 6, **STAGES)) == {200}
        assert leaving.arrivals == arrived

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/look/", "/once/"])
def test_replica_that_asks_for_a_pause_gets_it(run_scenario, path):
    async def scenario(system):
        shedding, _ = group_of(system, path)
        shedding.behaviour = Sheds(b"1.5")
        async with asyncio.timeout(5):
            while not shedding.arrivals:
                await call_many(system, path, 2)
        arrived = shedding.arrivals
        for _ in range(4):
            assert set(await call_many(system, path, 4)) == {200}
            await asyncio.sleep(0.25)
        assert shedding.arrivals == arrived

    run_scenario(scenario)


def test_pool_replica_that_asks_for_a_pause_gets_it(run_scenario):
    async def scenario(system):
        shedding = system.pool[0]
        shedding.behaviour = Sheds(b"1.5")
        async with asyncio.timeout(5):
            while not shedding.arrivals:
                await call_many(system, "/deep/", 2, **STAGES)
        arrived = shedding.arrivals
        for _ in range(3):
            assert set(await call_many(system, "/deep/", 3, **STAGES)) == {200}
        assert shedding.arrivals == arrived

    run_scenario(scenario)


def test_request_that_cannot_wait_for_the_pause_is_refused_at_once(run_scenario):
    async def scenario(system):
        for desk in system.desks:
            desk.behaviour = Sheds(b"30")
        await call_many(system, "/look/", 3)
        arrived = sum(desk.arrivals for desk in system.desks)
        started = asyncio.get_running_loop().time()
        status, headers, _ = await system.call("/look/")
        assert status == 503
        assert 25 < float(get_header(headers, b"retry-after")) <= 30
        assert asyncio.get_running_loop().time() - started < 0.5
        assert sum(desk.arrivals for desk in system.desks) == arrived

    run_scenario(scenario)


def test_requests_that_can_wait_follow_one_alone(run_scenario):
    """A replica that has just recovered must not meet all that waited for it."""

    async def scenario(system):
        for desk in system.desks:
            desk.behaviour = Sheds(b"0.4")
        await call_many(system, "/look/", 3)
        for desk in system.desks:
            desk.behaviour, desk.pause_s = Healthy(), 0.2
        arrived = sum(desk.arrivals for desk in system.desks)
        waiting = [asyncio.ensure_future(system.call("/look/")) for _ in range(8)]
        await wait_until(lambda: sum(desk.arrivals for desk in system.desks) > arrived)
        await asyncio.sleep(0.1)
        assert sum(desk.arrivals for desk in system.desks) - arrived <= len(system.desks)
        assert {(await item)[0] for item in waiting} == {200}

    run_scenario(scenario)


@pytest.mark.parametrize(
    "value", [b"soon", b"-1", b"0", b"", b"nan", b"Wed, 21 Oct 2026 07:28:00 GMT"]
)
def test_malformed_pause_is_a_plain_refusal(run_scenario, value):
    async def scenario(system):
        system.desks[0].behaviour = Sheds(value)
        assert set(await call_many(system, "/look/", 6)) == {200}

    run_scenario(scenario)
