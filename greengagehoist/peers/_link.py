"""Task that owns one connection to a peer."""

import asyncio
from typing import Any, NamedTuple

from websockets.asyncio.connection import Connection
from websockets.exceptions import WebSocketException

from greengagehoist.codec import FrameError
from greengagehoist.peers._messages import Hello
from greengagehoist.peers._wire import PEER_CODEC
from greengagehoist.utils import Controller

# A link that receives no frame for this long is closed even if its TCP connection is still open.
DEAD_AFTER_S = 3.0
CLOSE_TIMEOUT_S = 0.5
MAX_QUEUED_FRAMES = 1024
MAX_QUEUED_BYTES = 8 * 1024 * 1024


class LinkOpened(NamedTuple):
    """A link has received the peer's :class:`Hello`."""

    link: "PeerLink"
    hello: Hello


class LinkReceived(NamedTuple):
    """A link has received a frame; ``message`` is None if the message type is unknown."""

    link: "PeerLink"
    message: Any


class LinkClosed(NamedTuple):
    """A link has ended."""

    link: "PeerLink"
    reason: str


class PeerLink:
    """Sends queued frames and passes received messages to its owner until the connection ends.

    :param own_hello: first message sent to the peer.
    :param dialled: address that this side dialled, empty if the peer dialled.
    :param dead_after: seconds without a received frame, or for one send, after which the link
        ends.
    """

    def __init__(
        self,
        connection: Connection,
        own_hello: Hello,
        owner: Controller,
        dialled: str = "",
        dead_after: float = DEAD_AFTER_S,
    ):
        self.connection = connection
        self.own_hello = own_hello
        self.owner = owner
        self.dialled = dialled
        self.dead_after = dead_after
        self._outbox: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED_FRAMES)
        self._queued_bytes = 0

    def offer(self, frame: bytes) -> bool:
        """Queue a frame; if the queue is full, drop the frame and abort the connection.

        :returns: False if the frame was dropped.
        """
        too_large = self._queued_bytes + len(frame) > MAX_QUEUED_BYTES
        if too_large or self._outbox.qsize() >= MAX_QUEUED_FRAMES - 1:
            self.abort()
            return False
        self._queued_bytes += len(frame)
        self._outbox.put_nowait(frame)
        return True

    def close(self) -> None:
        """Close the connection once the queued frames are sent."""
        if self._outbox.full():
            self.abort()
        else:
            self._outbox.put_nowait(None)

    def abort(self) -> None:
        """Drop the connection at once, without a closing handshake."""
        self.connection.transport.abort()

    async def run(self) -> None:
        """Exchange messages until the connection ends or receives nothing for ``dead_after`` s."""
        writer = asyncio.get_running_loop().create_task(self._write())
        reason = "cancelled"
        try:
            reason = await self._serve()
        finally:
            writer.cancel()
            self.abort()
            self.owner.tell(LinkClosed(self, reason))

    async def _serve(self) -> str:
        self.offer(PEER_CODEC.encode(self.own_hello))
        try:
            hello = await self._receive()
            if not isinstance(hello, Hello):
                return "first message is not Hello"
            self.owner.tell(LinkOpened(self, hello))
            while True:
                self.owner.tell(LinkReceived(self, await self._receive()))
        except TimeoutError:
            return "silent"
        except FrameError as exc:
            return str(exc)
        except (WebSocketException, OSError) as exc:
            return type(exc).__name__

    async def _receive(self) -> Any:
        async with asyncio.timeout(self.dead_after):
            frame = await self.connection.recv()
        return PEER_CODEC.decode(frame)

    async def _write(self) -> None:
        try:
            while (frame := await self._outbox.get()) is not None:
                self._queued_bytes -= len(frame)
                async with asyncio.timeout(self.dead_after):
                    await self.connection.send(frame)
            await self.connection.close()
        except (TimeoutError, WebSocketException, OSError):
            self.abort()
