"""Guards against a listener that does not close while a client keeps its connection."""

import asyncio

from starlette.responses import Response

from greengagehoist.server import serve

# More than the socket buffers of both sides hold.
LARGE_BYTES = 64 * 1024 * 1024
LIMIT_S = 0.2
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
