"""HTTP protocol with limits on connections, TLS handshakes and request headers."""

import asyncio
import ssl
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from greengagehoist.http1 import ConnectionTable, Refused, Replacing
from greengagehoist.utils import Clock, EventLimiter, SystemClock

HEADER_TIMEOUT_S = 5.0
MAX_HEADER_BYTES = 32 * 1024
# Open connections of one listener.
MAX_CONNECTIONS = 1000
# TLS handshakes of one listener that are under way; the oldest one ends for a new one.
MAX_HANDSHAKES = 64
HANDSHAKE_TIMEOUT_S = 5.0


class ListenerGuard:
    """Connections of one listener, and its TLS handshakes."""

    def __init__(self, clock: Clock):
        self.table: ConnectionTable[HeaderLimitProtocol] = ConnectionTable(
            MAX_CONNECTIONS, 0, lambda conn: conn.is_silent
        )
        self._handshakes: dict[asyncio.Transport, None] = {}
        self._log = EventLimiter(clock)

    def admit(self, conn: "HeaderLimitProtocol", transport: asyncio.Transport) -> None:
        """Take a new connection in; the one that it replaces, or it itself, is aborted."""
        match self.table.admit(""):
            case Refused(reason):
                self._log.log("caller_refused", kind=reason, reason=reason, open=len(self.table))
                transport.abort()
                return
            case Replacing(other):
                self._log.log(
                    "caller_refused", kind="connections", reason="connections", open=MAX_CONNECTIONS
                )
                self.table.remove(other)
                other.transport.abort()
        self.table.add(conn, "")

    def begin_handshake(self, transport: asyncio.Transport) -> None:
        """Count a handshake; the oldest one ends if there are too many."""
        if len(self._handshakes) >= MAX_HANDSHAKES:
            oldest = next(iter(self._handshakes))
            self.end_handshake(oldest)
            self._log.log(
                "caller_refused", kind="handshakes", reason="handshakes", open=MAX_HANDSHAKES
            )
            oldest.abort()
        self._handshakes[transport] = None

    def end_handshake(self, transport: asyncio.Transport) -> None:
        """A handshake has ended."""
        self._handshakes.pop(transport, None)

    def abort_handshakes(self) -> None:
        """End all handshakes."""
        for transport in list(self._handshakes):
            transport.abort()


class HeaderLimitProtocol(HttpToolsProtocol):
    """Aborts connections whose request headers are too slow or too large.

    :param guard: connections of its listener.
    """

    def __init__(self, *args: Any, guard: ListenerGuard | None = None, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.guard = guard or ListenerGuard(SystemClock())
        self._header_timer: asyncio.TimerHandle | None = None
        self._header_bytes = 0
        self._in_headers = True

    @property
    def is_silent(self) -> bool:
        """Whether nothing of the next request has been received."""
        return not self._header_bytes

    def connection_made(self, transport: Any) -> None:
        """Start the header timeout of the first request."""
        super().connection_made(transport)
        self.guard.admit(self, transport)
        self._start_timer()

    def data_received(self, data: bytes) -> None:
        """Count header bytes; the application limits the size of bodies."""
        if self._in_headers:
            self._header_bytes += len(data)
        super().data_received(data)
        if self._in_headers and self._header_bytes > MAX_HEADER_BYTES:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Start the header timeout of a request."""
        super().on_message_begin()
        self._in_headers = True
        self._start_timer()

    def on_headers_complete(self) -> None:
        """Stop the header timeout."""
        self._in_headers = False
        self._header_bytes = 0
        self._cancel_timer()
        self.guard.table.set_busy(self)
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Let the connection give way while it waits for a request."""
        # The base class starts the next pipelined request.
        has_next = bool(self.pipeline)
        super().on_response_complete()
        if not has_next and not self.transport.is_closing():
            self.guard.table.set_idle(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the header timer."""
        self._cancel_timer()
        self.guard.table.remove(self)
        super().connection_lost(exc)

    def _start_timer(self) -> None:
        self._cancel_timer()
        self._header_timer = self.loop.call_later(HEADER_TIMEOUT_S, self.transport.abort)

    def _cancel_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


class TlsProtocol(HeaderLimitProtocol):
    """Begins with a TLS handshake that is counted and limited in time.

    The event loop's own listener for TLS would allow any number of handshakes, of a minute each.

    :param context: certificate and key.
    """

    def __init__(self, *args: Any, context: ssl.SSLContext, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.context = context
        self._encrypted = False
        # Requests may arrive with the end of the handshake.
        self._early: list[bytes] = []
        self._handshake: asyncio.Task | None = None

    def connection_made(self, transport: Any) -> None:
        """Start the handshake."""
        transport.pause_reading()
        self.guard.begin_handshake(transport)
        self._handshake = self.loop.create_task(self._shake_hands(transport))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes, after the handshake."""
        if self._encrypted:
            super().data_received(data)
        else:
            self._early.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of a connection whose handshake has ended."""
        if self._encrypted:
            super().connection_lost(exc)

    async def _shake_hands(self, transport: asyncio.Transport) -> None:
        try:
            encrypted = await self.loop.start_tls(
                transport,
                self,
                self.context,
                server_side=True,
                ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S,
            )
        except (OSError, TimeoutError):
            transport.abort()
            return
        finally:
            self.guard.end_handshake(transport)
        if encrypted is None or encrypted.is_closing():
            transport.abort()
            return
        self._encrypted = True
        super().connection_made(encrypted)
        for data in self._early:
            super().data_received(data)
        self._early.clear()
