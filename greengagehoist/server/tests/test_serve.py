"""Guards against a listener that does not close while a client keeps its connection."""

import asyncio

import pytest
from starlette.responses import Response

from greengagehoist.controllers import BeginRequest
from greengagehoist.server import DrainGate, serve

# More than the socket buffers of both sides hold.
LARGE_BYTES = 64 * 1024 * 1024
LIMIT_S = 0.2
PART, PARTS = b"x" * 4096, 10
# Bound after which a stop counts as endless.
ENDLESS_S = 10.0


def test_client_that_does_not_read_does_not_hold_up_the_stop():
    """Guards against a process that waits for one client until it is killed."""

    async def run():
        listener = await serve(Response(b"x" * LARGE_BYTES), "127.0.0.1", 0)
        host, port = listener.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readline()
        async with asyncio.timeout(ENDLESS_S):
            await listener.stop(LIMIT_S)
        writer.close()

    asyncio.run(run())


class Draining:
    """Test double of the drain controller of a daemon that refuses new requests."""

    def tell(self, message):
        pass

    async def ask(self, message):
        assert isinstance(message, BeginRequest)
        return False


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_refusal_reaches_a_caller_that_still_sends_its_body(version):
    """Guards against a reset by unread bytes of a request, which destroys the refusal."""

    async def run():
        listener = await serve(DrainGate(None, Draining()), "127.0.0.1", 0)
        host, port = listener.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /v1/pipelines/p HTTP/{version}\r\nHost: x\r\n"
        writer.write(f"{head}Content-Length: {PARTS * len(PART)}\r\n\r\n".encode())
        for _ in range(PARTS):
            await asyncio.sleep(0.02)
            writer.write(PART)
        await asyncio.sleep(0.1)
        received = await reader.read()
        writer.close()
        await listener.stop(LIMIT_S)
        return received

    received = asyncio.run(run())
    assert b"503" in received.partition(b"\r\n")[0]
    assert b'"draining"' in received


def test_pipelined_request_does_not_destroy_the_refusal():
    """Guards against a reset by a pipelined request that is never answered."""

    async def run():
        listener = await serve(DrainGate(None, Draining()), "127.0.0.1", 0)
        host, port = listener.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = b"POST /v1/pipelines/p HTTP/1.1\r\nHost: x\r\nContent-Length: 4096\r\n\r\n"
        writer.write((head + PART) * 3)
        await asyncio.sleep(0.2)
        received = await reader.read()
        writer.close()
        await listener.stop(LIMIT_S)
        return received

    assert b'"draining"' in asyncio.run(run())
