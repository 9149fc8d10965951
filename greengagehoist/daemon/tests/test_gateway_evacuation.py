"""Guards against work that reaches an evacuated data centre, with stand-ins on loopback."""

import asyncio

import pytest

from greengagehoist.daemon.tests.gateway_system import group_of, wait_until
from greengagehoist.gateway.controllers import _kept_connection
from greengagehoist.gateway.filters import _replica
from greengagehoist.http1 import IncompleteError, get_header
from greengagehoist.standins import BreaksOff, Healthy, Sheds, Silent

STAGES = {"X_Greengagehoist_Segments": b"2,2", "X_Greengagehoist_Segment_Key": b"k"}
PROMPT = {"X_Greengagehoist_Model": b"m", "X_Greengagehoist_Token_Count": b"2010,5"}
PATHS = ("/look/", "/book/", "/text/", "/once/", "/deep/")
FAR = "b"


def fields_of(path):
    return STAGES if path == "/deep/" else {}


async def move_half(system):
    """Move every second replica of each service to another data centre; returns them."""
    far = [group[1] for group in (system.desks, system.engines, system.pool)]
    await system.move(far, FAR)
    return far


def arrivals(replicas):
    return [replica.arrivals for replica in replicas]


def assert_refused_at_once(answer):
    status, headers, _ = answer
    assert status == 503
    assert float(get_header(headers, b"retry-after")) > 0


def hook_connections(monkeypatch, module, action):
    """Call ``action`` with the port after each connection of a module has been opened."""
    open_socket = module.open_socket

    async def open_and_act(host, port, timeout):
        sock = await open_socket(host, port, timeout)
        action(port)
        return sock

    monkeypatch.setattr(module, "open_socket", open_and_act)


def test_evacuated_data_centre_gets_no_work_until_it_is_taken_back(run_scenario):
    """Replicas of a data centre that is shut down for maintenance still got requests."""

    async def scenario(system):
        far = await move_half(system)
        system.evacuate(FAR)
        before = arrivals(far)
        calls = [
            system.call(path, daemon=number % 2, **fields_of(path))
            for number in range(8)
            for path in PATHS
        ]
        answers = await asyncio.gather(*calls)
        assert {status for status, _, _ in answers} == {200}
        assert arrivals(far) == before
        system.evacuate()

        async def reach_all():
            while any(now == old for now, old in zip(arrivals(far), before, strict=True)):
                calls = (system.call(path, daemon=1, **fields_of(path)) for path in PATHS * 3)
                await asyncio.gather(*calls)

        await asyncio.wait_for(reach_all(), 8.0)

    run_scenario(scenario, daemons=2)


@pytest.mark.parametrize("path", PATHS)
def test_requests_are_refused_at_once_if_all_data_centres_are_evacuated(run_scenario, path):
    async def scenario(system):
        system.evacuate("a")
        answers = await asyncio.gather(*(system.call(path, **fields_of(path)) for _ in range(3)))
        for answer in answers:
            assert_refused_at_once(answer)
        assert sum(arrivals(system.replicas)) == 0

    run_scenario(scenario)


@pytest.mark.parametrize("group", ["engines", "pool"])
def test_request_is_refused_if_all_replicas_of_one_of_its_services_are_evacuated(
    run_scenario, group
):
    """Stages must not run for a request that no engine takes."""

    async def scenario(system):
        await system.move(getattr(system, group), FAR)
        system.evacuate(FAR)
        assert_refused_at_once(await system.call("/deep/", **STAGES))
        assert sum(arrivals(system.replicas)) == 0

    run_scenario(scenario)


def test_stage_work_that_waits_is_refused_when_its_pool_is_evacuated(run_scenario):
    """Queued pieces waited until their deadline for replicas that may not be called."""

    async def scenario(system):
        await system.move(system.pool, FAR)
        for replica in system.pool:
            replica.behaviour = Sheds(b"0.2")
        call = asyncio.ensure_future(system.call("/deep/", **STAGES))
        await wait_until(lambda: all(arrivals(system.pool)))
        system.evacuate(FAR)
        before = arrivals(system.pool)
        assert_refused_at_once(await call)
        assert arrivals(system.pool) == before

    run_scenario(scenario)


def test_work_that_runs_in_an_evacuated_data_centre_is_finished(run_scenario):
    """An evacuation is no failure: answers and results that exist must not be made again."""

    async def scenario(system):
        for replica in system.replicas:
            replica.pause_s = 0.15
        calls = [asyncio.ensure_future(system.call(path, **fields_of(path))) for path in PATHS[:4]]
        await wait_until(lambda: sum(arrivals(system.desks + system.engines)) == 4)
        system.evacuate("a")
        answers = await asyncio.gather(*calls)
        assert {status for status, _, _ in answers} == {200}
        assert sum(arrivals(system.desks + system.engines)) == 4

    run_scenario(scenario)


def test_broken_stream_is_not_resumed_in_an_evacuated_data_centre(run_scenario):
    async def scenario(system):
        near, far = system.engines
        await system.move([far], FAR)
        near.behaviour, near.pause_s = BreaksOff(2), 0.05
        call = asyncio.ensure_future(system.call("/text/"))
        await wait_until(lambda: near.arrivals)
        system.evacuate(FAR)
        with pytest.raises(IncompleteError):
            await call
        assert far.arrivals == 0

    run_scenario(scenario)


