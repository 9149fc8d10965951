"""Stand-ins of the replicas around the gateway, and what stand-ins that speak HTTP share."""

import asyncio
import contextlib
from typing import Any
from weakref import WeakKeyDictionary

import msgspec

from greengagehoist.gateway.front import listen
from greengagehoist.http1 import (
    LAST_CHUNK,
    IncompleteError,
    ProtocolError,
    Request,
    RequestReader,
    SizeLimits,
    Socket,
    encode_chunk,
    encode_response_head,
    get_header,
)
from greengagehoist.standins._gateway_behaviours import (
    Behaviour,
    BreaksOff,
    CrashesOn,
    CrashesOnBody,
    Endless,
    EndsStream,
    Full,
    Healthy,
    LosesAnswers,
    MakesNothing,
    MixesUp,
    Repeats,
    Sheds,
    Silent,
    Writes,
)

LIMITS = SizeLimits(65536, 8_000_000, 5.0, 30.0)
REQUEST_ID = b"X-Greengagehoist-Request-Id"
STAMP = b"X-Greengagehoist-Server-Stamp"
NOT_EXECUTED = b"X-Greengagehoist-Not-Executed"
SERVER_LEAVING = b"Server-Leaving"
RETRY_AFTER = b"Retry-After"
SERVER_LIMIT = b"Server-Limit"
LOAD_REPORT = b"X-Greengagehoist-Load-Report"
COLD_MS = b"X-Greengagehoist-Cold-Ms"
PREFIX_HASH = b"X-Greengagehoist-Prefix-Hash"
CHUNKED = (b"Transfer-Encoding", b"chunked")


# Bytes that an endless response writes at once at full speed.
ENDLESS_BLOCK_BYTES = 64 * 1024


class HttpStandin:
    """HTTP server on loopback that handles one request at a time per connection.

    :ivar connections: number of connections that it has accepted.
    """

    def __init__(self):
        self.address = ""
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port, by default on any free one."""
        self._server = await listen(self._accept, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Reset all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, sock: Socket) -> None:
        self.connections += 1
        task = asyncio.get_running_loop().create_task(self._serve(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock: Socket) -> None:
        reader = RequestReader(sock, lambda: LIMITS)
        try:
            while (request := await reader.read()) is not None:
                await self.handle_request(sock, request)
        except (ProtocolError, IncompleteError):
            sock.abort()
        finally:
            sock.abort()

    async def handle_request(self, sock: Socket, request: Request) -> None:
        """Handle one request and write its response."""
        raise NotImplementedError


async def send_endless(sock: Socket, behaviour: Endless, request_id: bytes = b"") -> int:
    """Write bytes until the peer closes the connection; returns the number of bytes."""
    sent = len(behaviour.beginning)
    sock.write(behaviour.beginning.replace(b"{id}", request_id))
    block = behaviour.repeated
    if not behaviour.pause_s:
        block *= max(1, ENDLESS_BLOCK_BYTES // len(block))
    while not sock.gone.done():
        await asyncio.sleep(behaviour.pause_s)
        sock.write(block)
        sent += len(block)
        await sock.drain()
    return sent


def event(number: int) -> bytes:
    """Return an event of a stand-in's stream."""
    return b"id: %d\ndata: e%d\n\n" % (number, number)


def _resumes(request: Request) -> bool:
    return get_header(request.head.headers, b"last-event-id") is not None


def send_response(sock: Socket, status: int, headers: tuple, body: bytes) -> None:
    """Send a response with a Content-Length."""
    framed = (*headers, (b"Content-Length", b"%d" % len(body)))
    sock.write(encode_response_head(status, b"", framed) + body)


