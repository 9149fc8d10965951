"""Front end of the gateway: clients' connections, readiness and metrics."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from greengagehoist.deployment import DeploymentSnapshot, Limits
from greengagehoist.gateway import (
    STOPPING_RETRY_AFTER_S,
    BadKey,
    Exchange,
    InputsLost,
    MayHaveRun,
    NoRoute,
    NotRun,
    Proceed,
    Progress,
    Relayed,
    Reply,
    StreamBroken,
    StreamEnded,
    WireFormat,
    failure_reply,
)
from greengagehoist.gateway.front._listen import CLOSE, listen, write_answer
from greengagehoist.http1 import (
    LAST_CHUNK,
    Headers,
    IncompleteError,
    ProtocolError,
    Request,
    RequestReader,
    ResponseHead,
    SizeLimits,
    Socket,
    encode_chunk,
    encode_response_head,
    end_to_end,
)
from greengagehoist.utils import Clock, Published, log_event

# Delay before the close, in which a client can read the answer to a malformed request.
LINGER_S = 0.2
# Time for the final answers when the process ends.
END_TIMEOUT_S = 0.2


class ClientAnswer:
    """Writes a streamed answer to a client's connection."""

    def __init__(self, sock: Socket, keep_alive: bool, chunked: bool):
        self.sock = sock
        self.keep_alive = keep_alive
        self.chunked = chunked
        self.started = False

    def start(self, head: ResponseHead) -> None:
        """Send the status and headers."""
        self.started = True
        if not self.chunked:
            # Only a close ends the answer: one before its end, also by the end of this process, must
            # be a reset.
            self.sock.reset_on_close(True)
        framing = (b"Transfer-Encoding", b"chunked") if self.chunked else CLOSE
        extra = (framing,) if self.keep_alive or not self.chunked else (framing, CLOSE)
        headers = end_to_end(head.headers) + extra
        self.sock.write(encode_response_head(head.status, head.reason, headers))

    async def send(self, data: bytes) -> None:
        """Send bytes of the body and wait while the client's connection is congested."""
        self.sock.write(encode_chunk(data) if self.chunked else data)
        await self.sock.drain()

    def finish(self) -> None:
        """Send the end of the body."""
        if self.chunked:
            self.sock.write(LAST_CHUNK)
        else:
            self.sock.reset_on_close(False)


class _Connection(NamedTuple):
    """A client's connection.

    :param accepted_at: time on the boot clock, in seconds.
    :param answered: number of requests that have been answered on it.
    """

    sock: Socket
    accepted_at: float
    answered: int


class _Idle(NamedTuple):
    """A connection without a request in progress.

    :param reader: receives the next request.
    :param since: time on the boot clock at which it began to wait for it.
    """

    reader: RequestReader
    since: float

    def may_receive(self, now: float, arrival_s: float) -> bool:
        """Return whether a request may be on its way.

        :param arrival_s: seconds within which a request begins to arrive.
        """
        return self.reader.has_partial or now - self.since < arrival_s


