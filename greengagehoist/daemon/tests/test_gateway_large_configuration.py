"""Guards against configurations that slow links never finish to transfer, on loopback.

Each of them was transferred whole within a time-out for small answers, and each time-out discarded
the bytes that had arrived, so that all daemons lost the configuration until the end of the day.
"""

import asyncio

import pytest
from loguru import logger

from greengagehoist.daemon.tests.gateway_system import BOUNDS, GatewaySystem, wait_until
from greengagehoist.daemon.tests.slow_links import SlowLink
from greengagehoist.membership import _peer_selection
from greengagehoist.peers import PeerController
from greengagehoist.standins._large_configuration import large_configuration
from greengagehoist.utils import parse_pairs

DAEMONS = 4
# 4 Mbit/s; a row of 1,200 routes takes 1.9 s at this rate.
BYTES_PER_S = 500_000.0
ROUTES = 1200
# Far beyond any usual time; it ends a run in which the configuration never arrives.
GIVE_UP_S = 20.0
# A machine that stands still for a moment makes single answers late, but opens no breaker.
FAULTS = "platform_breaker", "hub_read_unreadable"


@pytest.fixture
def events():
    """Return the list to which logged events are appended as dictionaries."""
    found = []
    handler = logger.add(lambda line: found.append(parse_pairs(str(line))), format="{message}")
    yield found
    logger.remove(handler)


@pytest.fixture
def slow_system(monkeypatch):
    """Return a function that runs a scenario with daemons behind slow links, half of them hubs."""
    monkeypatch.setattr(_peer_selection, "FULL_MESH_MAX_VMS", 1)
    links = []
    listen = PeerController.listen

    def listen_behind_link(peers):
        address = listen(peers)
        host, _, port = address.partition(":")
        proxied = links[-1].listen(lambda: (host, int(port)))
        peers.own = peers.own._replace(address=proxied)
        return proxied

    monkeypatch.setattr(PeerController, "listen", listen_behind_link)

    class SlowSystem(GatewaySystem):
        """Daemons that reach the store and each other through slow links."""

        async def add_daemon(self, vm):
            links.append(SlowLink(BYTES_PER_S))
            host, _, port = self.store.address.partition(":")
            self.store_address = links[-1].listen(lambda: (host, int(port)))
            await super().add_daemon(vm)

    def run(scenario):
        async def main():
            system = SlowSystem(BOUNDS)
            try:
                await system.start(DAEMONS)
                await wait_until(lambda: all(map(knows_hubs, system.daemons)), GIVE_UP_S)
                await scenario(system)
            finally:
                await system.stop()
                for link in links:
                    await link.stop()

        asyncio.run(main())

    return run


def knows_hubs(daemon):
    topology = daemon.topology
    return topology.count.value == DAEMONS and len(daemon.reach.reach.value.ready) >= 2


def versions(system):
    snapshots = [item.deployments.snapshot.value for item in system.daemons]
    return [item.deployment.version if item else 0 for item in snapshots]


async def put_large(system, version, routes=ROUTES, tenants=16, **fields):
    """Write a large configuration and wait until all daemons hold it."""
    value = large_configuration(version, routes, tenants, **fields)
    system.store.put("op", "config", value)
    await wait_until(lambda: versions(system) == [version] * DAEMONS, GIVE_UP_S)


def named(events, *names):
    return [item["event"] for item in events if item.get("event") in names]


def test_large_configuration_reaches_all_daemons_over_slow_links(slow_system, events):
    async def scenario(system):
        await put_large(system, 2)
        await put_large(system, 3, changed=1)

    slow_system(scenario)
    assert not named(events, *FAULTS)


def test_small_change_moves_little_between_daemons(slow_system, events):
    """Each change moved the whole configuration to each daemon."""

    async def scenario(system):
        await put_large(system, 2)
        relays = [daemon.relay for daemon in system.daemons]
        before = sum(relay.received["deployment"] for relay in relays)
        await put_large(system, 3, changed=1)
        assert sum(relay.received["deployment"] for relay in relays) - before < 10_000

    slow_system(scenario)
    assert not named(events, *FAULTS)


def test_keys_of_many_organisations_arrive_in_pieces(slow_system, events):
    """They do not compress, so that a change of all takes seconds on a slow link."""

    async def scenario(system):
        await put_large(system, 2, routes=40, tenants=3000)

    slow_system(scenario)
    assert named(events, "content_transfer_started")
    assert not named(events, *FAULTS)
