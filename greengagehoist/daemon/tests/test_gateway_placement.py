"""Guards against daemons that do not know of each other's requests at replicas."""

import asyncio

from greengagehoist.daemon.tests.gateway_system import config, wait_until
from greengagehoist.membership import _peer_selection

PROMPT = {
    "X_Greengagehoist_Model": b"m",
    "X_Greengagehoist_Token_Count": b"9000,200",
    "X_Greengagehoist_Prefix_Hash": b"%s:6000,own:3000",
}


def describe_engines(system):
    """Return a configuration that states the memory of the engines."""
    changed = config(2)
    for service in changed["services"]:
        if service["name"] == "llm":
            service["engine"]["kv_capacity"] = 500_000
    system.store.put("op", "config", changed)


def prompt(part):
    return PROMPT | {"X_Greengagehoist_Prefix_Hash": b"%s:6000,own:3000" % part}


def known_counts(daemon):
    now = daemon.clock.monotonic()
    view = daemon.loads.view.value
    counts = {key: view.figures(key, now).counts for key in view.replicas}
    return {key: item for key, item in counts.items() if any(item)}


def test_daemons_know_of_each_others_requests(run_scenario):
    """Each daemon alone sees so few answers of a replica that it places by chance."""

    async def scenario(system):
        describe_engines(system)
        await wait_until(
            lambda: all(
                daemon.deployments.snapshot.value.deployment.version == 2
                for daemon in system.daemons
            )
        )
        await wait_until(lambda: len(system.daemons[0].reach.reach.value.ready) == 1)
        for engine in system.engines:
            engine.load_report, engine.prefill_s = b"1,0,8,150", 1.0
        # Nothing is told before a report has stated a slowdown.
        await system.call("/text/", **prompt(b"a"))
        assert not known_counts(system.daemons[1])
        tasks = [
            asyncio.ensure_future(system.call("/text/", **prompt(b"p%d" % n))) for n in range(6)
        ]
        await wait_until(
            lambda: sum(c.waiting for c in known_counts(system.daemons[1]).values()) == 6
        )
        assert sum(item.held_tokens for item in known_counts(system.daemons[1]).values()) == 55_200
        await asyncio.gather(*tasks)
        await wait_until(lambda: not known_counts(system.daemons[1]))
        assert all(engine.ran for engine in system.engines)
        assert b'name="placed_by_time"} 6.0' in system.daemons[0]._metrics()[1]

    run_scenario(scenario, daemons=2)


def test_hubs_pass_requests_on(run_scenario, monkeypatch):
    """Daemons of large deployments have links to hubs only."""
    monkeypatch.setattr(_peer_selection, "FULL_MESH_MAX_VMS", 3)

    async def scenario(system):
        describe_engines(system)
        names = {item.settings.vm for item in system.daemons}

        def is_linked(daemon):
            hubs = daemon.topology.hubs.value
            links = names if daemon.settings.vm in hubs else hubs
            known = daemon.deployments.snapshot.value.deployment.version == 2
            return (
                known
                and len(hubs) == 2
                and daemon.reach.reach.value.ready >= links - {daemon.settings.vm}
            )

        await wait_until(lambda: all(map(is_linked, system.daemons)), 20.0)
        hubs = system.daemons[0].topology.hubs.value
        one, other = (n for n, item in enumerate(system.daemons) if item.settings.vm not in hubs)
        for engine in system.engines:
            engine.prefill_s = 1.0

        async def call_often(daemon, count):
            await asyncio.gather(
                *(system.call("/text/", daemon=daemon, **prompt(b"p%d" % n)) for n in range(count))
            )

        # A daemon follows its hub from its first own request on.
        tasks = [
            asyncio.ensure_future(call_often(one, 1)),
            asyncio.ensure_future(call_often(other, 3)),
        ]
        await wait_until(
            lambda: sum(item.waiting for item in known_counts(system.daemons[one]).values()) == 3
        )
        await asyncio.gather(*tasks)

    run_scenario(scenario, daemons=4)


def test_engines_without_a_stated_memory_are_placed_as_before(run_scenario):
    async def scenario(system):
        for engine in system.engines:
            engine.load_report = b"1,0,8,150"
        for _ in range(3):
            assert (await system.call("/text/", **prompt(b"a")))[0] == 200
        assert system.daemons[0].placement.choices == 0
        assert system.daemons[0].loads.messages == 0

    run_scenario(scenario, daemons=2)