class ReplicaStandin(HttpStandin):
    """A replica of a plain service, an engine or a stage pool.

    :ivar events: number of events of a complete stream.
    :ivar pause_s: seconds before a response, or after each event of a stream.
    :ivar prefill_s: seconds from a request to the response head of its stream.
    :ivar ran: ids of the requests that were run, in order.
    :ivar requests: all requests received, except stage calls.
    :ivar stage_results: item of the stage call (stage, piece and inputs) by handle.
    :ivar freed: handles that the gateway has freed.
    :ivar calls: number of items in each stage call.
    :ivar endless_bytes: number of bytes of each endless response.
    :ivar crashes: times on the event loop's clock at which it ended by a request.
    :ivar born: start of its incarnation in its list entry.
    :ivar leaving: whether its answers say that it is leaving.
    :ivar arrived_at: times on the event loop's clock at which requests and stage calls reached it.
    :ivar received: time on the event loop's clock and id of each request, except stage calls.
    :ivar limit: limit that its answers name, None for none.
    :ivar load_report: load report of its answers, None for none.
    :ivar cold_ms: cold period that its list entry states, None for none.
    :ivar cold_header: cold period that its answers state, None for none.
    :ivar padding: bytes at the end of each plain answer.
    """

    def __init__(self, replica_id: str, service: str, zone: str, kind: str = "plain"):
        super().__init__()
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.kind = kind
        self.behaviour: Behaviour = Healthy()
        self.events = 5
        self.pause_s = 0.0
        self.prefill_s = 0.0
        self.ran: list[str] = []
        self.requests: list[Request] = []
        self.stage_results: dict[str, dict[str, Any]] = {}
        self.freed: list[str] = []
        self.calls: list[int] = []
        self.endless_bytes: list[int] = []
        self.crashes: list[float] = []
        self.leaving = False
        self.born = 1
        self.arrived_at: list[float] = []
        self.received: list[tuple[float, str]] = []
        self.limit: bytes | None = None
        self.load_report: bytes | None = None
        self.cold_ms: Any = None
        self.cold_header: bytes | None = None
        self.padding = b""
        self._restart: asyncio.Task | None = None
        # Last response to a stage call on each connection.
        self._stage_responses: WeakKeyDictionary[Socket, bytes] = WeakKeyDictionary()

    @property
    def arrivals(self) -> int:
        """Number of requests and stage calls that have reached it."""
        return len(self.arrived_at)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the replica's row value for the store's list of replicas."""
        cold = {} if self.cold_ms is None else {"cold_remaining_ms": self.cold_ms}
        return cold | {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "born": self.born,
            "sequence": 1,
        }

    async def handle_request(self, sock: Socket, request: Request) -> None:
        """Handle a stage run, a stage free or any other request."""
        target = request.head.target
        if not target.endswith(b"/stage-free"):
            self.arrived_at.append(asyncio.get_running_loop().time())
        if target.endswith(b"/stage-run"):
            await self._run_stage(sock, request)
        elif target.endswith(b"/stage-free"):
            self.freed.extend(msgspec.json.decode(request.body)["handles"])
            send_response(sock, 200, (), b"{}")
        else:
            await self._run(sock, request)

    async def _run(self, sock: Socket, request: Request) -> None:
        self.requests.append(request)
        request_id = get_header(request.head.headers, REQUEST_ID.lower())
        self.received.append((asyncio.get_running_loop().time(), request_id.decode()))
        match self.behaviour:
            case Full():
                headers = ((REQUEST_ID, request_id), (NOT_EXECUTED, b"1"))
                send_response(sock, 503, headers + self._state_headers(), b"")
                return
            case Sheds(retry_after):
                headers = (REQUEST_ID, request_id), (NOT_EXECUTED, b"1"), (RETRY_AFTER, retry_after)
                send_response(sock, 503, (*headers, *self._state_headers()), b"")
                return
            case Silent():
                self.ran.append(request_id.decode())
                await sock.gone
                return
            case LosesAnswers():
                self.ran.append(request_id.decode())
                sock.abort()
                return
            case MixesUp():
                self.ran.append(request_id.decode())
                send_response(sock, 200, ((REQUEST_ID, b"other"), (STAMP, b"s")), b"other")
                return
            case Writes(response, after) if after is None or _resumes(request):
                self.ran.append(request_id.decode())
                sock.write(response.replace(b"{id}", request_id))
                sock.close()
                return
            case Endless():
                self.ran.append(request_id.decode())
                sent = await send_endless(sock, self.behaviour, request_id)
                self.endless_bytes.append(sent)
                return
        self.ran.append(request_id.decode())
        match self.behaviour:
            case CrashesOnBody(body, down_s) if request.body == body:
                self._restart = asyncio.create_task(self._crash(down_s))
                await sock.gone
                return
        headers = ((REQUEST_ID, request_id), (STAMP, self.replica_id.encode()))
        headers += self._state_headers()
        if self.kind == "engine":
            await self._stream(sock, request, headers)
        else:
            await asyncio.sleep(self.pause_s)
            send_response(sock, 200, headers, b"done " + request.body + self.padding)

    def _state_headers(self) -> tuple:
        leaving = ((SERVER_LEAVING, b"1"),) if self.leaving else ()
        stated = (
            (COLD_MS, self.cold_header),
            (SERVER_LIMIT, self.limit),
            (LOAD_REPORT, self.load_report),
        )
        return leaving + tuple(item for item in stated if item[1] is not None)

    async def _stream(self, sock: Socket, request: Request, headers: tuple) -> None:
        last = get_header(request.head.headers, b"last-event-id")
        first = int(last) + 1 if last is not None else 0
        await asyncio.sleep(self.prefill_s)
        match self.behaviour:
            case EndsStream():
                self._end_stream_at(sock, headers, first)
                return
            case CrashesOn(part_id, down_s):
                prompt = get_header(request.head.headers, PREFIX_HASH.lower()) or b""
                if part_id in [part.partition(b":")[0] for part in prompt.split(b",")]:
                    sock.write(encode_response_head(200, b"", (*headers, CHUNKED)))
                    self._restart = asyncio.create_task(self._crash(down_s))
                    await sock.gone
                    return
        coding = (CHUNKED, (b"Content-Type", b"text/event-stream"))
        sock.write(encode_response_head(200, b"", headers + coding))
        for number in range(first, self.events):
            match self.behaviour:
                case BreaksOff(after) if number - first >= after:
                    sock.write(encode_chunk(b"id: %d\nda" % number))
                    await asyncio.sleep(0.02)
                    sock.abort()
                    return
            sock.write(encode_chunk(event(number)))
            await asyncio.sleep(self.pause_s)
            match self.behaviour:
                case Writes(_, after) if number + 1 == after:
                    # The reset would discard events that have not been sent.
                    await asyncio.sleep(0.02)
                    sock.abort()
                    return
        sock.write(LAST_CHUNK)

    async def _crash(self, down_s: float) -> None:
        self.crashes.append(asyncio.get_running_loop().time())
        await HttpStandin.stop(self)
        port = int(self.address.rpartition(":")[2])
        while True:
            await asyncio.sleep(down_s)
            # An outgoing connection of another process may have taken the port meanwhile.
            with contextlib.suppress(OSError):
                await self.start(port)
                return

    async def stop(self) -> None:
        """Reset all connections, stop listening and do not start again."""
        if self._restart is not None:
            self._restart.cancel()
        await super().stop()

    def _end_stream_at(self, sock: Socket, headers: tuple, first: int) -> None:
        behaviour = self.behaviour
        body = b"".join(event(number) for number in range(first, self.events))
        body = body[: behaviour.after_bytes]
        headers = (*headers, (b"Content-Type", b"text/event-stream"))
        if behaviour.chunked:
            headers = (*headers, CHUNKED)
            body = (encode_chunk(body) if body else b"") + LAST_CHUNK
        sock.write(encode_response_head(200, b"", headers) + body)
        sock.close()

    async def _run_stage(self, sock: Socket, request: Request) -> None:
        items = msgspec.json.decode(request.body)["items"]
        self.calls.append(len(items))
        earlier = self._stage_responses.get(sock)
        if isinstance(self.behaviour, Repeats) and earlier is not None:
            sock.write(earlier)
        match self.behaviour:
            case Full():
                headers = ((NOT_EXECUTED, b"1"), *self._state_headers())
                self._send_stage_response(sock, 503, headers, b"")
                return
            case Sheds(retry_after):
                headers = ((NOT_EXECUTED, b"1"), (RETRY_AFTER, retry_after))
                headers += self._state_headers()
                self._send_stage_response(sock, 503, headers, b"")
                return
            case Silent():
                await sock.gone
                return
            case Endless():
                self.endless_bytes.append(await send_endless(sock, self.behaviour))
                return
            case MakesNothing(reason):
                results = [{"reason": reason} for _ in items]
                self._send_stage_response(sock, 200, (), msgspec.json.encode({"items": results}))
                return
        await asyncio.sleep(self.pause_s)
        results = []
        for item in items:
            handle = f"{self.address}/{len(self.stage_results)}"
            self.stage_results[handle] = item
            results.append({"handle": handle})
        body = msgspec.json.encode({"items": results})
        self._send_stage_response(sock, 200, self._state_headers(), body)

    def _send_stage_response(self, sock: Socket, status: int, headers: tuple, body: bytes) -> None:
        framed = (*headers, (b"Content-Length", b"%d" % len(body)))
        response = encode_response_head(status, b"", framed) + body
        self._stage_responses[sock] = response
        sock.write(response)
