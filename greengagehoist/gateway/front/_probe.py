"""Front end for the load balancer's readiness check and the metrics."""

import asyncio
from collections.abc import Callable

from greengagehoist.deployment import Limits
from greengagehoist.gateway.front._listen import listen, write_answer
from greengagehoist.http1 import (
    IncompleteError,
    ProtocolError,
    RequestReader,
    ResponseHead,
    SizeLimits,
    Socket,
)
from greengagehoist.utils import log_event


class ProbeFront:
    """Serves the load balancer's readiness check and the metrics.

    :param answers: functions by path that return the status and the body.
    """

    def __init__(self, answers: dict[bytes, Callable[[], tuple[int, bytes]]]):
        self.answers = answers
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, host: str, port: int) -> str:
        """Accept connections at ``host:port``.

        :raises OSError: if the address is not available.
        """
        server = await listen(self._accept, host, port)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def _accept(self, sock: Socket) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock: Socket) -> None:
        reader = RequestReader(sock, lambda: SizeLimits(*Limits()))
        keep = True
        try:
            while keep and (request := await reader.read()) is not None:
                found = self.answers.get(request.head.target.partition(b"?")[0])
                status, body = found() if found is not None else (404, b"")
                keep = request.head.keep_alive
                head = ResponseHead(status, b"", ((b"Content-Type", b"text/plain"),))
                write_answer(sock, head, body, keep)
        except (ProtocolError, IncompleteError) as exc:
            log_event("probe_rejected", reason=str(exc))
        finally:
            sock.close()

    async def stop(self) -> None:
        """Stop accepting and close all connections."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
