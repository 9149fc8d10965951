"""Stand-ins of the prepared platform: its store and the replicas of a deployment."""

import asyncio
import base64
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

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

LIMITS = SizeLimits(65536, 8_000_000, 5.0, 30.0)
REQUEST_ID = b"X-Greengagehoist-Request-Id"
STAMP = b"X-Greengagehoist-Server-Stamp"
NOT_EXECUTED = b"X-Greengagehoist-Not-Executed"


@dataclass(frozen=True, slots=True)
class Healthy:
    """Answers every request."""


@dataclass(frozen=True, slots=True)
class Full:
    """Rejects every request as not executed."""


@dataclass(frozen=True, slots=True)
class LosesAnswers:
    """Runs requests and resets their connections."""


@dataclass(frozen=True, slots=True)
class BreaksOff:
    """Resets its streams after some events.

    :param after: number of whole events before the reset.
    """

    after: int


@dataclass(frozen=True, slots=True)
class MixesUp:
    """Answers with the id of another request."""


@dataclass(frozen=True, slots=True)
class Silent:
    """Takes requests and never answers."""


Behaviour = Healthy | Full | LosesAnswers | BreaksOff | MixesUp | Silent


class HttpStandin:
    """Serves requests on loopback, one at a time on each connection."""

    def __init__(self):
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await listen(self._accept, "127.0.0.1", 0)
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
        task = asyncio.get_running_loop().create_task(self._serve(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock: Socket) -> None:
        reader = RequestReader(sock, lambda: LIMITS)
        try:
            while (request := await reader.read()) is not None:
                await self.answer(sock, request)
        except (ProtocolError, IncompleteError):
            sock.abort()
        finally:
            sock.abort()

    async def answer(self, sock: Socket, request: Request) -> None:
        """Answer one request."""
        raise NotImplementedError


def send(sock: Socket, status: int, headers: tuple, body: bytes) -> None:
    """Send an answer with a length."""
    framed = (*headers, (b"Content-Length", b"%d" % len(body)))
    sock.write(encode_response_head(status, b"", framed) + body)


class StoreStandin(HttpStandin):
    """Rows of the platform's store, with transactions under a condition.

    :ivar available: whether calls are served; otherwise they get 503.
    """

    def __init__(self):
        super().__init__()
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.version = 0
        self.available = True

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a replica does."""
        self.version += 1
        self.rows[table, key] = (msgspec.json.encode(value), self.version)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self.rows.pop((table, key), None)

    async def answer(self, sock: Socket, request: Request) -> None:
        """Answer a call of the store."""
        if not self.available:
            send(sock, 503, (), b"{}")
            return
        path, _, query = request.head.target.decode().partition("?")
        if path.endswith("/rows-get"):
            status, body = 200, self._get(parse_qs(query))
        else:
            status, body = self._transact(msgspec.json.decode(request.body))
        body |= {"ver": self.version, "now_ms": 1000}
        send(sock, status, (), msgspec.json.encode(body))

    def _get(self, query: dict[str, list[str]]) -> dict[str, Any]:
        table, start = query["table"][0], query.get("from", [""])[0]
        end, limit = query.get("target", ["\U0010ffff"])[0], int(query["limit"][0])
        keys = sorted(key for name, key in self.rows if name == table and start <= key < end)
        rows = [self._row(table, key) for key in keys[:limit]]
        return {"rows": rows, "has_more": len(keys) > limit}

    def _row(self, table: str, key: str) -> dict[str, Any]:
        value, version = self.rows[table, key]
        encoded = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "value": encoded, "ver": version}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        held = [(item["table"], item["key"]) for item in body["expected_revision"]]
        wanted = [item["ver"] for item in body["expected_revision"]]
        if [self.rows.get(item, (b"", 0))[1] for item in held] != wanted:
            return 412, {"rows": [self._row(*item) for item in held if item in self.rows]}
        self.version += 1
        for item in body["writes"]:
            value = base64.b64decode(item["value"])
            self.rows[item["table"], item["key"]] = (value, self.version)
        for item in body["remove"]:
            self.rows.pop((item["table"], item["key"]), None)
        return 200, {}


class ReplicaStandin(HttpStandin):
    """A replica of a plain service, an engine or a stage pool.

    :ivar ran: ids of the requests that it has run, in order.
    :ivar requests: everything that reached it.
    :ivar stage_results: stage, piece and inputs by handle.
    :ivar calls: pieces of each stage call.
    :ivar prefill_s: seconds from a request to the first event of its stream.
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

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry in the list of replicas."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "born": 1,
            "sequence": 1,
        }

    async def answer(self, sock: Socket, request: Request) -> None:
        """Answer a request as the behaviour says."""
        target = request.head.target
        if target.endswith(b"/stage-run"):
            await self._run_stage(sock, request)
        elif target.endswith(b"/stage-free"):
            self.freed.extend(msgspec.json.decode(request.body)["handles"])
            send(sock, 200, (), b"{}")
        else:
            await self._run(sock, request)

    async def _run(self, sock: Socket, request: Request) -> None:
        self.requests.append(request)
        request_id = get_header(request.head.headers, REQUEST_ID.lower())
        match self.behaviour:
            case Full():
                send(sock, 503, ((REQUEST_ID, request_id), (NOT_EXECUTED, b"1")), b"")
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
                send(sock, 200, ((REQUEST_ID, b"other"), (STAMP, b"s")), b"other")
                return
        self.ran.append(request_id.decode())
        headers = ((REQUEST_ID, request_id), (STAMP, self.replica_id.encode()))
        if self.kind == "engine":
            await self._stream(sock, request, headers)
        else:
            await asyncio.sleep(self.pause_s)
            send(sock, 200, headers, b"done " + request.body)

    async def _stream(self, sock: Socket, request: Request, headers: tuple) -> None:
        last = get_header(request.head.headers, b"last-event-id")
        first = int(last) + 1 if last is not None else 0
        await asyncio.sleep(self.prefill_s)
        coding = ((b"Transfer-Encoding", b"chunked"), (b"Content-Type", b"text/event-stream"))
        sock.write(encode_response_head(200, b"", headers + coding))
        for number in range(first, self.events):
            match self.behaviour:
                case BreaksOff(after) if number - first >= after:
                    sock.write(encode_chunk(b"id: %d\nda" % number))
                    await asyncio.sleep(0.02)
                    sock.abort()
                    return
            sock.write(encode_chunk(b"id: %d\ndata: e%d\n\n" % (number, number)))
            await asyncio.sleep(self.pause_s)
        sock.write(LAST_CHUNK)

    async def _run_stage(self, sock: Socket, request: Request) -> None:
        items = msgspec.json.decode(request.body)["items"]
        self.calls.append(len(items))
        match self.behaviour:
            case Full():
                send(sock, 503, ((NOT_EXECUTED, b"1"),), b"")
                return
            case Silent():
                await sock.gone
                return
        await asyncio.sleep(self.pause_s)
        ends = []
        for item in items:
            handle = f"{self.address}/{len(self.stage_results)}"
            self.stage_results[handle] = item
            ends.append({"handle": handle})
        send(sock, 200, (), msgspec.json.encode({"items": ends}))
