"""Serves ASGI applications inside the running event loop."""

import asyncio
import contextlib
import socket
from functools import partial
from typing import Any, NamedTuple

import uvicorn

from greengagehoist.server._protocol import HeaderLimitProtocol, ListenerGuard, TlsProtocol
from greengagehoist.utils import SystemClock, TlsFiles, server_context

NO_TLS = TlsFiles()
# Idle connections are closed after this time.
KEEP_ALIVE_S = 30
BACKLOG = 1024


class Listener(NamedTuple):
    """A running HTTP server.

    :param address: ``ip:port`` on which the server listens.
    :param task: server task; it ends when the server has stopped.
    """

    address: str
    server: uvicorn.Server
    task: asyncio.Task
    guard: ListenerGuard

    async def stop(self, limit: float | None = None) -> None:
        """Stop accepting connections and wait for running requests to finish.

        :param limit: seconds after which the remaining connections are aborted, None for never.
        """
        self.server.should_exit = True
        self.guard.abort_handshakes()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit):
                await asyncio.shield(self.task)
        self.server.force_exit = True
        for connection in list(self.server.server_state.connections):
            connection.transport.abort()
        await self.task


def bind(host: str, port: int) -> socket.socket:
    """Return a listening TCP socket.

    :raises OSError: if the address is not available.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host.strip("[]"), port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


async def serve(
    app: Any,
    host: str,
    port: int,
    *,
    shutdown_s: float | None = None,
    tls: TlsFiles = NO_TLS,
) -> Listener:
    """Serve ``app`` on ``host:port``.

    :param shutdown_s: seconds for which a stop waits for running requests, None for no limit.
    :param tls: certificate and key of the listener; plain HTTP if empty.
    :raises OSError: if the address is not available.
    """
    sock = bind(host, port)
    address = f"{host}:{sock.getsockname()[1]}"
    guard, context = ListenerGuard(SystemClock()), server_context(tls, require_client=False)
    protocol = partial(HeaderLimitProtocol, guard=guard)
    if context is not None:
        protocol = partial(TlsProtocol, guard=guard, context=context)
    cfg = uvicorn.Config(
        app,
        log_level="critical",
        access_log=False,
        lifespan="off",
        http=protocol,
        loop="asyncio",
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=shutdown_s,
    )
    server = _EmbeddedServer(cfg)
    task = asyncio.get_running_loop().create_task(server.serve(sockets=[sock]))
    return Listener(address, server, task, guard)


class _EmbeddedServer(uvicorn.Server):
    """A server that leaves signal handling to its host process."""

    def capture_signals(self):
        """Return a context that installs no signal handlers."""
        return contextlib.nullcontext()