class GatewayFront:
    """Accepts clients' connections and runs each request through the filter chain.

    Each connection belongs to one task, which serves its requests in sequence.

    :param observe: receives the outcome and the duration in seconds of each request.
    :param release: receives each request that holds memory when its answer has been sent.
    :ivar last_request_at: time of the newest request's arrival on the monotonic clock.
    """

    def __init__(
        self,
        chain: Proceed,
        wire: WireFormat,
        snapshot: Published[DeploymentSnapshot | None],
        clock: Clock,
        observe: Callable[[str, float], None],
        release: Callable[[Progress], None],
    ):
        self.chain = chain
        self.wire = wire
        self.snapshot = snapshot
        self.clock = clock
        self.observe = observe
        self.release = release
        self.in_flight = 0
        self.last_request_at = 0.0
        self._stopping_at: float | None = None
        self._chains: set[asyncio.Task] = set()
        self._idle: dict[Socket, _Idle] = {}
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> str:
        """Accept connections at ``host:port``.

        :raises OSError: if the address is not available.
        """
        self._server = await listen(self._accept, host, port)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    @property
    def _stopping(self) -> bool:
        return self._stopping_at is not None

    def begin_stop(self) -> None:
        """Start closing each connection after its next answer."""
        self._stopping_at = self.clock.monotonic()

    def close_idle(self, arrival_s: float) -> bool:
        """Close the connections on which no request can be on its way; returns whether some stay.

        :param arrival_s: seconds within which a request begins to arrive.
        """
        now, stay = self.clock.monotonic(), False
        for sock, idle in list(self._idle.items()):
            if idle.may_receive(now, arrival_s):
                stay = True
            else:
                sock.close()
        return stay

    async def end_requests(self) -> None:
        """Stop accepting and end the requests in progress with an answer that says why.

        Answers that have begun cannot be replaced; their connections are reset.
        """
        if self._server is not None:
            self._server.close()
        self._close_all_idle()
        for chain in self._chains:
            chain.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=END_TIMEOUT_S)

    async def stop(self) -> None:
        """Stop accepting and close all connections."""
        if self._server is not None:
            self._server.close()
        self._close_all_idle()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _close_all_idle(self) -> None:
        for sock in list(self._idle):
            sock.close()

    def _accept(self, sock: Socket) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _limits(self) -> SizeLimits:
        snapshot = self.snapshot.value
        limits = snapshot.deployment.limits if snapshot is not None else Limits()
        return SizeLimits(*limits)

    async def _serve(self, sock: Socket) -> None:
        reader = RequestReader(sock, self._limits)
        conn = _Connection(sock, self.clock.monotonic(), 0)
        try:
            keep = True
            while keep and not sock.gone.done():
                self._idle[sock] = _Idle(reader, self.clock.monotonic())
                try:
                    request = await reader.read()
                finally:
                    self._idle.pop(sock, None)
                if request is None:
                    return
                keep = await self._answer(conn, request)
                conn = conn._replace(answered=conn.answered + 1)
        except ProtocolError as exc:
            log_event("request_rejected", reason=str(exc), status=exc.status)
            self._write(sock, exc.status, (), b"", False)
            await asyncio.sleep(LINGER_S)
        except IncompleteError:
            pass
        finally:
            sock.close()

    async def _answer(self, conn: _Connection, request: Request) -> bool:
        """Answer one request; returns whether the connection stays open."""
        sock, arrived = conn.sock, self.clock.monotonic()
        self.in_flight += 1
        self.last_request_at = arrived
        progress = Progress()
        try:
            req = self.wire.read_request(request.head, request.body)
            if self._stopping:
                self._log_taken(conn, req.request_id, arrived)
            keep = request.head.keep_alive and not self._stopping
            sink = ClientAnswer(sock, keep, request.head.version == "1.1")
            exchange = Exchange(req, sink, arrived, progress)
            chain = asyncio.get_running_loop().create_task(self.chain(exchange))
            self._chains.add(chain)
            chain.add_done_callback(self._chains.discard)
            try:
                await asyncio.wait((chain, sock.gone), return_when=asyncio.FIRST_COMPLETED)
            except asyncio.CancelledError:
                self._log_end(exchange, "cut", "the process ends")
                raise
            finally:
                if not chain.done():
                    chain.cancel()
            if not chain.done():
                await asyncio.wait((chain,))
                self._log_end(exchange, "client_gone", "")
                return False
            reply = self._result(chain, exchange)
            keep = self._finish(sock, exchange, sink, reply, keep and not self._stopping)
            await sock.flush()
            return keep
        finally:
            self.in_flight -= 1
            if progress.reserved_bytes:
                self.release(progress)

    @staticmethod
    def _result(chain: asyncio.Task, exchange: Exchange) -> Reply:
        if chain.cancelled():
            return failure_reply(exchange.progress, "the process ends", STOPPING_RETRY_AFTER_S)
        exc = chain.exception()
        if exc is None:
            return chain.result()
        log_event("request_crashed", "ERROR", request=exchange.req.request_id, error=repr(exc))
        if exchange.sink.started:
            return StreamBroken(repr(exc))
        return MayHaveRun(repr(exc), False)

    def _finish(
        self, sock: Socket, exchange: Exchange, sink: ClientAnswer, reply: Reply, keep: bool
    ) -> bool:
        own_headers = self.wire.reply_headers(exchange)
        if sink.started and not isinstance(reply, StreamEnded | StreamBroken):
            # A stream that has started cannot be replaced by another answer.
            reply = StreamBroken(f"{type(reply).__name__} after the answer had started")
        match reply:
            case Relayed(head, body):
                write_answer(sock, head, body, keep)
                self._log_end(exchange, "relayed", "", head.status)
            case StreamEnded():
                sink.finish()
                keep = keep and sink.keep_alive and sink.chunked
                self._log_end(exchange, "streamed", "", 200)
            case StreamBroken(reason):
                sock.abort()
                keep = False
                self._log_end(exchange, "aborted", reason)
            case NotRun(reason, retry_after):
                retry = ((b"Retry-After", b"%.2f" % retry_after),)
                self._write(sock, 503, own_headers + retry, b"", keep)
                self._log_end(exchange, "not_run", reason, 503)
            case InputsLost():
                raise AssertionError("StageFilter did not handle the loss of stage results")
            case NoRoute():
                self._write(sock, 404, own_headers, b"", keep)
                self._log_end(exchange, "no_route", "", 404)
            case BadKey():
                self._write(sock, 401, own_headers, b"", keep)
                self._log_end(exchange, "bad_key", "", 401)
            case MayHaveRun(reason, timed_out):
                status = 504 if timed_out else 502
                self._write(sock, status, own_headers, b"", keep)
                self._log_end(exchange, "unknown", reason, status)
        return keep

    @staticmethod
    def _write(sock: Socket, status: int, headers: Headers, body: bytes, keep: bool) -> None:
        write_answer(sock, ResponseHead(status, b"", headers), body, keep)

    def _log_taken(self, conn: _Connection, request_id: str, now: float) -> None:
        log_event(
            "request_taken_in_stop",
            request=request_id,
            stopping_ms=round((now - self._stopping_at) * 1000),
            connection_ms=round((now - conn.accepted_at) * 1000),
            answered=conn.answered,
        )

    def _log_end(self, exchange: Exchange, outcome: str, reason: str, status: int = 0) -> None:
        took = self.clock.monotonic() - exchange.arrived
        self.observe(outcome, took)
        log_event(
            "request_ended",
            request=exchange.req.request_id,
            outcome=outcome,
            status=status or "",
            reason=reason,
            took_ms=round(took * 1000),
        )
