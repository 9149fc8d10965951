"""Calls to the replicas of stage pools: batches of pieces, and the freeing of results."""

import asyncio
from typing import NamedTuple

from greengagehoist.gateway import MISDIRECTED, ReplicaReply, WireFormat
from greengagehoist.gateway.controllers._kept_connection import KeptConnection
from greengagehoist.http1 import IncompleteError, ProtocolError
from greengagehoist.pieces import Made, Piece, PieceOutcome
from greengagehoist.replicas import Load, Replica, SendLimit
from greengagehoist.utils import Clock, Controller, Published, log_event

# Timeout of a call as a multiple of its expected duration, long enough for slow replicas.
TIMEOUT_FACTOR = 8.0
MIN_TIMEOUT_S = 1.5
FREE_TIMEOUT_S = 1.0
# Failure of a call that was not sent, because the replica's data centre was evacuated meanwhile.
WITHHELD = "withheld"


class BatchEnded(NamedTuple):
    """End of a call at a replica of a pool.

    :param outcomes: outcome of each piece, or None if the call failed.
    :param failure: ``""``, ``unreachable``, ``rejected``, ``lost`` or ``withheld``.
    :param leaving: whether the replica states that it is shutting down.
    :param pause_s: seconds for which it wants no calls, None if it does not say.
    :param limit: what its answer says about its limit, None without an answer of this replica.
    :param sent_at: time at which the call was sent.
    :param cold_s: seconds for which the replica states to be cold, None if it states nothing.
    """

    replica_id: str
    pieces: tuple[Piece, ...]
    outcomes: tuple[PieceOutcome, ...] | None
    failure: str
    duration_s: float
    load: Load | None = None
    leaving: bool = False
    pause_s: float | None = None
    limit: SendLimit | None = None
    sent_at: float = 0.0
    cold_s: float | None = None


class PoolWorker:
    """Sends one call at a time to a replica of a stage pool.

    :param owner: receives :class:`BatchEnded`.
    :param evacuated: published data centres whose replicas get no calls.
    """

    def __init__(
        self,
        replica: Replica,
        wire: WireFormat,
        clock: Clock,
        owner: Controller,
        evacuated: Published[frozenset[str]] | None = None,
    ):
        self.evacuated = evacuated or Published(frozenset())
        self.replica = replica
        self.wire = wire
        self.clock = clock
        self.owner = owner
        self._connection = KeptConnection(replica.host, replica.port, clock)

    async def run_batch(self, pieces: tuple[Piece, ...], expected_s: float) -> None:
        """Send a call and report its end to the owner."""
        started = self.clock.monotonic()
        timeout = max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * expected_s)
        outcomes, reply, failure = None, None, "lost"
        sent_at, status = started, 0
        try:
            await self._connection.open()
            sent_at = self.clock.monotonic()
            if self.replica.zone in self.evacuated.value:
                failure = WITHHELD
                return
            async with asyncio.timeout(timeout):
                outcomes, reply, status = await self._call(pieces)
            failure = "" if outcomes is not None else "rejected"
        except ConnectionRefusedError:
            failure = "unreachable"
        except (TimeoutError, OSError):
            failure = "lost" if self._connection.is_open else "unreachable"
        except IncompleteError:
            failure = "lost"
        except (ProtocolError, ValueError) as exc:
            failure = "lost"
            log_event(
                "response_invalid", "WARNING", replica=self.replica.replica_id, reason=str(exc)
            )
        finally:
            if failure in ("lost", "unreachable"):
                self.close()
            duration = self.clock.monotonic() - started
            end = BatchEnded(self.replica.replica_id, pieces, outcomes, failure, duration)
            if reply is not None:
                end = end._replace(load=reply.load, leaving=reply.leaving, pause_s=reply.pause_s)
                if status != MISDIRECTED:
                    end = end._replace(limit=reply.limit, sent_at=sent_at, cold_s=reply.cold_s)
            self.owner.tell(end)

    async def _call(
        self, pieces: tuple[Piece, ...]
    ) -> tuple[tuple[PieceOutcome, ...] | None, ReplicaReply, int]:
        head, body = await self._connection.call(self.wire.stage_call(self.replica, pieces))
        reply = self.wire.read_reply(head)
        outcomes = None
        if head.status == 200:
            outcomes = self.wire.read_pieces(body, len(pieces))
        made = tuple(item.handle for item in outcomes or () if isinstance(item, Made))
        self._connection.check_handles(made)
        return outcomes, reply, head.status

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class ResultFreer:
    """Frees results at one replica of a stage pool over a persistent connection."""

    def __init__(self, host: str, port: int, wire: WireFormat, clock: Clock):
        self.address = f"{host}:{port}"
        self.wire = wire
        self._connection = KeptConnection(host, port, clock)
        self.busy = False

    async def free(self, handles: tuple[str, ...]) -> bool:
        """Free results; returns False if the replica did not confirm it."""
        self.busy = True
        try:
            async with asyncio.timeout(FREE_TIMEOUT_S):
                await self._connection.open()
                head, _ = await self._connection.call(self.wire.free_call(self.address, handles))
            return head.status == 200
        except (OSError, TimeoutError, IncompleteError, ProtocolError):
            self.close()
            return False
        finally:
            self.busy = False

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()
