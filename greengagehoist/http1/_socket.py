"""A TCP connection that one task reads and writes."""

import asyncio
import errno
import socket
import struct
from collections import deque

from greengagehoist.http1._limits import UNRESERVED_BYTES
from greengagehoist.http1._types import Headers, encode_request_head
from greengagehoist.utils import MAX_PORT, show_value

# Reading pauses while more received bytes than this are unread.
MAX_UNREAD_BYTES = 32 * 1024
# Bytes that are read from a connection before all others get a turn.
READ_BYTES = 16 * 1024
# The kernel closes a connection whose sent bytes stay unacknowledged for this long.
USER_TIMEOUT_MS = 3000
# Unread pieces up to this size are merged, as each of them takes more memory than its bytes.
MERGED_BYTES = 256
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# Values of SO_LINGER. With a linger time of 0 s, close discards unsent bytes and sends a reset.
NO_LINGER = struct.pack("ii", 1, 0)
DEFAULT_LINGER = struct.pack("ii", 0, 0)


# Holds received bytes only during a call of the event loop, so all connections share it.
_read_buffer = memoryview(bytearray(READ_BYTES))


class Socket(asyncio.BufferedProtocol):
    """A connection with buffered reads and back pressure in both directions.

    :ivar gone: done as soon as the peer has closed or reset the connection, even if no task is
        reading.
    """

    def __init__(self):
        loop = asyncio.get_running_loop()
        self.gone: asyncio.Future = loop.create_future()
        self.transport: asyncio.Transport | None = None
        self._received: deque[bytes] = deque()
        self._unread = 0
        self._reset = False
        self._read_waiter: asyncio.Future | None = None
        self._drain_waiter: asyncio.Future | None = None
        self._write_paused = False
        self._most_unsent: int | None = None
        self._most_unread = MAX_UNREAD_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that detect an unresponsive peer."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_options(sock)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next received bytes."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes out of the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffer bytes until they are read."""
        if self._received and len(self._received[-1]) < MERGED_BYTES:
            self._received[-1] += data
        else:
            self._received.append(data)
        self._unread += len(data)
        if self._unread > self._most_unread:
            self.transport.pause_reading()
        _wake(self._read_waiter)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        self._set_gone()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record whether the connection was reset."""
        if not self.gone.done():
            self._reset = exc is not None
        self._set_gone()
        _wake(self._drain_waiter)

    def pause_writing(self) -> None:
        """Make :meth:`drain` wait."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Let :meth:`drain` return."""
        self._write_paused = False
        _wake(self._drain_waiter)

    async def read(self) -> bytes:
        """Return received bytes, or empty bytes at the end of the connection.

        :raises ConnectionResetError: if the connection was reset.
        """
        while not self._received:
            if self.gone.done():
                if self._reset:
                    raise ConnectionResetError("connection reset by peer")
                return b""
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        data = self._received.popleft()
        self._unread -= len(data)
        if self._unread <= self._most_unread and not self.gone.done():
            self.transport.resume_reading()
        return data

    @property
    def has_unread(self) -> bool:
        """Whether received bytes are unread."""
        return bool(self._received)

    def push_back(self, data: bytes) -> None:
        """Put back bytes that belong to the next message."""
        if data:
            self._received.appendleft(data)
            self._unread += len(data)

    @property
    def peer_address(self) -> str:
        """IP address of the peer, empty if it is not known."""
        name = self.transport.get_extra_info("peername")
        return name[0] if name else ""

    @property
    def has_unsent(self) -> bool:
        """Whether the operating system has not taken all written bytes yet."""
        return bool(self.transport.get_write_buffer_size())

    def limit_buffers(self, unread: int, unsent: int) -> None:
        """Set the size of its buffers.

        :param unread: reading pauses while more received bytes are unread.
        :param unsent: :meth:`drain` waits while more bytes are unsent.
        """
        self._most_unread, self._most_unsent = unread, unsent
        self.transport.set_write_buffer_limits(high=unsent)

    def write(self, data: bytes) -> None:
        """Queue bytes for the peer; they are discarded if the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer is below its low-water mark, or the connection has ended."""
        while self._write_paused and not self.gone.done():
            self._drain_waiter = asyncio.get_running_loop().create_future()
            await self._drain_waiter

    async def flush(self) -> None:
        """Wait until the operating system has taken all written bytes, or the connection has ended."""
        if self.has_unsent:
            self.transport.set_write_buffer_limits(high=0)
            await self.drain()
            self.transport.set_write_buffer_limits(high=self._most_unsent)

    def close(self) -> None:
        """Close the connection after the queued bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.reset_on_close(True)
            self.transport.abort()

    def reset_on_close(self, enabled: bool) -> None:
        """Choose whether a close resets the connection, which no peer mistakes for the end of data.

        It also holds for the close by the kernel when the process ends.
        """
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            linger = NO_LINGER if enabled else DEFAULT_LINGER
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _set_gone(self) -> None:
        if not self.gone.done():
            self.gone.set_result(None)
        _wake(self._read_waiter)
        _wake(self._drain_waiter)


def write_request(
    sock: Socket, method: bytes, target: bytes, headers: Headers, body: bytes
) -> None:
    """Queue a request; a large body is not copied."""
    head = encode_request_head(method, target, headers, len(body))
    if len(body) <= UNRESERVED_BYTES:
        sock.write(head + body)
    else:
        sock.write(head)
        sock.write(body)


async def open_socket(host: str, port: int, timeout_s: float) -> Socket:
    """Connect to a peer.

    :raises OSError: if the peer refuses or cannot be reached, or the address is invalid.
    :raises TimeoutError: if it does not answer in time.
    """
    # An event loop may connect to a port above the range at its lowest 16 bits.
    if not 1 <= port <= MAX_PORT:
        raise OSError(errno.EINVAL, f"port: accepted: 1 to {MAX_PORT}")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, sock = await loop.create_connection(Socket, host, port)
    except ValueError as exc:
        raise OSError(errno.EINVAL, f"host {show_value(host)}: {type(exc).__name__}") from exc
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
