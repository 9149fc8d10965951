"""A connection to a replica that is kept open between calls."""

from greengagehoist.gateway import StageCall
from greengagehoist.http1 import (
    ProtocolError,
    ResponseHead,
    ResponseReader,
    Socket,
    encode_request,
    open_socket,
)
from greengagehoist.utils import Clock

# Connecting takes a few milliseconds; a replica that does not answer must not delay a batch.
CONNECT_TIMEOUT_S = 0.25
# Connections that were idle for longer are replaced, because they may be dead.
MAX_IDLE_S = 2.0
# Bounds the memory for the handles that came over a connection.
MAX_HANDLES = 1000


class KeptConnection:
    """Sends one call at a time and opens a new connection if the last one cannot be reused."""

    def __init__(self, host: str, port: int, clock: Clock):
        self.host = host
        self.port = port
        self.clock = clock
        self._sock: Socket | None = None
        self._idle_since = 0.0
        self._handles: set[str] = set()

    @property
    def is_open(self) -> bool:
        """Whether there is a connection; False after a failed attempt to connect."""
        return self._sock is not None

    async def open(self) -> None:
        """Connect unless the last connection can be reused.

        :raises OSError: if the replica refuses or cannot be reached.
        :raises TimeoutError: if it does not answer in time.
        """
        stale = self.clock.monotonic() - self._idle_since > MAX_IDLE_S
        if self._sock is not None and (stale or self._sock.gone.done() or self._sock.has_unread):
            self.close()
        if self._sock is None:
            self._handles.clear()
            self._sock = await open_socket(self.host, self.port, CONNECT_TIMEOUT_S)

    async def call(self, call: StageCall) -> tuple[ResponseHead, bytes]:
        """Send a call on the open connection and return the response.

        :raises IncompleteError: if the connection ends first.
        :raises ProtocolError: if the bytes are not a response, or too many.
        """
        self._sock.write(encode_request(b"POST", call.target, call.headers, call.body))
        reader = ResponseReader(self._sock, b"POST")
        head = await reader.head()
        body = await reader.whole_body()
        if not reader.reusable:
            self.close()
        self._idle_since = self.clock.monotonic()
        return head, body

    def check_handles(self, handles: tuple[str, ...]) -> None:
        """Check that a response with these handles is not an earlier one that was sent again.

        Responses to calls carry no id, and a repeated one may arrive when the next call has been
        written. A new handle proves that a response belongs to the latest call. After any other
        response the connection is closed, because the response to the latest call may follow it.

        :param handles: all handles in the response.
        :raises ProtocolError: if a handle came before.
        """
        if len(set(handles)) < len(handles) or not self._handles.isdisjoint(handles):
            raise ProtocolError("response with a handle that was received before")
        self._handles.update(handles)
        if not handles or len(self._handles) > MAX_HANDLES:
            self.close()

    def close(self) -> None:
        """Reset the connection."""
        if self._sock is not None:
            self._sock.abort()
            self._sock = None
