"""Gateways as separate processes, and stand-ins of the store, the replicas and the clients.

Everything listens on loopback addresses and free ports. The stand-ins run in the process of the
case and need the standard library only.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
PREFIX = "X-Greengagehoist-"
# Bounds of the small deployments, by SYSTEM.md.
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
}
ZONES = ("a", "b", "c", "d")
START_TIMEOUT_S = 25.0
PORTS = (15_000, 32_000)


_given: set[int] = set()


def free_port() -> int:
    """Return a free port outside the usual range of outgoing connections, each one once."""
    while True:
        port = random.randint(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            if port not in _given:
                sock.bind(("127.0.0.1", port))
                _given.add(port)
                return port


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path):
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Message:
    """A request or a response."""

    def __init__(self, start: str, headers: list[tuple[str, str]], body: bytes = b""):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        return next((v for k, v in self.headers if k.lower() == name.lower()), None)

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = raw[:-4].decode("latin-1").split("\r\n")
    return Message(start, [(k.strip(), v.strip()) for k, _, v in (i.partition(":") for i in lines)])


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Read a body that is framed by its length or by chunks.

    :raises asyncio.IncompleteReadError: if the connection ends before.
    """
    if (head.get("Transfer-Encoding") or "").lower() == "chunked":
        parts = []
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(head.get("Content-Length") or 0))


def encode(
    start: str, headers: list[tuple[str, str]], body: bytes = b"", sized: bool = True
) -> bytes:
    """Return a message, with the length of its body."""
    lines = [start, *(f"{k}: {v}" for k, v in headers)]
    if sized:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """An HTTP server that handles one request at a time on a connection."""

    def __init__(self):
        self.address = ""
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=2**20)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tasks.add(asyncio.current_task())
        try:
            while (req := await read_head(reader)) is not None:
                req.body = await read_body(reader, req)
                await self.answer(req, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            with contextlib.suppress(Exception):
                writer.transport.abort()

    async def answer(
        self, req: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle a request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows, transactions, and a feed of changes that answers at once."""

    def __init__(self):
        super().__init__()
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.dropped: dict[tuple[str, str], int] = {}
        self.hold: asyncio.Event | None = None

    def put(self, table: str, key: str, value) -> None:
        """Write a row, in place of the operator or of a replica."""
        self.version += 1
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[table, key] = (raw, self.version)

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        if self.rows.pop((table, key), None):
            self.dropped[table, key] = self.version

    def _row(self, table: str, key: str) -> dict:
        raw, ver = self.rows[table, key]
        return {"table": table, "part": "", "key": key, "value": raw, "ver": ver}

    async def answer(self, req: Message, reader, writer) -> None:
        """Answer a call."""
        target = req.start.split(" ")[1]
        path, _, query = target.partition("?")
        args = {k: v[0] for k, v in parse_qs(query).items()}
        status, body = 200, {}
        if path.endswith("/rows-get"):
            first, last = args.get("from", ""), args.get("target", "\U0010ffff")
            keys = sorted(k for t, k in self.rows if t == args["table"] and first <= k < last)
            limit = int(args.get("limit", 500))
            body = {
                "rows": [self._row(args["table"], k) for k in keys[:limit]],
                "has_more": len(keys) > limit,
            }
        elif path.endswith("/rows-feed"):
            table, after = args["table"], int(args["after"])
            rows = [
                self._row(t, k) for (t, k), (_, v) in self.rows.items() if t == table and v > after
            ]
            rows += [
                {"table": t, "part": "", "key": k, "ver": v, "tombstone": True}
                for (t, k), v in self.dropped.items()
                if t == table and v > after and (t, k) not in self.rows
            ]
            body = {"rows": sorted(rows, key=lambda item: item["ver"])}
        elif path.endswith("/rows-tx"):
            status, body = self._transact(json.loads(req.body))
        body |= {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}
        # 4 ms an answer, and 8 ms a transaction.
        await asyncio.sleep(0.012 if path.endswith("/rows-tx") else 0.004)
        raw = json.dumps(body).encode()
        writer.write(encode(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")], raw))
        await writer.drain()

    def _transact(self, call: dict) -> tuple[int, dict]:
        wanted = [(i["table"], i["key"], i["ver"]) for i in call.get("expected_revision", ())]
        if any(self.rows.get((t, k), ("", 0))[1] != ver for t, k, ver in wanted):
            return 412, {"rows": [self._row(t, k) for t, k, _ in wanted if (t, k) in self.rows]}
        self.version += 1
        for item in call.get("writes", ()):
            self.rows[item["table"], item["key"]] = (item["value"], self.version)
        for item in call.get("remove", ()):
            if self.rows.pop((item["table"], item["key"]), None):
                self.dropped[item["table"], item["key"]] = self.version
        return 200, {}


class Replica(Server):
    """A sound replica of a plain service; a case overrides :meth:`run`.

    :ivar ran: ids of the requests that it began to work on, with the time.
    """

    def __init__(self, replica_id: str, service: str, zone: str, record: Record, slots: int = 6):
        super().__init__()
        self.replica_id, self.service, self.zone = replica_id, service, zone
        self.record, self.slots = record, slots
        self.born = int(time.time() * 1000)
        self.ran: list[tuple[float, str]] = []
        self.arrived: list[tuple[float, str]] = []

    def entry(self, state: str = "ready") -> dict:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    def headers(self, request_id: str) -> list[tuple[str, str]]:
        """Return the headers of an answer."""
        return [
            (PREFIX + "Request-Id", request_id),
            (PREFIX + "Server-Stamp", f"stamp-{self.replica_id}-{request_id}"),
        ]

    async def answer(self, req: Message, reader, writer) -> None:
        """Handle a request."""
        request_id = req.get(PREFIX + "Request-Id") or ""
        self.arrived.append((time.monotonic(), request_id))
        expected = req.get(PREFIX + "Expect-Instance")
        if expected not in (None, self.replica_id):
            head = [(PREFIX + "Request-Id", request_id), (PREFIX + "Not-Executed", "1")]
            writer.write(encode("HTTP/1.1 421 X", head))
            return
        await self.run(req, request_id, writer)

    def note_run(self, request_id: str) -> None:
        """Record that a request runs."""
        self.ran.append((time.monotonic(), request_id))
        self.record.write(f"replica {self.replica_id} runs {request_id}")

    async def run(self, req: Message, request_id: str, writer) -> None:
        """Run a request."""
        self.note_run(request_id)
        await asyncio.sleep(0.05)
        writer.write(
            encode("HTTP/1.1 200 OK", self.headers(request_id), b"done " + request_id.encode())
        )
        await writer.drain()


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, folder: Path, store: str, record: Record, **fields):
        self.name, self.zone, self.folder, self.record = name, zone, folder, record
        self.ports = [free_port() for _ in range(5)]
        self.fields, self.store = fields, store
        self.process: asyncio.subprocess.Process | None = None

    @property
    def port(self) -> int:
        """Port for clients."""
        return self.ports[0]

    def settings(self) -> dict:
        """Return the settings file's content."""
        return {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "r",
            "zones": dict.fromkeys(ZONES, "r"),
            "listen": {
                "frontend": f"127.0.0.1:{self.ports[0]}",
                "ready": f"127.0.0.1:{self.ports[1]}",
                "control_plane": f"127.0.0.1:{self.ports[4]}",
            },
            "internal_ports": [self.ports[2], self.ports[2]],
            "bootstrap": True,
            "limits": {
                "cpu_fraction": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
            },
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self.store, "form": "table"},
        } | self.fields

    def write_settings(self) -> Path:
        """Write the settings file."""
        path = self.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings()))
        return path

    async def start(self) -> None:
        """Start the process."""
        path = self.write_settings()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target" / "deps"), "GREENGAGEHOIST_NODE_FILE": str(path)}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.folder / f"{self.name}.log").open("ab")
        words = ("python3", "-m", "greengagehoist.daemon.gateway", "--metrics-port")
        self.process = await asyncio.create_subprocess_exec(
            *words, str(self.ports[3]), env=env, cwd=ROOT, stdout=log, stderr=log
        )
        log.close()
        self.record.write(f"gateway {self.name} started, pid {self.process.pid}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            self.record.write(f"gateway {self.name} gets {number.name}")
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[1])
                writer.write(encode("GET /greengagehoist/readyz HTTP/1.1", [("Host", "x")]))
                head = await read_head(reader)
                writer.close()
                return head is not None and head.status == 200
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self) -> None:
        """Wait until it is ready."""
        began = time.monotonic()
        while not await self.is_ready():
            if time.monotonic() - began > START_TIMEOUT_S:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Return a route with the path prefix ``/<name>/``."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
    } | fields


