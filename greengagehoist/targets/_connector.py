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
    """The call failed before any byte of the request could leave this VM."""


class OneCallConnector(TCPConnector):
    """Opens its own connection for one call and knows whether the request may have been sent.

    :param check: called on the open connection immediately before the request is written; raises
        :class:`NotSentError` to prevent it.
    """

    def __init__(self, check: Callable[[], None]):
        super().__init__(pool_configs={":default": PoolConfig(size=1)})
        self.check = check
        self.sent = False

    async def acquire(self, *args: Any, **kwargs: Any) -> Any:
        """Connect; aiosonic writes the request without suspending after the return."""
        conn = await super().acquire(*args, **kwargs)
        try:
            self.check()
        except NotSentError:
            conn.close()
            self.release(conn)
            raise
        self.sent = True
        return conn


def open_pool() -> aiosonic.HTTPClient:
    """Return a client with pooled connections, for calls that may be repeated."""
    connector = TCPConnector(
        pool_configs={":default": PoolConfig(size=POOL_SIZE)},
        timeouts=Timeouts(pool_acquire=POOL_ACQUIRE_TIMEOUT_S),
    )
    return aiosonic.HTTPClient(connector)
