"""Guards against an earlier response that is read as the response to the next request."""

import asyncio
import contextlib

import aiosonic
import pytest
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig

from greengagehoist.http1 import BufferedConnection, ResponseTooLargeError, StreamConnection
from greengagehoist.http1._bounded_connection import LINES_PER_TURN
from greengagehoist.http1._limits import MAX_CHUNK_FRAMING_BYTES

HEAD = b"HTTP/1.1 200 OK\r\n"


def encode(number, chunked):
    body = b"response %d" % number
    if chunked:
        return HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


@pytest.fixture
def request_three():
    """Return a function that sends three requests; returns the bodies and the connections.

    :param copies: number of times that the server writes each response.
    :param is_late: whether the copies follow when the client has read the first.
    """

    def run(connection_cls, copies, chunked, is_late=False):
        connections, requests, written = [], [], asyncio.Semaphore(0)

        async def serve(reader, writer):
            connections.append(writer)
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    await respond(writer)
            writer.close()

        async def respond(writer):
            requests.append(0)
            response = encode(len(requests), chunked)
            if is_late:
                writer.write(response)
                await asyncio.sleep(0.01)
                writer.write(response * (copies - 1))
            else:
                writer.write(response * copies)
            written.release()

        async def main():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            pools = {":default": PoolConfig(size=1)}
            client = aiosonic.HTTPClient(TCPConnector(pools, connection_cls=connection_cls))
            bodies = []
            for _ in range(3):
                response = await client.request(f"http://{host}:{port}/", "GET")
                bodies.append(await response.content())
                await written.acquire()
                # The client's event loop reads what the server has written.
                await asyncio.sleep(0.01)
            await client.aclose()
            server.close()
            for writer in connections:
                writer.close()
            await asyncio.sleep(0.01)
            return bodies, len(connections)

        return asyncio.run(main())

    return run


@pytest.mark.parametrize("connection_cls", [BufferedConnection, StreamConnection])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("is_late", [False, True])
def test_repeated_response_is_not_read_as_the_next_one(
    request_three, connection_cls, chunked, is_late
):
    """A read of the platform could return what an earlier read had returned."""
    bodies, connections = request_three(connection_cls, 2, chunked, is_late)
    assert bodies == [b"response 1", b"response 2", b"response 3"]
    assert connections == 3


@pytest.mark.parametrize("connection_cls", [BufferedConnection, StreamConnection])
@pytest.mark.parametrize("chunked", [False, True])
def test_connection_is_reused_after_a_single_response(request_three, connection_cls, chunked):
    """A check for further bytes must not cost a connection for each request."""
    bodies, connections = request_three(connection_cls, 1, chunked)
    assert bodies == [b"response 1", b"response 2", b"response 3"]
    assert connections == 1


@pytest.mark.parametrize("connection_cls", [BufferedConnection, StreamConnection])
def test_tiny_chunks_are_rejected_while_other_tasks_run(connection_cls):
    """Guards against a peer whose buffered lines are read without a turn for any other task.

    The platform's store could stop a daemon for seconds in this way.
    """
    turns = 0

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 100_000)
        with contextlib.suppress(ConnectionError):
            await writer.drain()

    async def count_turns():
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pools = {":default": PoolConfig(size=1)}
        client = aiosonic.HTTPClient(TCPConnector(pools, connection_cls=connection_cls))
        response = await client.request(f"http://{host}:{port}/", "GET")
        counting = asyncio.ensure_future(count_turns())
        with pytest.raises(ResponseTooLargeError, match="around the chunks"):
            async with asyncio.timeout(10.0):
                await response.content()
        counting.cancel()
        await client.aclose()
        server.close()

    asyncio.run(main())
    lines = MAX_CHUNK_FRAMING_BYTES // len(b"1\r\n")
    assert turns > lines / LINES_PER_TURN / 2
