"""Guards against a target whose bytes never end: a call must fail, and memory stay bounded."""

import asyncio
import contextlib

import pytest
from returns.result import Failure

from greengagehoist.http1 import MAX_BODY_BYTES
from greengagehoist.targets import (
    Attempt,
    GenerateCall,
    OperationCall,
    PoolCall,
    ReadLoad,
    Send,
    Target,
    TargetLink,
)
from greengagehoist.utils import SystemClock

ATTEMPT = Attempt("r1", "stage", 1)
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = 64 * 1024
# Limit of a response and what both sides may hold in buffers.
MAX_SENT_BYTES = 4 * MAX_BODY_BYTES
TEST_TIMEOUT_S = 20.0

ENDLESS = {
    "headers": (HEAD, b"X-A: b\r\n"),
    "length": (HEAD + b"Content-Length: 1000000000\r\n\r\n", b"x" * BLOCK),
    "chunks": (CHUNKED, b"10000\r\n" + b"x" * BLOCK + b"\r\n"),
    "one chunk": (CHUNKED + b"fffffff\r\n", b"x" * BLOCK),
}


async def ignore(chunk):
    pass


CALLS = {
    "pool": Send(PoolCall(ATTEMPT, "text", 5000), 10.0, 5.0),
    "generate": Send(GenerateCall(ATTEMPT, "text", 6, 0, 0, 5000, ignore), 10.0, 5.0),
    "operation": Send(OperationCall(ATTEMPT, "book", "", {}, float("inf")), 10.0, 5.0),
    "load": ReadLoad(),
}


@pytest.fixture
def call_endless():
    """Return a function that makes a call to an endless target; returns reply and bytes sent."""

    def run(beginning, repeated, message):
        sent = []

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            sent.append(0)
            block = repeated * max(1, BLOCK // len(repeated))
            writer.write(beginning)
            with contextlib.suppress(ConnectionError):
                while not writer.is_closing():
                    writer.write(block)
                    sent[-1] += len(block)
                    await writer.drain()

        async def main():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            link = TargetLink(Target("a", f"{host}:{port}", "dc", "engine", 1), SystemClock())
            task = asyncio.create_task(link.run())
            try:
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    return await link.ask(message), sum(sent)
            finally:
                task.cancel()
                server.close()

        return asyncio.run(main())

    return run


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("call", CALLS)
def test_call_to_an_endless_target_fails(call_endless, call, kind):
    reply, sent = call_endless(*ENDLESS[kind], CALLS[call])
    assert isinstance(reply, Failure)
    assert sent < MAX_SENT_BYTES
