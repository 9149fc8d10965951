"""Guards against more requests for a cold replica than it survives, with stand-ins on loopback."""

import asyncio
from bisect import bisect_left

import pytest

from greengagehoist.daemon.tests.gateway_system import BOUNDS, config, wait_until
from greengagehoist.gateway.controllers._ownership import SETTLE_S
from greengagehoist.standins import ReplicaStandin

BOUNDS = BOUNDS._replace(cold_overshoot=1.5, cold_slack=5.0)
PER_S = 8.0
COLD_S = 3.0
ALLOWED = PER_S * 1.5 + 5
DAEMONS = 3
# Requests are sent in rounds of one to each daemon.
PERIOD_S = 0.02
SECONDS = 3.0
# Replicas that answer at once have no load, so that all requests go to the first one.
PAUSE_S = 0.1


@pytest.fixture
def run_cold(run_scenario):
    """Return a function that runs a scenario whose plain service and engines have an allowance."""

    def run(scenario, daemons=DAEMONS):
        async def main(system):
            raw = config(version=2)
            for service in raw["services"]:
                service |= {"cold_start_s": COLD_S, "cold_per_s": PER_S}
            system.store.put("op", "config", raw)

            def is_applied(daemon):
                return daemon.deployments.snapshot.value.deployment.version == 2

            await wait_until(lambda: all(is_applied(item) for item in system.daemons))
            await wait_until(
                lambda: all(len(d.topology.links.value) == daemons - 1 for d in system.daemons), 9
            )
            await wait_until(
                lambda: all(len(d.reach.reach.value.linked) == daemons - 1 for d in system.daemons)
            )
            await asyncio.sleep(SETTLE_S + 0.2)
            for desk in system.desks:
                desk.pause_s = PAUSE_S
            await scenario(system)

        run_scenario(main, daemons, BOUNDS)

    return run


async def send_while(system, path, seconds):
    """Send requests to all daemons for some seconds; returns their statuses."""
    clock, tasks = asyncio.get_running_loop().time, []
    end = clock() + seconds
    while clock() < end:
        calls = [system.call(path, daemon=daemon) for daemon in range(len(system.daemons))]
        tasks.extend(asyncio.ensure_future(call) for call in calls)
        await asyncio.sleep(PERIOD_S)
    return {status for status, _, _ in await asyncio.gather(*tasks)}


def most_in_a_second(times):
    return max((bisect_left(times, at + 1.0) - n for n, at in enumerate(times)), default=0)


def times_until(replica, end):
    return [at for at in replica.arrived_at if at < end]


async def add_replica(system, service="desk", **fields):
    """Start a replica and list it."""
    replica = ReplicaStandin("new", service, "a", "plain")
    for name, value in fields.items():
        setattr(replica, name, value)
    await replica.start()
    {"desk": system.desks, "pool": system.pool}[service].append(replica)
    system.store.put("servers", replica.replica_id, replica.entry())
    return replica


def wait_for_cold(system, key, is_cold=True):
    return wait_until(
        lambda: all(
            any(name == key for name, _ in daemon.limits.cold.value) == is_cold
            for daemon in system.daemons
        )
    )


@pytest.mark.parametrize("fields", [{}, {"cold_ms": 60_000}, {"cold_ms": "soon"}])
def test_new_replica_gets_its_allowance_from_all_daemons_together(run_cold, fields):
    """It got the requests of all daemons at once, as it was the least loaded."""

    async def scenario(system):
        replica = await add_replica(system, **fields)
        listed_at = asyncio.get_running_loop().time()
        statuses = await send_while(system, "/look/", COLD_S)
        assert statuses == {200}
        arrived = times_until(replica, listed_at + COLD_S)
        assert most_in_a_second(arrived) <= ALLOWED
        assert replica.arrivals

    run_cold(scenario)


def test_replica_that_turns_cold_gets_its_allowance(run_cold):
    """Both the entry in the list and the header of any answer say so."""

    async def scenario(system):
        by_entry, by_answer = system.desks
        by_entry.cold_ms, by_answer.cold_header = 60_000, b"60000"
        system.store.put("servers", by_entry.replica_id, by_entry.entry())
        while any(len(daemon.limits.cold.value) < 2 for daemon in system.daemons):
            await send_while(system, "/look/", 0.1)
        # Requests whose connections are being opened arrive soon.
        await asyncio.sleep(0.3)
        for replica in system.desks:
            replica.arrived_at.clear()
        statuses = await send_while(system, "/look/", SECONDS)
        assert statuses <= {200, 503}
        for replica in system.desks:
            assert most_in_a_second(replica.arrived_at) <= ALLOWED
            assert len(replica.arrived_at) >= 0.5 * PER_S * SECONDS
        by_entry.cold_ms, by_answer.cold_header = 0, b"0"
        system.store.put("servers", by_entry.replica_id, by_entry.entry())

        async def reach_warm():
            while any(d.limits.cold.value for d in system.daemons):
                await send_while(system, "/look/", 0.1)

        await asyncio.wait_for(reach_warm(), 10.0)
        assert await send_while(system, "/look/", 0.5) == {200}

    run_cold(scenario)


def test_listed_replicas_are_not_slowed_at_the_start(run_cold):
    """All of them would count as new for a daemon that starts."""

    async def scenario(system):
        await system.add_daemon("late")
        for daemon in system.daemons:
            assert daemon.limits.cold.value == {}
        assert await send_while(system, "/look/", 0.5) == {200}

    run_cold(scenario, daemons=1)


def test_replicas_are_cold_after_an_evacuation(run_cold):
    async def scenario(system):
        far = system.desks[1]
        await system.move([far], "b")
        system.evacuate("b")
        await wait_for_cold(system, far.replica_id)
        assert await send_while(system, "/look/", 0.3) == {200}
        assert far.arrivals == 0
        system.evacuate()
        returned_at = asyncio.get_running_loop().time()
        assert await send_while(system, "/look/", COLD_S) == {200}
        arrived = times_until(far, returned_at + COLD_S)
        assert 1 <= most_in_a_second(arrived) <= ALLOWED
        await wait_for_cold(system, far.replica_id, False)

    run_cold(scenario)


def test_calls_of_a_cold_pool_replica_count(run_cold):
    async def scenario(system):
        replica = await add_replica(system, "pool", cold_ms=60_000)
        stages = {"X_Greengagehoist_Segments": b"1,1", "X_Greengagehoist_Segment_Key": b"k"}
        await wait_for_cold(system, replica.replica_id)
        for other in system.pool[:2]:
            system.store.remove("servers", other.replica_id)
        await wait_until(
            lambda: all("p0" not in d.replicas.table.value.replicas for d in system.daemons)
        )
        replica.arrived_at.clear()
        calls = [
            asyncio.ensure_future(system.call("/deep/", daemon=number % DAEMONS, **stages))
            for number in range(90)
        ]
        await asyncio.gather(*calls)
        assert most_in_a_second(replica.arrived_at) <= ALLOWED
        assert replica.arrivals

    run_cold(scenario)


def test_cold_replicas_are_counted_in_the_metrics(run_cold):
    async def scenario(system):
        replica = await add_replica(system, cold_ms=60_000)
        await wait_for_cold(system, replica.replica_id)
        _, text = system.daemons[0]._metrics()
        assert b'greengagehoist_state{name="cold_replicas"} 1.0' in text
        assert b'greengagehoist_state{name="permits_refused"}' in text

    run_cold(scenario, daemons=1)
