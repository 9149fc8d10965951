"""Connections to the replicas of stage pools: calls, and the freeing of results."""

import asyncio
from typing import NamedTuple

from greengagehoist.gateway import WireFormat
from greengagehoist.http1 import (
    IncompleteError,
    ProtocolError,
    ResponseReader,
    Socket,
    encode_request,
    open_socket,
)
from greengagehoist.pieces import Piece, PieceOutcome
from greengagehoist.replicas import Load, Replica
from greengagehoist.utils import Clock, Controller

# Connecting takes a few milliseconds; a replica that does not answer must not delay a batch.
CONNECT_TIMEOUT_S = 0.25
# Connections that were idle for longer are replaced, because they may be dead.
MAX_IDLE_S = 2.0
# Timeout of a call as a multiple of its expected duration, long enough for slow replicas.
TIMEOUT_FACTOR = 8.0
MIN_TIMEOUT_S = 1.5
FREE_TIMEOUT_S = 1.0


class BatchEnded(NamedTuple):
    """End of a call at a replica of a pool.

    :param outcomes: outcome of each piece, or None if the call failed.
    :param failure: ``""``, ``unreachable``, ``rejected`` or ``lost``.
    """

    replica_id: str
    pieces: tuple[Piece, ...]
    outcomes: tuple[PieceOutcome, ...] | None
    failure: str
    duration_s: float
    load: Load | None = None


class PoolWorker:
    """Sends one call at a time to a replica of a stage pool.

    :param owner: receives :class:`BatchEnded`.
    """

    def __init__(self, replica: Replica, wire: WireFormat, clock: Clock, owner: Controller):
        self.replica = replica
        self.wire = wire
        self.clock = clock
        self.owner = owner
        self._sock: Socket | None = None
        self._idle_since = 0.0

    async def run_batch(self, pieces: tuple[Piece, ...], expected_s: float) -> None:
        """Send a call and report its end to the owner."""
        started = self.clock.monotonic()
        timeout = max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * expected_s)
        outcomes, load, failure = None, None, "lost"
        try:
            sock = await self._connected()
            async with asyncio.timeout(timeout):
                outcomes, load = await self._call(sock, pieces)
            failure = "" if outcomes is not None else "rejected"
        except ConnectionRefusedError:
            failure = "unreachable"
        except (TimeoutError, OSError):
            failure = "unreachable" if self._sock is None else "lost"
        except (IncompleteError, ProtocolError, ValueError):
            failure = "lost"
        finally:
            if failure in ("lost", "unreachable"):
                self.close()
            duration = self.clock.monotonic() - started
            self.owner.tell(
                BatchEnded(self.replica.replica_id, pieces, outcomes, failure, duration, load)
            )

    async def _connected(self) -> Socket:
        stale = self.clock.monotonic() - self._idle_since > MAX_IDLE_S
        if self._sock is not None and (stale or self._sock.gone.done() or self._sock.has_unread):
            self.close()
        if self._sock is None:
            self._sock = await open_socket(self.replica.host, self.replica.port, CONNECT_TIMEOUT_S)
        return self._sock

    async def _call(
        self, sock: Socket, pieces: tuple[Piece, ...]
    ) -> tuple[tuple[PieceOutcome, ...] | None, Load | None]:
        call = self.wire.stage_call(self.replica, pieces)
        sock.write(encode_request(b"POST", call.target, call.headers, call.body))
        reader = ResponseReader(sock, b"POST")
        head = await reader.head()
        body = await reader.whole_body()
        reply = self.wire.read_reply(head)
        if not reader.reusable:
            self.close()
        self._idle_since = self.clock.monotonic()
        if head.status != 200:
            return None, reply.load
        return self.wire.read_pieces(body, len(pieces)), reply.load

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.abort()
            self._sock = None


class ResultFreer:
    """Frees results at one replica of a stage pool over a persistent connection."""

    def __init__(self, host: str, port: int, wire: WireFormat):
        self.host = host
        self.port = port
        self.wire = wire
        self._sock: Socket | None = None
        self.busy = False

    async def free(self, handles: tuple[str, ...]) -> bool:
        """Free results; returns False if the replica did not confirm it."""
        self.busy = True
        try:
            async with asyncio.timeout(FREE_TIMEOUT_S):
                if self._sock is None or self._sock.gone.done() or self._sock.has_unread:
                    self._sock = await open_socket(self.host, self.port, CONNECT_TIMEOUT_S)
                call = self.wire.free_call(f"{self.host}:{self.port}", handles)
                self._sock.write(encode_request(b"POST", call.target, call.headers, call.body))
                reader = ResponseReader(self._sock, b"POST")
                head = await reader.head()
                await reader.whole_body()
            if not reader.reusable:
                self.close()
            return head.status == 200
        except (OSError, TimeoutError, IncompleteError, ProtocolError):
            self.close()
            return False
        finally:
            self.busy = False

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.abort()
            self._sock = None
