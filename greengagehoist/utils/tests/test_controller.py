"""Guards against askers that wait for ever for a controller that failed."""

import asyncio

import pytest

from greengagehoist.utils import Controller, MessageFailedError


class Failing(Controller):
    """Fails on one message and answers all others."""

    def handle(self, message, reply):
        if message == "bad":
            raise ValueError("unexpected")
        reply(message)


def test_failure_of_a_message_is_raised_by_its_asker():
    """A task that reads the platform periodically had waited for a reply for ever."""

    async def scenario():
        controller = Failing("failing")
        task = asyncio.ensure_future(controller.run())
        async with asyncio.timeout(1.0):
            with pytest.raises(MessageFailedError, match="failing"):
                await controller.ask("bad")
            controller.tell("bad")
            assert await controller.ask("good") == "good"
        task.cancel()

    asyncio.run(scenario())
