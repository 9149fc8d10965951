"""Fixtures that run peer controllers over real sockets."""

import asyncio
import contextlib
import random

import pytest

from greengagehoist.membership import Member
from greengagehoist.peers import GetPeers, PeerController
from greengagehoist.utils import Controller, SystemClock

CREDENTIAL = "peer-credential-for-tests"
WAIT_S = 20.0


class Mailbox(Controller):
    """Records the messages that it receives."""

    def __init__(self):
        super().__init__("mailbox")
        self.received = []

    def handle(self, message, reply):
        self.received.append(message)


async def until(condition):
    """Wait until the coroutine function ``condition`` returns something true, and return it."""
    async with asyncio.timeout(WAIT_S):
        while not (found := await condition()):
            await asyncio.sleep(0.02)
        return found


async def linked_vms(controller):
    """Return the names of the VMs that a controller is linked to."""
    return {peer.vm for peer in await controller.ask(GetPeers())}


@pytest.fixture
def start_peers():
    """Return a context manager that runs peer controllers, each seeded with all before it."""

    @contextlib.asynccontextmanager
    async def start(count, dead_after=3.0, credentials=None):
        controllers, tasks = [], []
        for index in range(count):
            own = Member(f"vm{index}", "dc1", "127.0.0.1:0", 1)
            credential = credentials[index] if credentials else CREDENTIAL
            seeds = tuple(item.own.address for item in controllers)
            controller = PeerController(
                own, seeds, credential, SystemClock(), random.Random(index), dead_after
            )
            controller.listen()
            controllers.append(controller)
        tasks = [asyncio.create_task(item.run()) for item in controllers]
        try:
            yield controllers
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    return start
