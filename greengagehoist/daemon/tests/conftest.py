"""Shared fixtures of the daemon tests."""

import asyncio

import pytest

from greengagehoist.daemon.tests.gateway_system import BOUNDS, GatewaySystem


@pytest.fixture
def run_scenario():
    """Return a function that runs a scenario on a started system."""

    def run(scenario, daemons=1, bounds=BOUNDS, engines=2):
        async def main():
            system = GatewaySystem(bounds, engines)
            try:
                await system.start(daemons)
                await scenario(system)
            finally:
                await system.stop()

        asyncio.run(main())

    return run
