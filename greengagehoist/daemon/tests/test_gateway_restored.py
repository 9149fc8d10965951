"""Guards against what a store that is restored from a copy says of the past, on loopback."""

import asyncio

import pytest
from returns.result import Success

from greengagehoist.daemon.tests.gateway_system import BOUNDS, config, wait_until
from greengagehoist.platform_client import ListReplicas

REVOKING = {"keys": ("key2",)}
# A change must be in force this long after its acknowledgement.
IN_FORCE_S = BOUNDS.apply_s
# Longest time between two reads of the platform.
READ_PERIOD_S = 1.3
CONFIG_ROW = ("op", "config")


def version_at(daemon):
    snapshot = daemon.deployments.snapshot.value
    return snapshot.deployment.version if snapshot else 0


async def put_config(system, version, **fields):
    """Write a configuration and wait until all daemons have it."""
    system.store.put(*CONFIG_ROW, config(version, **fields))
    await wait_until(lambda: all(version_at(item) == version for item in system.daemons))


def replicas_at(daemon):
    return daemon.replicas.table.value.replicas


async def registered(system):
    """Wait until the store lists the first daemon, so that a copy names it to those that start."""
    await wait_until(lambda: ("greengagehoist", "member/vm0") in system.store.rows)


async def read_of_the_list(daemon):
    """Wait until a read of the list that is sent from now on has been applied."""
    now = daemon.clock.monotonic()
    await wait_until(lambda: daemon.replicas.table.value.read_at > now)


@pytest.mark.parametrize("written_between", [0, 1, 2])
def test_configuration_comes_into_force_under_any_row_version(run_scenario, written_between):
    """The copy's versions are given out again, so a new row may have the version that is held."""

    async def scenario(system):
        copy = system.store.copy()
        await put_config(system, 2)
        system.store.restore(copy)
        for _ in range(written_between):
            system.store.put("status", "x", {})
        system.store.put(*CONFIG_ROW, config(3))
        await wait_until(lambda: version_at(system.daemons[0]) == 3, IN_FORCE_S)

    run_scenario(scenario)


def test_late_answer_of_the_earlier_era_is_a_failed_read(run_scenario):
    """It neither confirms the former state nor shows what was written since."""

    async def scenario(system):
        (daemon,) = system.daemons
        copy = system.store.copy()
        await put_config(system, 2)
        late = system.store.delayed["op"] = asyncio.Event()
        confirmed_at = daemon.deployments.snapshot.value.confirmed_at
        await wait_until(lambda: daemon.clock.monotonic() > confirmed_at + READ_PERIOD_S)
        system.store.restore(copy)
        system.store.put(*CONFIG_ROW, config(3))
        # Another call meanwhile shows the next era.
        assert isinstance(await daemon.platform.ask(ListReplicas()), Success)
        del system.store.delayed["op"]
        late.set()
        await asyncio.sleep(0.1)
        assert daemon.deployments.snapshot.value.confirmed_at == confirmed_at
        await wait_until(lambda: version_at(daemon) == 3, IN_FORCE_S)

    run_scenario(scenario)


def test_revoked_key_stays_revoked_until_the_operator_writes_again(run_scenario):
    async def scenario(system):
        copy = system.store.copy()
        await put_config(system, 2, **REVOKING)
        system.store.restore(copy)
        for _ in range(20):
            assert (await system.call("/look/"))[0] in (401, 503)
            await asyncio.sleep(0.1)
        system.store.put(*CONFIG_ROW, config(2, **REVOKING))
        await asyncio.sleep(IN_FORCE_S)
        assert (await system.call("/look/", key=b"key2"))[0] == 200
        assert (await system.call("/look/"))[0] == 401

    run_scenario(scenario)


def test_read_of_the_copy_confirms_no_key(run_scenario):
    """The copy may lack a revocation that was acknowledged after the last read."""

    async def scenario(system):
        (daemon,) = system.daemons
        copy = system.store.copy()
        system.store.put(*CONFIG_ROW, config(2, **REVOKING))
        system.store.restore(copy)
        restored_at = daemon.clock.monotonic()
        await asyncio.sleep(1.8)
        assert daemon.deployments.snapshot.value.confirmed_at <= restored_at
        system.store.put(*CONFIG_ROW, config(2, **REVOKING))
        await wait_until(lambda: version_at(daemon) == 2, 1.0)

    run_scenario(scenario)


