"""Guards against a generation by an engine that has not loaded the model of the pipeline."""

import asyncio

from returns.result import Failure, Success

from greengagehoist.base import Outcome
from greengagehoist.server import serve
from greengagehoist.standins import build_engine
from greengagehoist.targets import Attempt, GenerateCall, Send, Target, TargetLink
from greengagehoist.utils import SystemClock

ATTEMPT = Attempt("r1", "engine", 1)


async def generate(model):
    """Send a generation with ``model`` to an engine that has loaded ``summary``."""
    listener = await serve(build_engine("summary"), "127.0.0.1", 0)
    target = Target("e1", listener.address, "dc1", "engine", 1)
    link = TargetLink(target, SystemClock())
    task = asyncio.create_task(link.run())

    async def discard(chunk):
        return None

    call = GenerateCall(ATTEMPT, "text", 4, 0, 0, 5000, discard, model)
    try:
        return await link.ask(Send(call, 5.0, 5.0))
    finally:
        task.cancel()
        listener.server.force_exit = True
        await listener.stop()


def test_engine_without_the_model_refuses_and_the_call_counts_as_not_run():
    match asyncio.run(generate("letters")):
        case Failure(error):
            assert (error.outcome, error.peer) == (Outcome.NOT_RUN, "e1")
        case other:
            raise AssertionError(f"accepted: {other}")


def test_engine_with_the_model_generates():
    assert isinstance(asyncio.run(generate("summary")), Success)
