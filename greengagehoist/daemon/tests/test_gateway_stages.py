"""Guards against lost, doubled or leaked stage work of the gateway, with stand-ins on loopback."""

import asyncio

from greengagehoist.daemon.tests.gateway_system import BOUNDS, wait_until
from greengagehoist.gateway.controllers import CancelStages, ReserveStages, StagePlan
from greengagehoist.http1 import get_header
from greengagehoist.peers import SendTo, StageCancel, StageReserve
from greengagehoist.standins import Silent


def test_stages_run_in_dependency_order_and_their_results_are_freed(run_scenario):
    async def scenario(system):
        status, _, _ = await system.call(
            "/deep/",
            X_Greengagehoist_Segments=b"2,3",
            X_Greengagehoist_Segment_Key=b"pk",
        )
        assert status == 200
        stage_results = {
            handle: item for p in system.pool for handle, item in p.stage_results.items()
        }
        first = {handle for handle, item in stage_results.items() if item["stage"] == 0}
        second = {handle for handle, item in stage_results.items() if item["stage"] == 1}
        assert len(first) == 2
        assert len(second) == 3
        for handle in first:
            assert stage_results[handle]["key"] == "pk"
        for handle in second:
            assert set(stage_results[handle]["inputs"]) == first
        (request,) = [item for engine in system.engines for item in engine.requests]
        inputs = get_header(request.head.headers, b"x-greengagehoist-inputs").decode()
        assert set(inputs.split(",")) == second
        await wait_until(lambda: {h for p in system.pool for h in p.freed} == first | second)

    run_scenario(scenario)


def test_stage_results_are_freed_once_the_engine_has_fetched_them(run_scenario):
    """Results that are kept until the first event can fill the memory of their replicas."""

    async def scenario(system):
        for engine in system.engines:
            engine.prefill_s = 0.5
        headers = {"X_Greengagehoist_Segments": b"2,2", "X_Greengagehoist_Segment_Key": b"k"}
        call = asyncio.ensure_future(system.call("/deep/", **headers))
        await wait_until(lambda: sum(len(replica.freed) for replica in system.pool) == 4)
        assert not call.done()
        assert any(engine.requests for engine in system.engines)
        assert (await call)[0] == 200

    run_scenario(scenario)


def test_request_that_the_pools_cannot_serve_in_time_is_refused_at_once(run_scenario):
    """Guards against daemons that know only of work that has ended, not of reservations."""

    async def scenario(system):
        await wait_until(lambda: all(len(d.topology.hubs.value) == 2 for d in system.daemons), 9)
        await asyncio.sleep(0.6)
        due = system.daemons[0].clock.monotonic() + 0.2
        plans = (StagePlan("pool", 1000, due),)
        await system.daemons[0].pools.ask(ReserveStages("other", 0, plans))
        headers = {"X_Greengagehoist_Segments": b"2,2", "X_Greengagehoist_Segment_Key": b"k"}
        for daemon in range(2):
            status, fields, _ = await system.call("/deep/", daemon=daemon, **headers)
            assert status == 503
            assert float(get_header(fields, b"retry-after")) > 0
        assert not any(replica.calls for replica in system.pool)
        system.daemons[0].pools.tell(CancelStages("other", reserved=True))
        await asyncio.sleep(0.1)
        assert (await system.call("/deep/", daemon=1, **headers))[0] == 200

    run_scenario(scenario, daemons=2)


def test_pool_owner_is_sent_a_cancellation_only_if_work_is_left(run_scenario):
    """Guards against a needless message to each pool owner at the end of every request."""

    async def scenario(system):
        await wait_until(lambda: all(len(d.topology.hubs.value) == 2 for d in system.daemons), 9)
        await asyncio.sleep(0.6)
        headers = {"X_Greengagehoist_Segments": b"2,2", "X_Greengagehoist_Segment_Key": b"k"}
        sent = []
        for daemon in system.daemons:
            send = daemon.peers.tell
            daemon.peers.tell = lambda message, send=send: (sent.append(message), send(message))
        for daemon in range(2):
            assert (await system.call("/deep/", daemon=daemon, **headers))[0] == 200
        kinds = [type(item.message) for item in sent if isinstance(item, SendTo)]
        assert StageReserve in kinds
        assert StageCancel not in kinds

    run_scenario(scenario, daemons=2)


def test_pieces_of_several_daemons_are_batched(run_scenario):
    async def scenario(system):
        await wait_until(
            lambda: all(daemon.topology.count.value == 3 for daemon in system.daemons), 9
        )
        await asyncio.sleep(0.6)
        for replica in system.pool:
            replica.pause_s = 0.1
        headers = {"X_Greengagehoist_Segments": b"1,0", "X_Greengagehoist_Segment_Key": b"k"}
        calls = [system.call("/deep/", daemon=n % 3, **headers) for n in range(12)]
        assert {status for status, _, _ in await asyncio.gather(*calls)} == {200}
        assert max(size for replica in system.pool for size in replica.calls) >= 3

    run_scenario(scenario, daemons=3)


def test_pieces_of_an_unresponsive_replica_are_run_elsewhere(run_scenario):
    async def scenario(system):
        system.pool[0].behaviour = Silent()
        headers = {"X_Greengagehoist_Segments": b"4,0", "X_Greengagehoist_Segment_Key": b"k"}
        results = await asyncio.gather(*(system.call("/deep/", **headers) for _ in range(3)))
        assert {status for status, _, _ in results} == {200}

    run_scenario(scenario)


def test_pieces_that_never_reached_a_replica_use_no_retry_budget(run_scenario):
    """Otherwise unreachable replicas use up the budget of a pool's new owner, and stages fail."""

    async def scenario(system):
        await system.pool[0].stop()
        headers = {"X_Greengagehoist_Segments": b"8,0", "X_Greengagehoist_Segment_Key": b"k"}
        results = await asyncio.gather(*(system.call("/deep/", **headers) for _ in range(3)))
        assert {status for status, _, _ in results} == {200}

    run_scenario(scenario, bounds=BOUNDS._replace(retry_ratio=0.0, retry_slack=0.0))


def test_request_for_a_pool_without_replicas_is_refused_at_once(run_scenario):
    """Otherwise it waits until it is late, and its client learns too late to come back."""

    async def scenario(system):
        for replica in system.pool:
            system.store.remove("servers", replica.replica_id)
        table = system.daemons[0].replicas.table
        await wait_until(lambda: not table.value.of_service("pool"))
        headers = {"X_Greengagehoist_Segments": b"2,2", "X_Greengagehoist_Segment_Key": b"k"}
        asked, pools = [], system.daemons[0].pools
        ask = pools.ask
        pools.ask = lambda message: (asked.append(message), ask(message))[1]
        status, fields, _ = await system.call("/deep/", **headers)
        assert [type(message) for message in asked] == [ReserveStages]
        assert status == 503
        assert float(get_header(fields, b"retry-after")) > 0

    run_scenario(scenario)