def test_copy_that_nobody_writes_again_is_confirmed_in_the_end(run_scenario):
    """Otherwise all requests with keys would be refused from then on."""

    async def scenario(system):
        (daemon,) = system.daemons
        system.store.restore(system.store.copy())
        restored_at = daemon.clock.monotonic()
        confirmed = lambda: daemon.deployments.snapshot.value.confirmed_at  # noqa: E731
        await wait_until(lambda: confirmed() > restored_at)
        assert (await system.call("/look/"))[0] == 200

    run_scenario(scenario)


def test_daemon_that_starts_on_the_copy_gets_the_newer_configuration_from_a_peer(run_scenario):
    """It has read the copy only, so a revoked key would be valid again there."""

    async def scenario(system):
        await registered(system)
        copy = system.store.copy()
        await put_config(system, 2, **REVOKING)
        system.store.restore(copy)
        await system.add_daemon("vm1")
        assert version_at(system.daemons[1]) == 2
        assert (await system.call("/look/", daemon=1))[0] in (401, 503)

    run_scenario(scenario)


def test_daemon_that_starts_on_the_copy_waits_for_a_silent_peer(run_scenario, monkeypatch):
    """One lost answer of the peer, and keys that had been revoked were valid again."""

    async def scenario(system):
        await registered(system)
        copy = system.store.copy()
        await put_config(system, 2, **REVOKING)
        system.store.restore(copy)
        relay, lost = system.daemons[0].relay, []
        answer = relay._answer

        def lose_some(vm, number, topic, token):
            if topic == "deployment" and len(lost) < 4:
                lost.append(number)
            else:
                answer(vm, number, topic, token)

        monkeypatch.setattr(relay, "_answer", lose_some)
        starting = asyncio.ensure_future(system.add_daemon("vm1"))
        await wait_until(lambda: len(system.daemons) == 2 and version_at(system.daemons[1]))
        assert len(lost) == 4
        assert version_at(system.daemons[1]) == 2
        system.store.put(*CONFIG_ROW, config(2, **REVOKING))
        await starting

    run_scenario(scenario)


def test_lost_entry_of_a_daemon_is_written_again(run_scenario):
    async def scenario(system):
        key = ("greengagehoist", "member/vm0")
        await wait_until(lambda: key in system.store.rows)
        copy = system.store.copy()
        del copy.rows[key]
        system.store.restore(copy)
        await wait_until(lambda: key in system.store.rows, 3.0)

    run_scenario(scenario)


def test_replicas_that_the_copy_lacks_are_not_gone_at_once(run_scenario):
    """They write their entries again within two seconds, and serve meanwhile."""

    async def scenario(system):
        copy = system.store.copy()
        for replica in system.replicas:
            del copy.rows["servers", replica.replica_id]
        system.store.restore(copy)
        await read_of_the_list(system.daemons[0])
        assert (await system.call("/look/"))[0] == 200
        for replica in system.replicas[1:]:
            system.store.put("servers", replica.replica_id, replica.entry())
        await wait_until(lambda: "d0" not in replicas_at(system.daemons[0]))

    run_scenario(scenario)


@pytest.mark.parametrize("left", ["draining", "gone"])
def test_replica_that_has_left_does_not_come_back_with_the_copy(run_scenario, left):
    """A daemon that has seen it leave may not send it requests later."""

    async def scenario(system):
        (daemon,) = system.daemons
        copy = system.store.copy()
        if left == "draining":
            system.store.put("servers", "d0", system.desks[0].entry("draining"))
            await wait_until(lambda: replicas_at(daemon)["d0"].leaving)
        else:
            system.store.remove("servers", "d0")
            await wait_until(lambda: "d0" not in replicas_at(daemon))
        system.store.restore(copy)
        await read_of_the_list(daemon)
        ran = len(system.desks[0].ran)
        for _ in range(10):
            assert (await system.call("/look/"))[0] == 200
        assert len(system.desks[0].ran) == ran

    run_scenario(scenario)
