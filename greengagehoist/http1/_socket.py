"""A TCP connection that one task reads and writes."""

import asyncio
import socket
from collections import deque

# Received bytes beyond which the peer is no longer read.
MOST_UNREAD_BYTES = 256 * 1024
# The kernel ends a connection whose sent bytes are not acknowledged for this long.
USER_TIMEOUT_MS = 3000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


class Socket(asyncio.Protocol):
    """Received bytes, their end, and back pressure of one connection.

    ``gone`` is done as soon as the peer has closed or reset the connection, also while nobody
    reads.
    """

    def __init__(self):
        loop = asyncio.get_running_loop()
        self.gone: asyncio.Future = loop.create_future()
        self.transport: asyncio.Transport | None = None
        self._received: deque[bytes] = deque()
        self._unread = 0
        self._reset = False
        self._reader: asyncio.Future | None = None
        self._writer: asyncio.Future | None = None
        self._full = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options that detect a silent peer."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_options(sock)

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they are read."""
        self._received.append(data)
        self._unread += len(data)
        if self._unread > MOST_UNREAD_BYTES:
            self.transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        """Treat the end of the peer's bytes as the end of the connection."""
        self._end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note whether the connection was reset."""
        if not self.gone.done():
            self._reset = exc is not None
        self._end()
        _wake(self._writer)

    def pause_writing(self) -> None:
        """Hold :meth:`drain` back."""
        self._full = True

    def resume_writing(self) -> None:
        """Let :meth:`drain` go on."""
        self._full = False
        _wake(self._writer)

    async def read(self) -> bytes:
        """Return received bytes, or none at the end of the connection.

        :raises ConnectionResetError: if the connection was reset.
        """
        while not self._received:
            if self.gone.done():
                if self._reset:
                    raise ConnectionResetError("connection reset by peer")
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader
        data = self._received.popleft()
        self._unread -= len(data)
        if self._unread <= MOST_UNREAD_BYTES and not self.gone.done():
            self.transport.resume_reading()
        return data

    @property
    def has_unread(self) -> bool:
        """Whether received bytes wait to be read."""
        return bool(self._received)

    def push_back(self, data: bytes) -> None:
        """Return bytes that belong to the next message."""
        if data:
            self._received.appendleft(data)
            self._unread += len(data)

    def write(self, data: bytes) -> None:
        """Queue bytes for the peer; a lost connection discards them."""
        if not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the peer has taken most of the queued bytes, or the connection has ended."""
        while self._full and not self.gone.done():
            self._writer = asyncio.get_running_loop().create_future()
            await self._writer

    def close(self) -> None:
        """Close after the queued bytes."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            if sock is not None and not self.transport.is_closing():
                # A zero linger time makes the close a reset, which no client takes for the end
                # of an answer.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.transport.abort()

    def _end(self) -> None:
        if not self.gone.done():
            self.gone.set_result(None)
        _wake(self._reader)
        _wake(self._writer)


async def open_socket(host: str, port: int, timeout_s: float) -> Socket:
    """Connect to a peer.

    :raises OSError: if the peer refuses or cannot be reached.
    :raises TimeoutError: if it does not answer in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, sock = await loop.create_connection(Socket, host, port)
    return sock


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _wake(fut: asyncio.Future | None) -> None:
    if fut is not None and not fut.done():
        fut.set_result(None)
