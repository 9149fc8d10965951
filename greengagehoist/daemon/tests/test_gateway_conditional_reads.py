"""Guards against reads that move content without need, and against evacuations that are missed."""

import asyncio

import pytest

from greengagehoist.daemon.tests.gateway_system import config, wait_until
from greengagehoist.membership import _peer_selection
from greengagehoist.standins import FeedFault

# Longest time between two reads of the platform.
READ_PERIOD_S = 1.3


def calls_of(system, name):
    return [call for call in system.store.calls if name in call and "table=op&" in call]


def evacuated(system):
    return [daemon.deployments.evacuated.value for daemon in system.daemons]


def versions(system):
    return [daemon.deployments.snapshot.value.deployment.version for daemon in system.daemons]


@pytest.fixture
def few_hubs(monkeypatch):
    """Let two daemons be hubs, so that the others only ask them."""
    monkeypatch.setattr(_peer_selection, "FULL_MESH_MAX_VMS", 1)


def test_reads_without_a_change_move_no_content(run_scenario):
    async def scenario(system):
        (daemon,) = system.daemons
        confirmed_at = daemon.deployments.snapshot.value.confirmed_at
        await wait_until(
            lambda: daemon.deployments.snapshot.value.confirmed_at > confirmed_at + READ_PERIOD_S
        )
        assert len(calls_of(system, "rows-get")) == 1
        assert len(calls_of(system, "rows-feed")) >= 2
        assert daemon.deployments.own_reads.counts.whole == 1

    run_scenario(scenario)


@pytest.mark.parametrize("fault", [None, *FeedFault])
def test_changes_arrive_whatever_the_feed_does(run_scenario, fault):
    async def scenario(system):
        system.store.feed_fault = fault
        system.store.put("op", "evacuate/b", {})
        system.store.put("op", "evacuate/c", {})
        await wait_until(lambda: evacuated(system) == [{"b", "c"}])
        # A read that may show only a copy of the store ends no evacuation.
        await asyncio.sleep(READ_PERIOD_S)
        system.store.remove("op", "evacuate/b")
        system.store.put("op", "config", config(2))
        await wait_until(lambda: evacuated(system) == [{"c"}] and versions(system) == [2])

    run_scenario(scenario)


def test_evacuations_reach_daemons_that_only_ask_hubs(run_scenario, few_hubs):
    async def scenario(system):
        await wait_until(lambda: all(item.topology.shared.value for item in system.daemons), 10.0)
        await asyncio.sleep(2 * READ_PERIOD_S)
        system.store.calls.clear()
        system.store.put("op", "evacuate/b", {})
        await wait_until(lambda: evacuated(system) == [{"b"}] * 4)
        system.store.remove("op", "evacuate/b")
        await wait_until(lambda: evacuated(system) == [frozenset()] * 4)
        # One hub reads for all.
        assert not calls_of(system, "rows-get")

    run_scenario(scenario, daemons=4)


def test_daemon_that_starts_knows_the_evacuations_when_it_serves(run_scenario):
    async def scenario(system):
        system.store.put("op", "evacuate/b", {})
        await system.add_daemon("vm1")
        assert evacuated(system)[1] == {"b"}

    run_scenario(scenario)


def test_daemon_that_starts_gets_no_content_that_it_has_read(run_scenario):
    """It asks a peer in any case, and the peer sent the whole configuration."""

    async def scenario(system):
        await wait_until(lambda: ("greengagehoist", "member/vm0") in system.store.rows)
        await system.add_daemon("vm1")
        assert system.daemons[1].relay.received["deployment"] == 0

    run_scenario(scenario)


def test_evacuation_outlasts_an_outage_of_the_store(run_scenario):
    async def scenario(system):
        system.store.put("op", "evacuate/b", {})
        await wait_until(lambda: evacuated(system) == [{"b"}])
        system.store.available = False
        await asyncio.sleep(2 * READ_PERIOD_S)
        assert evacuated(system) == [{"b"}]
        system.store.available = True
        system.store.remove("op", "evacuate/b")
        await wait_until(lambda: evacuated(system) == [frozenset()])

    run_scenario(scenario)


def test_evacuation_that_a_restore_lost_is_kept_until_it_is_written_again(run_scenario):
    async def scenario(system):
        (daemon,) = system.daemons
        copy = system.store.copy()
        system.store.put("op", "evacuate/b", {})
        await wait_until(lambda: evacuated(system) == [{"b"}])
        system.store.restore(copy)
        await wait_until(lambda: daemon.deployments.held.value.era == 2)
        assert evacuated(system) == [{"b"}]
        system.store.put("op", "evacuate/b", {})
        system.store.put("op", "evacuate/c", {})
        await wait_until(lambda: evacuated(system) == [{"b", "c"}])

    run_scenario(scenario)


def test_history_that_is_gone_costs_one_whole_read(run_scenario):
    async def scenario(system):
        system.store.available = False
        for number in range(3):
            system.store.put("status", f"x{number}", {})
        system.store.history_from = system.store.version
        system.store.put("op", "config", config(2))
        system.store.calls.clear()
        system.store.available = True
        await wait_until(lambda: versions(system) == [2])
        await asyncio.sleep(2 * READ_PERIOD_S)
        assert len(calls_of(system, "rows-get")) == 1

    run_scenario(scenario)
