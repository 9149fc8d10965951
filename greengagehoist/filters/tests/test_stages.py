"""Guards against lost or mixed-up tokens when an engine fails, over real sockets."""

import asyncio
import random

import aiosonic
from returns.result import Failure, Success

from greengagehoist.base import ErrorCode, Exchange, PipelineCall, TraceContext, not_run
from greengagehoist.controllers import Assignment, Route
from greengagehoist.filters._retry import AttemptLimit
from greengagehoist.filters._sender import Sender
from greengagehoist.filters._stages import StageRunner
from greengagehoist.server import serve
from greengagehoist.standins import build_engine, generate_tokens
from greengagehoist.targets import GenerateCall, Target, TargetLink
from greengagehoist.utils import NullMetrics, SystemClock

TEXT = "gullies"
EXPECTED = generate_tokens("m", TEXT, 64)


class Engines:
    """Test double of the target controller; it assigns the first engine that was not excluded."""

    def __init__(self, links):
        self.links = links

    def tell(self, message):
        pass

    async def ask(self, message):
        match message:
            case Route(exclude=exclude):
                for link in self.links:
                    if link.target.name not in exclude:
                        return Success(Assignment(link.target, link))
        return Failure(not_run("route", ErrorCode.UNAVAILABLE, "no target"))


async def generate(inject_fault):
    """Generate with two engines; ``inject_fault`` injects a fault into the first after some tokens.

    :returns: the result, the tokens streamed to the caller and the second engine's records.
    """
    apps = [build_engine("m", step_s=0.01), build_engine("m", step_s=0.001)]
    listeners = [await serve(app, "127.0.0.1", 0, shutdown_s=0) for app in apps]
    clock, rng = SystemClock(), random.Random(1)
    names = zip(("a", "b"), listeners, strict=True)
    links = [TargetLink(Target(n, i.address, "dc", "engine", 1), clock) for n, i in names]
    tasks = [asyncio.create_task(link.run()) for link in links]
    streamed = []

    async def emit(offset, tokens):
        assert offset == len(streamed)
        streamed.extend(tokens)
        if len(streamed) >= 3 and not failed:
            failed.append(True)
            inject_fault(apps[0])

    failed = []
    exchange = Exchange(
        "r1",
        "",
        PipelineCall("p", TEXT, 64, True),
        0.0,
        TraceContext("t", "s"),
        deadline=clock.monotonic() + 10.0,
        emit=emit,
    )
    sender = Sender(Engines(links), Engines([]), clock, rng, "vm")
    runner = StageRunner(sender, AttemptLimit(), NullMetrics())

    def make_call(attempt, run):
        return GenerateCall(attempt, TEXT, 64, run.offset, 1, 10_000, run.accept)

    result = await runner.run(exchange, Route("r1", "engine", "engine", "m"), make_call, 64)
    records = await read_records(listeners[1].address)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for listener in listeners:
        listener.server.force_exit = True
        await listener.stop()
    return result, tuple(streamed), records


async def read_records(address):
    response = await aiosonic.HTTPClient().get(f"http://{address}/control/records")
    return await response.json()


def silence(app):
    app._silent = set(app._connections)


def test_generation_resumes_on_another_engine_when_its_connection_goes_silent():
    result, streamed, records = asyncio.run(generate(silence))
    assert result.unwrap().tokens == streamed == EXPECTED
    assert 0 < records[0]["tokens"] < len(EXPECTED)
