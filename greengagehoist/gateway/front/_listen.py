"""Listening sockets and complete answers, shared by all front ends."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from greengagehoist.http1 import (
    UNRESERVED_BYTES,
    ResponseHead,
    Socket,
    encode_response_head,
    end_to_end,
)

# Connections that the operating system accepts ahead. They are accepted all at once, before the first of
# them can be closed.
BACKLOG = 256
PROBE_BACKLOG = 32
# Unsent bytes of a connection from which a stream waits for its client.
MAX_UNSENT_BYTES = 16 * 1024
# Unread bytes of a connection from which it is not read. What is read at once comes on top. While it is
# not read, the client's close is not noticed.
MAX_UNREAD_BYTES = 32 * 1024
CLOSE = (b"Connection", b"close")


def write_answer(sock: Socket, head: ResponseHead, body: bytes, keep: bool) -> None:
    """Send a complete answer.

    :param keep: whether the connection stays open for another request.
    """
    headers = (*end_to_end(head.headers), (b"Content-Length", b"%d" % len(body)))
    if not keep:
        headers = (*headers, CLOSE)
    start = encode_response_head(head.status, head.reason, headers)
    if len(body) <= UNRESERVED_BYTES:
        sock.write(start + body)
    else:
        sock.write(start)
        sock.write(body)


async def linger(sock: Socket, seconds: float) -> None:
    """Discard what a client sends, which would reset the connection before it has read the answer."""
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(seconds):
            while await sock.read():
                pass


async def listen(
    accept: Callable[[Socket], None], host: str, port: int, backlog: int = BACKLOG
) -> asyncio.Server:
    """Pass each new connection at ``host:port`` to ``accept``.

    :raises OSError: if the address is not available.
    """

    class Accepted(Socket):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            self.limit_buffers(MAX_UNREAD_BYTES, MAX_UNSENT_BYTES)
            accept(self)

    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return await asyncio.get_running_loop().create_server(Accepted, sock=sock, backlog=backlog)
