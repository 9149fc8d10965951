"""HTTP protocol with limits on the size and arrival time of request headers."""

import asyncio
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

HEADER_TIMEOUT_S = 5.0
MAX_HEADER_BYTES = 32 * 1024


class HeaderLimitProtocol(HttpToolsProtocol):
    """Aborts connections whose request headers are too slow or too large."""

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self._header_timer: asyncio.TimerHandle | None = None
        self._header_bytes = 0
        self._in_headers = True

    def connection_made(self, transport: Any) -> None:
        """Start the header timeout of the first request."""
        super().connection_made(transport)
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
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the header timer."""
        self._cancel_timer()
        super().connection_lost(exc)

    def _start_timer(self) -> None:
        self._cancel_timer()
        self._header_timer = self.loop.call_later(HEADER_TIMEOUT_S, self.transport.abort)

    def _cancel_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None
