"""HTTP clients of target links."""

from collections.abc import Callable
from typing import Any

import aiosonic
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

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
        super().__init__(pool_configs={":default": PoolConfig(size=1)})
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
    )
    return aiosonic.HTTPClient(connector)
