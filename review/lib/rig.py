"""Small deployment on loopback for the review scripts: stand-ins, clients and gateway processes.

Only the standard library is used. The gateways are the project's own processes, started with the
command of deploy/system.toml. The store, the replicas and the clients are stand-ins of this file.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
HOST = "h.example"
ZONES = ("a", "b", "c", "d")
STAMP = "X-Greengagehoist-Server-Stamp"
REQUEST_ID = "X-Greengagehoist-Request-Id"
NOT_EXECUTED = "X-Greengagehoist-Not-Executed"
# Bounds of the small deployments (SYSTEM.md).
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "max_stretch_ms": 5000,
    "revoke_fail_closed": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 54,
    "recover_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 8.3,
}
CONTACT_S = BOUNDS["contact_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000
START_TIMEOUT_S = 25.0
# Connections that may wait at a link to the store.
LINK_BACKLOG = 16


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder: Path):
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def at(self, moment: float) -> str:
        """Return a moment of the monotonic clock as seconds since the beginning."""
        return f"{moment - self.began:.3f} s"


class Message:
    """Start line, headers and body of a request or response."""

    def __init__(self, start: str, headers: list[tuple[str, str]], body: bytes = b""):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return next((v for k, v in self.headers if k.lower() == name.lower()), default)


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a start line and headers."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text[:-4].split("\r\n")
    pairs = [line.partition(":") for line in lines[1:]]
    return Message(lines[0], [(name, value.strip()) for name, _, value in pairs])


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a chunked body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


def encode(start: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return a message whose body is framed by its length."""
    lines = [start, *(f"{k}: {v}" for k, v in headers), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """HTTP/1.1 server on a loopback port."""

    def __init__(self):
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            reset(writer)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset_connections()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request.get("Transfer-Encoding"):
                    parts = []
                    while part := await read_chunk(reader):
                        parts.append(part)
                    await reader.readuntil(b"\r\n")
                    request.body = b"".join(parts)
                else:
                    request.body = await reader.readexactly(int(request.get("Content-Length", "0")))
                await self.handle(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Store(Server):
    """The platform's store: tables of rows and conditional transactions (PROTOCOL.md)."""

    def __init__(self):
        super().__init__()
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.ver = 0
        # While False, all calls get 503, which says that nothing was done.
        self.available = True

    def put(self, table: str, key: str, value: object) -> float:
        """Write a row for the operator or a replica; returns the time of the acknowledgement."""
        self.ver += 1
        self.rows[table, key] = (base64.b64encode(json.dumps(value).encode()).decode(), self.ver)
        return time.monotonic()

    def remove(self, table: str, key: str) -> float:
        """Remove a row; returns the time of the acknowledgement."""
        self.ver += 1
        self.rows.pop((table, key), None)
        return time.monotonic()

    def _row(self, table: str, key: str) -> dict:
        value, ver = self.rows[table, key]
        return {"table": table, "part": "", "key": key, "value": value, "ver": ver}

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.004)
        path, _, query = request.start.split(" ")[1].partition("?")
        status, body = 404, {}
        if not self.available:
            writer.write(encode("HTTP/1.1 503 Service Unavailable", []))
            return
        if path == "/greengagehoist/rows-get":
            status, body = 200, self._get({k: v[0] for k, v in parse_qs(query).items()})
        elif path == "/greengagehoist/rows-tx":
            status, body = self._transact(json.loads(request.body))
        body |= {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}
        head = [("Content-Type", "application/json")]
        writer.write(encode(f"HTTP/1.1 {status} X", head, json.dumps(body).encode()))

    def _get(self, query: dict[str, str]) -> dict:
        table, low, high = query["table"], query.get("from", ""), query.get("target", "")
        keys = sorted(k for t, k in self.rows if t == table and k >= low and (not high or k < high))
        limit = min(500, int(query.get("limit", "500")))
        rows = [self._row(table, key) for key in keys[:limit]]
        return {"rows": rows, "has_more": len(keys) > limit}

    def _transact(self, call: dict) -> tuple[int, dict]:
        for row in call.get("expected_revision", ()):
            held = self.rows.get((row["table"], row["key"]), ("", 0))[1]
            if held != row["ver"]:
                found = [self._row(row["table"], row["key"])] if held else []
                return 412, {"rows": found}
        self.ver += 1
        for row in call.get("writes", ()):
            self.rows[row["table"], row["key"]] = (row["value"], self.ver)
        for row in call.get("remove", ()):
            self.rows.pop((row["table"], row["key"]), None)
        return 200, {}


class StoreLink:
    """Path from one gateway to the store, which can be cut like a network partition.

    While it is cut, bytes are held in both directions, and new connections get no answer to their
    first packet, because the queue of the listening socket is full. When the cut ends, held bytes of
    connections that are still open are passed on, as TCP would send them again.
    """

    def __init__(self, store: Store):
        self.store = store
        self.open = asyncio.Event()
        self.open.set()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(LINK_BACKLOG)
        self.listener.setblocking(False)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task] = set()
        self._start(self._accept())

    def _start(self, coro) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.open.wait()
            sock, _ = await loop.sock_accept(self.listener)
            if self.open.is_set():
                self._start(self._forward(sock))
            else:
                # Accepted by the call that was waiting when the cut began.
                self._fillers.append(sock)

    async def _forward(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.store.port)
        await asyncio.gather(self._pump(reader, up_writer), self._pump(up_reader, writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        writer.close()

    async def cut(self) -> None:
        """Begin the cut."""
        self.open.clear()
        for _ in range(LINK_BACKLOG + 4):
            # Fills the queue of the listening socket; further connection requests are dropped.
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.listener.getsockname())
            self._fillers.append(filler)
        await asyncio.sleep(0.01)

    def heal(self) -> None:
        """End the cut."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.open.set()

    def stop(self) -> None:
        """Close the listening socket."""
        for task in self._tasks:
            task.cancel()
        self.listener.close()


class Replica(Server):
    """A sound replica of a plain service or an engine."""

    def __init__(self, number: int, service: str, kind: str, record: Record, zone: str = "a"):
        super().__init__()
        self.id = f"i-{service}{number}"
        self.service = service
        self.kind = kind
        self.zone = zone
        self.record = record
        self.born = int(time.time() * 1000)
        self.work_s = 0.02
        self.event_ids = list(range(1, 11))
        self.event_pause_s = 0.05
        # Further headers of its answers.
        self.extra: list[tuple[str, str]] = []
        self.arrivals: list[tuple[float, str]] = []
        self.ran: list[tuple[float, str]] = []

    def entry(self, state: str = "ready") -> dict:
        """Return the value of the replica's row in the table of servers."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 48,
            "state": state,
            "cold_remaining_ms": 0,
            "models": [{"name": "m", "version": 1, "adapters": []}] if self.kind == "engine" else [],
            "sequence": 1,
            "born": self.born,
        }

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.get(REQUEST_ID)
        echo = [(REQUEST_ID, request_id)]
        if request.get("X-Greengagehoist-Expect-Instance", self.id) != self.id:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", echo))
            return
        if not request_id:
            writer.write(encode("HTTP/1.1 400 Bad Request", [(NOT_EXECUTED, "1")]))
            return
        now = time.monotonic()
        self.arrivals.append((now, request_id))
        self.ran.append((now, request_id))
        self.record(f"replica {self.id} runs {request_id}")
        echo += [(STAMP, f"{self.id}.{request_id}"), *self.extra]
        if self.kind == "engine":
            await self.stream(request, writer, echo)
            return
        await asyncio.sleep(self.work_s)
        writer.write(encode("HTTP/1.1 200 OK", echo, b"done " + request_id.encode()))

    async def stream(self, request: Message, writer: asyncio.StreamWriter, echo: list) -> None:
        """Send the events after the one that the request names."""
        last = int(request.get("Last-Event-Id", "0"))
        head = [*echo, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in head)]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for event_id in self.event_ids:
            if event_id <= last:
                continue
            data = b"id: %d\ndata: %s-%d\n\n" % (event_id, request.get(REQUEST_ID).encode(), event_id)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
        writer.write(b"0\r\n\r\n")


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, number: int, folder: Path, store: Store, zone: str):
        self.zone = zone
        self.name = f"edge-{zone}-{number}"
        self.folder = folder
        self.link = StoreLink(store)
        self.ports = [free_port() for _ in range(4)]
        self.process: subprocess.Popen | None = None

    @property
    def port(self) -> int:
        """Port on which clients connect."""
        return self.ports[0]

    def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.name}.yaml"
        settings = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "r",
            "zones": dict.fromkeys(ZONES, "r"),
            "listen": {
                "frontend": f"127.0.0.1:{self.ports[0]}",
                "ready": f"127.0.0.1:{self.ports[1]}",
            },
            "internal_ports": [self.ports[2], self.ports[2]],
            "bootstrap": False,
            "limits": {
                "cpu_fraction": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self.link.address, "form": "table"},
        }
        path.write_text(json.dumps(settings))
        run = "python3 -m greengagehoist.daemon.gateway --metrics-port".split()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {
            "GREENGAGEHOIST_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [*run, str(self.ports[3])], cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[1])
                writer.write(b"GET /greengagehoist/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head.start.split(" ")[1] == "200"
        return False


class Answer:
    """What a client got.

    :ivar status: 0 if no response head came.
    :ivar whole: whether the response was complete.
    """

    def __init__(self):
        self.status = 0
        self.headers = Message("", [])
        self.body = b""
        self.whole = False


class Deployment:
    """Store, replicas and gateways of one case."""

    def __init__(self, case: Path):
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.keep_logs = bool(os.environ.get("KEEP_LOGS"))
        self.store = Store()
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        self.version = 0
        self._requests = 0

    async def start(
        self, routes: list[dict], services: list[dict], gateways: int, own_zones: bool = False
    ) -> None:
        """Start the store and the gateways and wait until all are ready.

        :param own_zones: whether each gateway is the only one of its zone.
        """
        await self.store.start()
        self.configure(routes, services)
        for number in range(1, gateways + 1):
            zone = ZONES[number - 1] if own_zones else ZONES[0]
            gateway = Gateway(number, self.folder, self.store, zone)
            gateway.start()
            self.gateways.append(gateway)
        began = time.monotonic()
        while not all([await item.is_ready() for item in self.gateways]):
            if time.monotonic() - began > START_TIMEOUT_S:
                raise TimeoutError("gateways did not become ready")
            await asyncio.sleep(0.2)
        # Links between the gateways come up.
        await asyncio.sleep(3.0)
        self.record(f"{gateways} gateways are ready")

    def configure(self, routes: list[dict], services: list[dict]) -> None:
        """Write the operator's configuration."""
        self.version += 1
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op", "config", config)

    async def add_replica(self, replica: Replica) -> Replica:
        """Start a replica and write its row."""
        await replica.start()
        self.store.put("servers", replica.id, replica.entry())
        self.replicas.append(replica)
        return replica

    def new_id(self, prefix: str) -> str:
        """Return a new request id."""
        self._requests += 1
        return f"{prefix}{self._requests:06x}"

    async def request(
        self,
        gateway: Gateway,
        method: str,
        path: str,
        request_id: str,
        headers: list[tuple[str, str]] = (),
        body: bytes = b"",
        deadline_ms: int = 4000,
        events: int | None = None,
    ) -> Answer:
        """Send a request on a new connection and return the answer.

        :param events: number of events after which the connection is broken, None for never.
        """
        answer, writer = Answer(), None
        head = [
            ("Host", HOST),
            (REQUEST_ID, request_id),
            ("X-Greengagehoist-Deadline-Ms", str(deadline_ms)),
            *headers,
        ]
        self.record(f"client sends {request_id} {method} {path} to {gateway.name}")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                writer.write(encode(f"{method} {path} HTTP/1.1", head, body))
                answer.headers = await read_head(reader)
                answer.status = int(answer.headers.start.split(" ")[1])
                if answer.headers.get("Transfer-Encoding"):
                    while part := await read_chunk(reader):
                        answer.body += part
                        if events is not None and answer.body.count(b"\n\n") >= events:
                            raise ConnectionResetError("broken on purpose")
                else:
                    length = int(answer.headers.get("Content-Length", "0"))
                    answer.body = await reader.readexactly(length)
                answer.whole = True
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            if writer is not None:
                reset(writer)
        self.record(
            f"client got for {request_id}: {answer.status or 'no answer'}, "
            f"{len(answer.body)} bytes, {'whole' if answer.whole else 'not whole'}"
        )
        return answer

    async def stop(self) -> None:
        """End everything that was started."""
        for gateway in self.gateways:
            gateway.kill()
            gateway.link.stop()
        for server in (self.store, *self.replicas):
            await server.stop()
        if not self.keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a public route for the path prefix ``/NAME/``."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": True,
        **fields,
    }


def plain_service(name: str) -> dict:
    """Return a plain service."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 300,
        "protocol": "h1",
        "tls": False,
    }


def main(case: Path, play) -> None:
    """Play a case; ``play(deployment, trouble)`` returns the violations as lines of text."""

    async def run() -> int:
        deployment = Deployment(case)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        deployment.record(f"trouble: {'yes' if trouble else 'no'}")
        try:
            async with asyncio.timeout(115.0):
                found = await play(deployment, trouble)
        except Exception as exc:
            deployment.record(f"the case could not run: {exc!r}")
            print(f"could not run: {exc!r}", file=sys.stderr)
            return 2
        finally:
            await deployment.stop()
        for line in found:
            deployment.record(f"BROKEN {line}")
        deployment.record(f"result: {len(found)} violations")
        print(f"{len(found)} violations" + (f", the first: {found[0]}" if found else ""))
        return 1 if found else 0

    code = asyncio.run(run())
    sys.stdout.flush()
    # Without the interpreter's clean-up, which complains of connections that were cut.
    os._exit(code)
