"""A gateway process with stand-ins on loopback, and clients that send to it in hostile ways."""

import asyncio
import contextlib
import os
import re
import socket
import sys
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from greengagehoist.daemon.tests.gateway_system import config
from greengagehoist.http1 import IncompleteError, ResponseReader, encode_request, open_socket
from greengagehoist.platform import READY_PATH, SETTINGS_VARIABLE
from greengagehoist.standins import ReplicaStandin, StoreStandin

MEMORY_MB = 120
# Descriptors where the number of connections is tested, and where the memory of each one is.
FEW_FDS = 400
MANY_FDS = 1638
MAX_BODY_BYTES = 4 * 1024 * 1024
# Bytes of a body that a client leaves out.
MISSING_BYTES = 256
# Time in which the clients of a test send; a gateway may stop reading from them.
SEND_S = 5.0
START_S = 20.0
ANSWER_S = 30.0
SAMPLE_S = 0.02
KB_PER_MB = 1024
# The process has taken in what clients have sent when it uses less than this share of a core.
BUSY_SHARE = 0.2
BUSY_PERIOD_S = 0.4
SETTLE_S = 15.0
CPU_FIELDS = slice(11, 13)

Send = Callable[[asyncio.StreamWriter], Awaitable[None]]


class Figures(NamedTuple):
    """What a process has used.

    :param peak_mb: most resident memory.
    :param descriptors: most open descriptors that were seen.
    """

    peak_mb: float
    descriptors: int


