"""HTTP protocol of the listeners with limits on the time and size of request headers."""

import asyncio
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

HEADER_TIMEOUT_S = 5.0
LARGEST_HEADERS_BYTES = 32 * 1024


class GuardedProtocol(HttpToolsProtocol):
    """Closes connections whose request headers are too slow or too large."""

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self._header_timer: asyncio.TimerHandle | None = None
        self._header_bytes = 0
        self._in_headers = True

    def connection_made(self, transport: Any) -> None:
        """Start the time for the first request's headers."""
        super().connection_made(transport)
        self._arm()

    def data_received(self, data: bytes) -> None:
        """Count bytes of headers; bytes of bodies are limited by the application."""
        if self._in_headers:
            self._header_bytes += len(data)
        super().data_received(data)
        if self._in_headers and self._header_bytes > LARGEST_HEADERS_BYTES:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Start the time for a request's headers."""
        super().on_message_begin()
        self._in_headers = True
        self._arm()

    def on_headers_complete(self) -> None:
        """Stop the time for the headers."""
        self._in_headers = False
        self._header_bytes = 0
        self._disarm()
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._disarm()
        super().connection_lost(exc)

    def _arm(self) -> None:
        self._disarm()
        self._header_timer = self.loop.call_later(HEADER_TIMEOUT_S, self.transport.abort)

    def _disarm(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None
