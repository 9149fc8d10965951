"""Proxies on loopback that limit the bytes a second of a daemon's links."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

READ_BYTES = 2048


class SlowLink:
    """Link of one VM: all its connections share its rate, each direction apart.

    :param bytes_per_s: rate in each direction.
    """

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        self.passed = 0
        self._free_at = {"in": 0.0, "out": 0.0}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()

    def listen(self, target: Callable[[], tuple[str, int]]) -> str:
        """Bind a port that forwards to ``target`` and return its ``ip:port``."""
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen(64)
        self._start(self._serve(sock, target))
        return f"127.0.0.1:{sock.getsockname()[1]}"

    async def stop(self) -> None:
        """Close all connections and ports."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, coro) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _serve(self, sock: socket.socket, target) -> None:
        async def accept(reader, writer):
            self._start(self._connect(reader, writer, target))

        self._servers.append(await asyncio.start_server(accept, sock=sock, limit=2 * READ_BYTES))

    async def _connect(self, reader, writer, target) -> None:
        far_writer = None
        try:
            host, port = target()
            far_reader, far_writer = await asyncio.open_connection(host, port, limit=2 * READ_BYTES)
            copies = [
                self._start(self._copy(reader, far_writer, "out")),
                self._start(self._copy(far_reader, writer, "in")),
            ]
            _, pending = await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            for task in pending:
                task.cancel()
        except OSError:
            pass
        finally:
            writer.transport.abort()
            if far_writer is not None:
                far_writer.transport.abort()

    async def _copy(self, reader, writer, direction: str) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                self.passed += len(data)
                begin = max(loop.time(), self._free_at[direction])
                self._free_at[direction] = begin + len(data) / self.bytes_per_s
                await asyncio.sleep(self._free_at[direction] - loop.time())
                writer.write(data)
                await writer.drain()
