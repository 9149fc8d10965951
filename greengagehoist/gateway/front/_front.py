"""Front end of the gateway: clients' connections, readiness and metrics."""

import asyncio
from collections.abc import Callable

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
from greengagehoist.gateway.front._client import Client, ClientSettings
from greengagehoist.gateway.front._listen import CLOSE, linger, listen, write_answer
from greengagehoist.http1 import (
    LAST_CHUNK,
    ConnectionTable,
    Headers,
    IncompleteError,
    ProtocolError,
    Refused,
    Replacing,
    Request,
    ResponseHead,
    SizeLimits,
    Socket,
    encode_chunk,
    encode_response_head,
    end_to_end,
)
from greengagehoist.memory import MarkUnsent, ReleaseMemory, SmallBodies
from greengagehoist.utils import Clock, Controller, EventLimiter, Published, log_event

# Delay before the close, in which a client can read the answer to a malformed request.
LINGER_S = 0.2
# Time for the final answers when the process ends.
END_TIMEOUT_S = 0.2
OVERLOAD_RETRY_AFTER_S = 1.0


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


class GatewayFront:
    """Accepts clients' connections and runs each request through the filter chain.

    Each connection belongs to one task, which serves its requests in sequence.

    :param observe: receives the outcome and the duration in seconds of each request.
    :param observe_refusal: receives the reason for which a connection or request is refused.
    :param memory: account of the memory that requests and answers take.
    :param settings: limits on what clients take together.
    :ivar last_request_at: time of the newest request's arrival on the monotonic clock.
    """

    def __init__(
        self,
        chain: Proceed,
        wire: WireFormat,
        snapshot: Published[DeploymentSnapshot | None],
        clock: Clock,
        observe: Callable[[str, float], None],
        observe_refusal: Callable[[str], None],
        memory: Controller,
        settings: ClientSettings,
    ):
        self.chain = chain
        self.wire = wire
        self.snapshot = snapshot
        self.clock = clock
        self.observe = observe
        self.observe_refusal = observe_refusal
        self.memory = memory
        self.settings = settings
        self.in_flight = 0
        self.last_request_at = 0.0
        self._stopping_at: float | None = None
        self._chains: set[asyncio.Task] = set()
        self._table: ConnectionTable[Client] = ConnectionTable(
            settings.connections, settings.connections_per_address, Client.is_silent
        )
        self._small = SmallBodies(settings.small_bytes)
        self._log = EventLimiter(clock)
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
    def small_bytes(self) -> int:
        """Memory of requests that are not in the account."""
        return self._small.held

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
        for client in self._table.waiting():
            if client.may_receive(now, arrival_s):
                stay = True
            else:
                client.sock.close()
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
        for client in self._table.waiting():
            client.sock.close()

    def _accept(self, sock: Socket) -> None:
        match self._table.admit(sock.peer_address):
            case Refused(reason):
                self._observe_refusal(reason, sock.peer_address)
                sock.abort()
                return
            case Replacing(other):
                self._observe_refusal("connections", other.sock.peer_address)
                self._table.remove(other)
                other.give_way()
        client = Client(sock, self._limits, self.memory, self._small, self.clock.monotonic())
        self._table.add(client, sock.peer_address)
        task = asyncio.get_running_loop().create_task(self._serve(client))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _limits(self) -> SizeLimits:
        snapshot = self.snapshot.value
        limits = snapshot.deployment.limits if snapshot is not None else Limits()
        return SizeLimits(*limits, self.settings.body_rate, self.settings.body_grace_s)

    def _observe_refusal(self, reason: str, address: str) -> None:
        self.observe_refusal(reason)
        fields = {"reason": reason, "client": address, "open": len(self._table)}
        self._log.log("connection_refused", kind=reason, **fields)

    async def _serve(self, client: Client) -> None:
        sock = client.sock
        try:
            keep = True
            while keep and not sock.gone.done():
                client.idle_since = self.clock.monotonic()
                self._table.set_idle(client)
                try:
                    request = await client.reader.read()
                finally:
                    self._table.set_busy(client)
                if request is None:
                    return
                client.space.keep()
                keep = await self._answer(client, request)
                # The body must not stay in memory while the connection is idle.
                request = None
                client.space.release()
                client.answered += 1
        except ProtocolError as exc:
            await self._reject(client, exc)
        except IncompleteError:
            pass
        finally:
            self._table.remove(client)
            client.space.release()
            sock.close()

    async def _reject(self, client: Client, exc: ProtocolError) -> None:
        """Answer a request that cannot be read, and end its connection."""
        client.reader.discard()
        client.space.release()
        self.observe_refusal(f"status_{exc.status}")
        self._log.log("request_rejected", kind=exc.status, reason=str(exc), status=exc.status)
        headers = ()
        if exc.retry_after_s is not None:
            headers = ((b"Retry-After", b"%.2f" % exc.retry_after_s),)
        self._write(client.sock, exc.status, headers, b"", False)
        await linger(client.sock, LINGER_S)

    async def _answer(self, client: Client, request: Request) -> bool:
        """Answer one request; returns whether the connection stays open."""
        sock, arrived = client.sock, self.clock.monotonic()
        self.in_flight += 1
        self.last_request_at = arrived
        progress = Progress()
        try:
            req = self.wire.read_request(request.head, request.body)
            if self._stopping:
                self._log_taken(client, req.request_id, arrived)
            keep = request.head.keep_alive and not self._stopping
            sink = ClientAnswer(sock, keep, request.head.version == "1.1")
            exchange = Exchange(req, sink, arrived, progress)
            chain = asyncio.get_running_loop().create_task(self._run(exchange))
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
            if sock.has_unsent and progress.reserved_bytes:
                self.memory.tell(MarkUnsent(progress, lambda: _abort_unsent(sock, progress)))
            await sock.flush()
            return keep
        finally:
            self.in_flight -= 1
            if progress.reserved_bytes:
                progress.reserved_bytes = 0
                self.memory.tell(ReleaseMemory(progress))

    async def _run(self, exchange: Exchange) -> Reply:
        if self.in_flight > self.settings.in_progress:
            self._observe_refusal("requests_in_progress", "")
            return NotRun("too many requests in progress", OVERLOAD_RETRY_AFTER_S)
        return await self.chain(exchange)

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

    def _log_taken(self, client: Client, request_id: str, now: float) -> None:
        log_event(
            "request_taken_in_stop",
            request=request_id,
            stopping_ms=round((now - self._stopping_at) * 1000),
            connection_ms=round((now - client.accepted_at) * 1000),
            answered=client.answered,
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


def _abort_unsent(sock: Socket, progress: Progress) -> None:
    """Reset a connection whose answer still holds memory."""
    if progress.reserved_bytes:
        sock.abort()
