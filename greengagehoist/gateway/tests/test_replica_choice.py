"""Guards against requests that count at a replica although nobody sends them."""

import asyncio

import pytest

from greengagehoist.deployment import Route, Streaming
from greengagehoist.gateway import Exchange, GatewayRequest, Progress, Prompt, PromptPart
from greengagehoist.gateway.controllers import AbandonChoice, Choose
from greengagehoist.gateway.filters._replica_choice import ReplicaChooser
from greengagehoist.gateway.tests.recorder import Recorder
from greengagehoist.replicas import PromptAffinity, PromptWork
from greengagehoist.utils import SteppedClock


class Slow(Recorder):
    """A placement controller that does not reply."""

    async def ask(self, message):
        self.told.append(message)
        await asyncio.get_running_loop().create_future()


class Allows:
    """Gates that refuse nothing."""

    def refuse(self, exchange):
        return None

    def refuse_send(self, exchange):
        return None


@pytest.fixture
def exchange():
    prompt = Prompt("m", 100, 50, (PromptPart("a", 4000), PromptPart("b", 300)))
    req = GatewayRequest("id1", b"POST", b"/", "h", "/", (), b"", None, None, prompt, (), "", None)
    route = Route("r", "h", "/", Streaming(True, 0.4), 8.0, 1.0, 0, (), 1, (), False)
    return Exchange(
        req, None, 0.0, Progress(), route=route, service="llm", answer_deadline=8.0, due=1.0
    )


def test_cancelled_choice_is_abandoned(exchange):
    """The placement controller may have chosen before it knew of the cancellation."""
    placement = Slow("placement")
    chooser = ReplicaChooser(placement, Allows(), None, Allows(), SteppedClock())

    async def scenario():
        task = asyncio.ensure_future(chooser.choose(exchange))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    assert placement.told[1:] == [AbandonChoice(exchange.progress.ticket)]
    asked = placement.told[0]
    assert isinstance(asked, Choose) and asked.send.ticket == exchange.progress.ticket
    # The parts count, where the stated number of tokens is smaller.
    assert asked.send.work == PromptWork(4300, 4000, 50)
    assert asked.affinity == PromptAffinity("a")
