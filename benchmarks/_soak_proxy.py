"""Loopback TCP proxy that injects faults between a gateway and its platform or replicas."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass

CHUNK_BYTES = 65536


@dataclass(frozen=True, slots=True)
class Passing:
    """Forwards all bytes."""


@dataclass(frozen=True, slots=True)
class Delaying:
    """Forwards bytes after ``seconds``."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Resetting:
    """Resets new connections."""


@dataclass(frozen=True, slots=True)
class Silencing:
    """Accepts connections and discards all bytes in both directions."""


@dataclass(frozen=True, slots=True)
class OneWay:
    """Forwards the client's bytes and discards the server's."""


ProxyFault = Passing | Delaying | Resetting | Silencing | OneWay


class FaultProxy:
    """Forwards connections to ``target`` (``ip:port``) and applies the current fault."""

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self._faults: list[ProxyFault] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    @property
    def fault(self) -> ProxyFault:
        """The latest of the faults that are in force."""
        return self._faults[-1] if self._faults else Passing()

    def begin(self, fault: ProxyFault) -> None:
        """Put a fault in force, beside those that are."""
        self._faults.append(fault)

    def end(self, fault: ProxyFault) -> None:
        """End a fault; the others stay in force."""
        self._faults.remove(fault)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if isinstance(self.fault, Resetting):
            _reset(writer)
            return
        host, _, port = self.target.partition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        pair = {writer, upstream_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pump(reader, upstream_writer, False),
                self._pump(upstream_reader, writer, True),
            )
        finally:
            self._writers -= pair
            for item in pair:
                item.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, from_server: bool
    ) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while data := await reader.read(CHUNK_BYTES):
                match self.fault:
                    case Silencing():
                        continue
                    case OneWay() if from_server:
                        continue
                    case Delaying(seconds):
                        await asyncio.sleep(seconds)
                writer.write(data)
                await writer.drain()
            if not isinstance(self.fault, Silencing):
                writer.write_eof()
            return
        _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()