def test_request_is_not_retried_in_an_evacuated_data_centre(run_scenario):
    async def scenario(system):
        near, far = system.desks
        await system.move([far], FAR)
        near.behaviour = Silent()
        call = asyncio.ensure_future(system.call("/look/"))
        await wait_until(lambda: near.arrivals)
        system.evacuate(FAR)
        assert (await call)[0] >= 500
        assert far.arrivals == 0

    run_scenario(scenario)


def test_paused_replica_gets_no_first_request_if_its_data_centre_is_evacuated(run_scenario):
    """The single request after a pause is a send like any other."""

    async def scenario(system):
        await system.move(system.desks, FAR)
        for desk in system.desks:
            desk.behaviour = Sheds(b"0.4")
        for _ in range(4):
            await system.call("/look/")
        before = arrivals(system.desks)
        call = asyncio.ensure_future(system.call("/look/"))
        await asyncio.sleep(0.05)
        for desk in system.desks:
            desk.behaviour = Healthy()
        system.evacuate(FAR)
        assert_refused_at_once(await call)
        assert arrivals(system.desks) == before

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/book/", "/once/"])
def test_request_whose_connection_is_being_opened_goes_elsewhere(run_scenario, monkeypatch, path):
    """The last check is made right before the first byte, as a connection takes up to 0.25 s."""

    async def scenario(system):
        far = group_of(system, path)[1]
        await system.move([far], FAR)
        opened = []

        def evacuate(port):
            if far.address.endswith(f":{port}"):
                opened.append(port)
                system.evacuate(FAR)

        hook_connections(monkeypatch, _replica, evacuate)
        while not opened:
            calls = [asyncio.ensure_future(system.call(path)) for _ in range(10)]
            answers = await asyncio.gather(*calls)
            assert {status for status, _, _ in answers} == {200}
        assert far.arrivals == 0
        health = system.daemons[0].placement._health[far.replica_id]
        assert health.observed.avoid_until == 0.0
        assert health.connect_failures == 0

    run_scenario(scenario)


def test_stage_call_whose_connection_is_being_opened_is_made_elsewhere(run_scenario, monkeypatch):
    async def scenario(system):
        far = system.pool[1]
        await system.move([far], FAR)
        opened = []

        def evacuate(port):
            if far.address.endswith(f":{port}"):
                opened.append(port)
                system.evacuate(FAR)

        hook_connections(monkeypatch, _kept_connection, evacuate)
        while not opened:
            calls = [asyncio.ensure_future(system.call("/deep/", **STAGES)) for _ in range(4)]
            answers = await asyncio.gather(*calls)
            assert {status for status, _, _ in answers} == {200}
        assert far.calls == []

    run_scenario(scenario)


def test_results_in_an_evacuated_data_centre_are_read_and_freed(run_scenario):
    """Results that exist are used; the pieces that read them are made elsewhere."""

    async def scenario(system):
        near, far = system.pool
        await system.move([near], FAR)
        near, far = far, near
        for replica in system.pool:
            replica.pause_s = 0.3
        while True:
            calls = [asyncio.ensure_future(system.call("/deep/", **STAGES)) for _ in range(2)]
            await wait_until(lambda: near.calls and far.calls)
            made = len(far.calls)
            system.evacuate(FAR)
            answers = await asyncio.gather(*calls)
            assert {status for status, _, _ in answers} == {200}
            break
        assert len(far.calls) == made
        assert far.stage_results
        await wait_until(lambda: set(far.freed) == set(far.stage_results))

    run_scenario(scenario)


def test_prompt_part_gets_another_home_and_the_old_one_back(run_scenario):
    """All requests with one shared part go to its home, so they would all meet the evacuation."""

    async def scenario(system):
        prompt = {**PROMPT, "X_Greengagehoist_Prefix_Hash": b"shared:2000,own:10"}

        async def find_home():
            before = arrivals(system.engines)
            assert (await system.call("/text/", **prompt))[0] == 200
            after = arrivals(system.engines)
            return next(n for n in range(2) if after[n] > before[n])

        home = await find_home()
        await system.move([system.engines[home]], FAR)
        system.evacuate(FAR)
        assert [await find_home() for _ in range(3)] == [1 - home] * 3
        system.evacuate()
        assert await find_home() == home

    run_scenario(scenario)


def test_unknown_data_centre_has_no_effect(run_scenario):
    async def scenario(system):
        system.evacuate("nowhere")
        answers = await asyncio.gather(*(system.call(path, **fields_of(path)) for path in PATHS))
        assert {status for status, _, _ in answers} == {200}
        _, text = system.daemons[0]._metrics()
        assert b'greengagehoist_state{name="evacuated_data_centres"} 0.0' in text
        system.evacuate("nowhere", "a")
        await wait_until(lambda: b'evacuated_data_centres"} 1.0' in system.daemons[0]._metrics()[1])

    run_scenario(scenario)


def test_evacuation_in_the_store_takes_effect_until_its_row_is_removed(run_scenario):
    """Guards against rows that are read but not obeyed, or obeyed for good."""

    async def scenario(system):
        near, far = system.desks
        await system.move([far], FAR)
        daemon = system.daemons[0]
        system.store.put("op", f"evacuate/{FAR}", {})
        await wait_until(lambda: daemon.evacuated.value == {FAR})
        arrived = far.arrivals
        for _ in range(6):
            assert (await system.call("/look/"))[0] == 200
        assert far.arrivals == arrived
        system.store.remove("op", f"evacuate/{FAR}")
        await wait_until(lambda: not daemon.evacuated.value)
        system.evacuate(near.zone)
        assert (await system.call("/look/"))[0] == 200
        assert far.arrivals == arrived + 1

    run_scenario(scenario)
