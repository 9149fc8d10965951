"""Front end for the load balancer's readiness check and the metrics."""

import asyncio
from collections.abc import Callable

from greengagehoist.gateway import DEFAULT_MAX_FDS, ClientLimits, divide_descriptors
from greengagehoist.gateway.front._listen import PROBE_BACKLOG, listen, write_answer
from greengagehoist.http1 import (
    ConnectionTable,
    IncompleteError,
    ProtocolError,
    Refused,
    Replacing,
    RequestReader,
    ResponseHead,
    SizeLimits,
    Socket,
)
from greengagehoist.utils import Clock, EventLimiter

# Probes have no body.
LIMITS = SizeLimits(header_bytes=8192, body_bytes=0, header_timeout_s=3.0, idle_timeout_s=15.0)
MAX_CONNECTIONS = divide_descriptors(DEFAULT_MAX_FDS, ClientLimits()).probes


class ProbeFront:
    """Serves the load balancer's readiness check and the metrics.

    :param answers: functions by path that return the status and the body.
    :param connections: most open connections; the oldest one is closed for a new one.
    """

    def __init__(
        self,
        answers: dict[bytes, Callable[[], tuple[int, bytes]]],
        clock: Clock,
        connections: int = MAX_CONNECTIONS,
    ):
        self.answers = answers
        self.refused = 0
        self._log = EventLimiter(clock)
        self._table: ConnectionTable[Socket] = ConnectionTable(
            connections, 0, lambda sock: not sock.has_unread
        )
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, host: str, port: int) -> str:
        """Accept connections at ``host:port``.

        :raises OSError: if the address is not available.
        """
        server = await listen(self._accept, host, port, PROBE_BACKLOG)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def _accept(self, sock: Socket) -> None:
        match self._table.admit(sock.peer_address):
            case Refused(reason):
                self._refuse(sock, reason)
                return
            case Replacing(other):
                self._refuse(other, "connections")
                self._table.remove(other)
        self._table.add(sock, sock.peer_address)
        task = asyncio.get_running_loop().create_task(self._serve(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _refuse(self, sock: Socket, reason: str) -> None:
        self.refused += 1
        self._log.log("probe_connection_closed", reason=reason, connections=len(self._table))
        sock.abort()

    async def _serve(self, sock: Socket) -> None:
        reader = RequestReader(sock, lambda: LIMITS)
        keep = True
        try:
            while keep and (request := await reader.read()) is not None:
                found = self.answers.get(request.head.target.partition(b"?")[0])
                status, body = found() if found is not None else (404, b"")
                keep = request.head.keep_alive
                head = ResponseHead(status, b"", ((b"Content-Type", b"text/plain"),))
                write_answer(sock, head, body, keep)
                await sock.flush()
                # Pipelined requests do not hold up the clients.
                await asyncio.sleep(0)
        except (ProtocolError, IncompleteError) as exc:
            self._log.log("probe_rejected", reason=str(exc))
        finally:
            self._table.remove(sock)
            sock.close()

    async def stop(self) -> None:
        """Stop accepting and close all connections."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