class GatewayProcess:
    """A gateway process whose store and replicas are stand-ins of the test process.

    :param folder: folder for the settings and the log.
    :param max_fds: limit on descriptors in its settings.
    :param padding: bytes at the end of each plain answer.
    """

    def __init__(self, folder: Path, max_fds: int = MANY_FDS, padding: int = 0):
        self.folder = folder
        self.max_fds = max_fds
        self.store = StoreStandin()
        self.desk = ReplicaStandin("d0", "desk", "a")
        self.desk.padding = b"x" * padding
        self.addresses: dict[str, str] = {}
        self.descriptors = 0
        self._process: asyncio.subprocess.Process | None = None
        self._sampling: asyncio.Task | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Start the stand-ins and the process, and wait until it is ready."""
        await self.store.start()
        await self.desk.start()
        self.store.put("servers", "d0", self.desk.entry())
        limits = {"max_body_bytes": MAX_BODY_BYTES, "max_header_bytes": 16384}
        self.store.put("op", "config", {**config(), "limits": limits})
        await self._spawn()
        self._sampling = asyncio.ensure_future(self._sample())
        async with asyncio.timeout(START_S):
            while await self._readiness() != 200:
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Close all connections, kill the process and stop the stand-ins."""
        for writer in self._writers:
            writer.transport.abort()
        if self._sampling is not None:
            self._sampling.cancel()
        if self._process is not None and self.lives:
            self._process.kill()
            await self._process.wait()
        await self.store.stop()
        await self.desk.stop()

    @property
    def lives(self) -> bool:
        """Whether the process runs."""
        return self._process.returncode is None

    def figures(self) -> Figures:
        """Return what the process has used since its start."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        peak_kb = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])
        return Figures(peak_kb / KB_PER_MB, self.descriptors)

    async def attack(self, interface: str, clients: int, send: Send) -> None:
        """Let clients send at the same time; their connections stay open until :meth:`stop`."""
        host, _, port = self.addresses[interface].partition(":")

        async def run() -> None:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(SEND_S):
                    # A limit of 1 byte: this client reads no answers.
                    _, writer = await asyncio.open_connection(host, int(port), limit=1)
                    self._writers.append(writer)
                    await send(writer)

        await asyncio.gather(*(run() for _ in range(clients)))

    async def settle(self) -> None:
        """Wait until the process has taken in what the clients have sent, at most ``SETTLE_S``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                used, busy = self._cpu_s(), True
                while busy and self.lives:
                    await asyncio.sleep(BUSY_PERIOD_S)
                    busy = self._cpu_s() - used > BUSY_SHARE * BUSY_PERIOD_S
                    used = self._cpu_s()

    def _cpu_s(self) -> float:
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().rpartition(")")[2].split()
        return sum(int(field) for field in fields[CPU_FIELDS]) / os.sysconf("SC_CLK_TCK")

    async def is_answered(self, interface: str = "clients") -> bool:
        """Return whether one ordinary request is answered; it is sent again after a failure."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_S):
                while True:
                    ask = self._ask if interface == "clients" else self._readiness
                    if await ask() == 200:
                        return True
                    await asyncio.sleep(0.1)
        return False

    async def _ask(self) -> int:
        return await self._call("clients", request("/look/", b"body" * 4000))

    async def _readiness(self) -> int:
        return await self._call("readiness", b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % READY_PATH)

    async def _call(self, interface: str, data: bytes) -> int:
        host, _, port = self.addresses[interface].partition(":")
        try:
            sock = await open_socket(host, int(port), 1.0)
        except (OSError, TimeoutError):
            return 0
        try:
            async with asyncio.timeout(5.0):
                sock.write(data)
                reader = ResponseReader(sock, data.partition(b" ")[0])
                head = await reader.head()
                await reader.whole_body()
                return head.status
        except (IncompleteError, TimeoutError):
            return 0
        finally:
            sock.abort()

    def _settings(self) -> dict[str, Any]:
        return {
            "node_name": "vm0",
            "zone": "a",
            "ip": "127.0.0.1",
            "listen": {"frontend": "127.0.0.1:0", "ready": "127.0.0.1:0"},
            "internal_ports": [free_port()],
            "limits": {
                "cpu_fraction": 0.5,
                "cores": 2,
                "link_mbps": 1000,
                "memory_mb": MEMORY_MB,
                "max_fds": self.max_fds,
            },
            "platform": {"address": self.store.address},
            "bounds": {
                "drain_ms": 2000,
                "grace_s": 8,
                "config_apply_ms": 2000,
                "revoke_ms": 60000,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "retry_budget_slack": 54,
            },
        }

    async def _spawn(self) -> None:
        settings = self._settings()
        path, log = self.folder / "settings.yaml", self.folder / "gateway.log"
        path.write_bytes(msgspec.json.encode(settings))
        with log.open("wb") as file:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "greengagehoist.daemon.gateway",
                "--metrics-port",
                "0",
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=file,
                stderr=file,
            )
        async with asyncio.timeout(START_S):
            while "clients" not in self.addresses:
                await asyncio.sleep(0.02)
                found = re.findall(
                    r"event=listening interface=(\w+) address=(\S+)", log.read_text()
                )
                self.addresses = dict(found)

    async def _sample(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                count = len(os.listdir(f"/proc/{self._process.pid}/fd"))
                self.descriptors = max(self.descriptors, count)
            await asyncio.sleep(SAMPLE_S)


def free_port() -> int:
    """Return a port that was free; the settings file accepts no port 0 for peers."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def request(path: str, body: bytes = b"") -> bytes:
    """Return an ordinary request."""
    fields = (
        (b"Host", b"h.example"),
        (b"X-Greengagehoist-Request-Id", b"r1"),
        (b"X-Greengagehoist-Deadline-Ms", b"5000"),
        (b"Api-Key", b"key1"),
    )
    return encode_request(b"POST", path.encode(), fields, body)


def head(*lines: bytes, end: bytes = b"\r\n") -> bytes:
    """Return the head of a request with these header lines."""
    first = (b"POST /look/ HTTP/1.1", b"Host: h.example", b"Api-Key: key1")
    return b"\r\n".join((*first, *lines)) + b"\r\n" + end


def sends(*blocks: Iterable[bytes] | bytes, pause_s: float = 0.0) -> Send:
    """Return a client that writes blocks and leaves the connection open.

    :param blocks: bytes, or functions that return an iterable of bytes.
    """

    async def send(writer: asyncio.StreamWriter) -> None:
        for block in blocks:
            for data in (block,) if isinstance(block, bytes) else block:
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(pause_s)

    return send


def repeated(data: bytes, count: int, block: int = 1) -> Iterable[bytes]:
    """Return data ``count`` times, ``block`` times in each write."""
    return tuple(data * min(block, count - start) for start in range(0, count, block))
