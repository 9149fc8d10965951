"""Guards against one unexpected error that ends the periodic reads of the platform for good."""

import asyncio
import random

import pytest

from greengagehoist.gateway.controllers import (
    DeploymentController,
    MemberController,
    ReplicaController,
    SharedReads,
    topology_of,
)
from greengagehoist.gateway.controllers._shared_reads import RETRY_DELAY_S
from greengagehoist.gateway.tests.recorder import Recorder
from greengagehoist.membership import Member

OWN = Member("vm-1", "a", "10.0.0.1:1", 1)


class FailingPlatform(Recorder):
    """Raises an error that no reader of the platform expects."""

    async def ask(self, message):
        self.told.append(message)
        raise RecursionError("unexpected")


@pytest.fixture
def make_controller(clock):
    """Return a function that builds a controller of a topic whose platform calls raise."""

    def make(topic):
        platform, topology = FailingPlatform("platform"), topology_of(OWN)
        reads = SharedReads(
            Recorder("relay"), topic, "vm-1", topology, clock, random.Random(1), 2.0
        )
        match topic:
            case "deployment":
                return DeploymentController(platform, Recorder("peers"), reads, None, clock)
            case "replicas":
                return ReplicaController(platform, reads, clock)
            case "members":
                peers = Recorder("peers")
                return MemberController(
                    platform, peers, OWN, topology, reads, clock, random.Random(1)
                )

    return make


@pytest.mark.parametrize("topic", ["deployment", "replicas", "members"])
def test_reads_go_on_after_an_unexpected_error(make_controller, clock, topic):
    """The task that reads had ended, and nothing started it again."""

    async def scenario():
        controller = make_controller(topic)
        task = asyncio.get_running_loop().create_task(controller.run())
        await clock.advance(0.0)
        for _ in range(3):
            await clock.advance(2 * RETRY_DELAY_S)
        task.cancel()
        assert len(controller.platform.told) >= 3

    asyncio.run(scenario())
