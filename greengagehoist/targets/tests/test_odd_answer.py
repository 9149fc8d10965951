"""Guards against a target's answer that leaves a call without a reply."""

import asyncio

import pytest
from returns.result import Failure

from greengagehoist.targets import Target, TargetLink
from greengagehoist.targets.tests.test_endless_target import CALLS
from greengagehoist.utils import SystemClock

CALL_TIMEOUT_S = 2.0
NESTED = 10_000
NESTED_BODY = b'{"x":' + b"[" * NESTED + b"]" * NESTED + b"}\n"


@pytest.fixture
def call_odd():
    """Return a function that makes a call to a target that sends an odd body."""

    def run(body, message):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        async def main():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            link = TargetLink(Target("a", f"{host}:{port}", "dc", "engine", 1), SystemClock())
            task = asyncio.create_task(link.run())
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    return await link.ask(message)
            finally:
                task.cancel()
                server.close()

        return asyncio.run(main())

    return run


@pytest.mark.parametrize("call", CALLS)
def test_answer_of_a_target_that_is_nested_too_deeply_is_a_failure(call_odd, call):
    """The task that waits for the reply stayed for good, one for each load report."""
    assert isinstance(call_odd(NESTED_BODY, CALLS[call]), Failure)
