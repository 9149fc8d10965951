"""Hostile clients of the soak: they send in ways that take memory or connections of a gateway."""

import asyncio
import contextlib
import random
import re
from collections import Counter
from pathlib import Path

from benchmarks._soak_system import HOST, Gateway, SoakSystem
from greengagehoist.gateway import DEFAULT_MEMORY_BYTES

CLIENTS = 30
SEND_S = 2.0
MAX_PAUSE_S = 1.0
BLOCK = b"x" * 65536
HEAD = b"POST /look/x HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Beginning and repeated bytes of each way of sending.
WAYS = {
    "short body": (HEAD + b"Content-Length: 4194304\r\n\r\n", BLOCK[:-1]),
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "tiny chunks": (CHUNKED, b"3\r\nxyz\r\n" * 500),
    "extension": (CHUNKED + b"1;", BLOCK),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n" * 500),
    "header lines": (HEAD, b"a:\r\n" * 1000),
    "pipelined": (b"", b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n" * 100),
    "idle": (b"", b""),
}


class HostileClients:
    """Clients that send without end to one gateway after the other, on connections of their own.

    Their generator is their own, so that the faults of a seed stay the same.
    """

    def __init__(self, system: SoakSystem, rng: random.Random):
        self.system = system
        self.rng = rng
        self.applied: Counter = Counter()
        self.stopping = False

    async def run(self) -> None:
        """Send until the soak ends."""
        while not self.stopping:
            gateway: Gateway = self.rng.choice(self.system.gateways)
            way = self.rng.choice(list(WAYS))
            self.applied[way] += 1
            await asyncio.gather(*(self._send(gateway, *WAYS[way]) for _ in range(CLIENTS)))
            await asyncio.sleep(MAX_PAUSE_S * self.rng.random())

    async def _send(self, gateway: Gateway, beginning: bytes, repeated: bytes) -> None:
        host, _, port = gateway.address.partition(":")
        writer = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_S):
                _, writer = await asyncio.open_connection(host, int(port), limit=1)
                writer.write(beginning)
                while repeated:
                    writer.write(repeated)
                    await writer.drain()
                await asyncio.sleep(SEND_S)
        if writer is not None:
            writer.transport.abort()

    def check(self) -> list[str]:
        """Return the gateways whose memory has exceeded their limit."""
        findings = []
        for gateway in self.system.gateways:
            status = Path(f"/proc/{gateway.process.pid}/status").read_text()
            peak_bytes = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024
            if peak_bytes > DEFAULT_MEMORY_BYTES:
                findings.append(f"{gateway.vm} took {peak_bytes >> 20} MB")
        return findings
