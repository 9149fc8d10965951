"""Bound on connections to the peers' port whose other side is not known yet."""

import asyncio

from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection

from greengagehoist.utils import Clock, EventLimiter

MAX_HANDSHAKES = 128
# Limit on a message before the other side is known; a Hello has some hundred bytes.
MAX_HELLO_BYTES = 128 * 1024


class HandshakeLimit:
    """Connections that have not sent a Hello; the oldest one is closed for a new one.

    A handshake between daemons takes milliseconds, and its time is limited, so the oldest ones are those
    that do not go on. A peer whose connection is closed dials again.

    :param limit: most connections without a Hello.
    :ivar closed: number of connections that were closed for others.
    """

    def __init__(self, limit: int, clock: Clock):
        self.limit = limit
        self.closed = 0
        self._log = EventLimiter(clock)
        self._open: dict[ServerConnection, None] = {}

    def connection_type(self) -> type[ServerConnection]:
        """Return the class of the listener's connections."""
        handshakes = self

        class CountedConnection(ServerConnection):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                super().connection_made(transport)
                handshakes._add(self)

            def connection_lost(self, exc: Exception | None) -> None:
                handshakes._open.pop(self, None)
                super().connection_lost(exc)

        return CountedConnection

    def complete(self, connection: Connection, max_bytes: int) -> None:
        """The other side is known.

        :param max_bytes: limit on its messages from now on.
        """
        if self._open.pop(connection, self) is None:
            connection.protocol.max_message_size = max_bytes

    def _add(self, connection: ServerConnection) -> None:
        connection.protocol.max_message_size = MAX_HELLO_BYTES
        while len(self._open) >= self.limit:
            oldest = next(iter(self._open))
            del self._open[oldest]
            self.closed += 1
            self._log.log("peer_handshake_closed", "WARNING", open=len(self._open))
            oldest.transport.abort()
        self._open[connection] = None
