"""HTTP clients of target links."""

from collections.abc import Callable
from typing import Any

import aiosonic
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from greengagehoist.http1 import (
    MAX_BODY_BYTES,
    BufferedConnection,
    ResponseTooLargeError,
    StreamConnection,
)

POOL_SIZE = 128
POOL_ACQUIRE_TIMEOUT_S = 1.0


class NotSentError(Exception):
    """The call failed before any byte of the request was sent."""


class SingleCallConnector(TCPConnector):
    """Opens a connection for a single call and records whether the request may have been sent.

    :param before_send: called after the connection is open, immediately before the request is
        written; raises :class:`NotSentError` to prevent the write.
    """

    def __init__(self, before_send: Callable[[], None]):
        super().__init__({":default": PoolConfig(size=1)}, connection_cls=BufferedConnection)
        self.before_send = before_send
        self.sent = False

    async def acquire(self, *args: Any, **kwargs: Any) -> Any:
        """Connect; aiosonic then writes the request without yielding to the event loop."""
        conn = await super().acquire(*args, **kwargs)
        try:
            self.before_send()
        except NotSentError:
            conn.close()
            self.release(conn)
            raise
        self.sent = True
        return conn


def open_pooled_client() -> aiosonic.HTTPClient:
    """Return a client with pooled connections, for calls that are safe to retry."""
    connector = TCPConnector(
        pool_configs={":default": PoolConfig(size=POOL_SIZE)},
        timeouts=Timeouts(pool_acquire=POOL_ACQUIRE_TIMEOUT_S),
        connection_cls=StreamConnection,
    )
    return aiosonic.HTTPClient(connector)


def open_client() -> aiosonic.HTTPClient:
    """Return a client for a single call whose response is buffered."""
    return aiosonic.HTTPClient(TCPConnector(connection_cls=BufferedConnection))


async def read_body(response: aiosonic.HttpResponse) -> bytes:
    """Return the whole body of a response.

    :raises ResponseTooLargeError: if it exceeds ``MAX_BODY_BYTES``.
    """
    if not response.chunked:
        return await response.content()
    body = b""
    async for data in response.read_chunks():
        body += data
        if len(body) > MAX_BODY_BYTES:
            raise ResponseTooLargeError(f"response body exceeds {MAX_BODY_BYTES} bytes")
    return body