def configuration(version: int, routes: list[dict], services: list[dict], **fields) -> dict:
    """Return the operator's configuration."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 30000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits} | fields


class Client:
    """A client's connection that is kept open for many requests."""

    def __init__(self, port: int, record: Record):
        self.port, self.record = port, record
        self.reader = self.writer = None

    async def open(self, **options) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, **options)

    def send(self, method: str, path: str, request_id: str, body: bytes = b"", **headers) -> None:
        """Send a request."""
        found = [("Host", HOST), (PREFIX + "Request-Id", request_id)]
        found.append((PREFIX + "Deadline-Ms", str(headers.pop("deadline_ms", 8000))))
        found += [(k.replace("_", "-"), v) for k, v in headers.items()]
        self.record.write(f"client sends {method} {path} {request_id}")
        self.writer.write(encode(f"{method} {path} HTTP/1.1", found, body))

    async def receive(self) -> Message | None:
        """Return the complete answer, or None if the connection ended before."""
        head = await read_head(self.reader)
        if head is None:
            return None
        try:
            head.body = await read_body(self.reader, head)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return head

    def close(self) -> None:
        """Reset the connection."""
        if self.writer is not None:
            self.writer.transport.abort()


def run_case(case) -> None:
    """Run ``case(folder, record, trouble)`` and exit with 1 if it says that the rule was broken."""
    folder = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.write(f"trouble: {trouble}")
    with tempfile.TemporaryDirectory() as name:
        gateways: list[Gateway] = []

        async def main() -> bool:
            try:
                async with asyncio.timeout(110):
                    return await case(Path(name), record, trouble, gateways)
            finally:
                for item in gateways:
                    if item.process is not None and item.process.returncode is None:
                        item.process.send_signal(signal.SIGCONT)
                        item.process.kill()
                        await item.process.wait()

        try:
            broken = asyncio.run(main())
        except Exception as exc:
            record.write(f"the case could not run: {exc!r}")
            print(f"could not run: {exc!r}", file=sys.stderr)
            if os.environ.get("KEEP_LOGS"):
                for log in Path(name).glob("*.log"):
                    print(log.read_text()[-3000:], file=sys.stderr)
            sys.exit(2)
        if os.environ.get("KEEP_LOGS"):
            for log in Path(name).glob("*.log"):
                (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
    record.write("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
