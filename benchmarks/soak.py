"""Soak test: runs gateway processes under random faults and checks their guarantees.

The checks compare the answers that clients received with the calls that replicas recorded.
Run ``python -m benchmarks.soak --seed 1``; each seed's line starts with ``ok`` or ``BROKEN``.
"""

import asyncio
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import click

from benchmarks._soak_checks import RequestRecord, check_results
from benchmarks._soak_faults import FaultInjector
from benchmarks._soak_hostile import HostileClients
from benchmarks._soak_system import BAD_PART, EVENTS, HOST, SoakSystem
from greengagehoist.http1 import (
    IncompleteError,
    ProtocolError,
    ResponseReader,
    Socket,
    encode_request,
    get_header,
    open_socket,
)

CLIENTS_PER_GATEWAY = 4
DEADLINE_S = 2.5
# Tolerance past the deadline for timer inaccuracy and a loaded machine.
LATE_MARGIN_S = 1.0
MAX_PAUSE_S = 0.05
SETTLE_S = 6.0
KINDS = ("book", "look", "text", "once", "deep", "part")
BAD_PART_SHARE = 0.15
STAMP = b"x-greengagehoist-server-stamp"
STREAMING_KINDS = ("text", "once", "deep", "part")
# Requests sent after all faults have ended, which must succeed.
RECOVERY_REQUESTS = 20
MAX_FINDINGS_SHOWN = 10


class Clients:
    """Clients that reuse connections until they close, and record the outcome of every request."""

    def __init__(self, system: SoakSystem, rng: random.Random):
        self.system = system
        self.rng = rng
        self.sent: list[RequestRecord] = []
        self.findings: list[str] = []
        self.stopping = False
        self._count = 0

    async def run(self, gateway: int) -> None:
        """Send requests to one gateway until the soak ends."""
        sock: Socket | None = None
        while not self.stopping:
            if sock is None or sock.gone.done():
                sock = await self._connect(gateway)
            if sock is not None and not await self.call(sock, self.rng.choice(KINDS), gateway):
                sock.abort()
                sock = None
            await asyncio.sleep(MAX_PAUSE_S * self.rng.random())
        if sock is not None:
            sock.abort()

    async def _connect(self, gateway: int) -> Socket | None:
        host, _, port = self.system.gateways[gateway].address.partition(":")
        try:
            return await open_socket(host, int(port), 0.5)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.1)
            return None

    async def call(self, sock: Socket, kind: str, gateway: int, patient: bool = False) -> bool:
        """Send one request; returns whether the connection can be reused.

        :param patient: whether the client waits for the answer and sends a sound prompt.
        """
        self._count += 1
        request_id, key = f"r{self._count}", self.rng.choice(self.system.keys)
        body = request_id.encode() * self.rng.randint(1, 40)
        headers = (
            (b"Host", HOST.encode()),
            (b"X-Greengagehoist-Request-Id", request_id.encode()),
            (b"X-Greengagehoist-Deadline-Ms", b"%d" % (DEADLINE_S * 1000)),
            (b"X-Greengagehoist-Segments", b"2,3"),
            (b"X-Greengagehoist-Segment-Key", request_id.encode()),
            (b"Api-Key", key.encode()),
        )
        bad = kind == "part" and not patient and self.rng.random() < BAD_PART_SHARE
        if kind == "part":
            document = BAD_PART if bad else b"doc%d" % self.rng.randrange(5)
            headers += (
                (b"X-Greengagehoist-Model", b"m"),
                (b"X-Greengagehoist-Token-Count", b"150,10"),
                (
                    b"X-Greengagehoist-Prefix-Hash",
                    b"system:50,%b:50,own%d:50" % (document, self._count),
                ),
            )
        began = time.monotonic()
        sock.write(encode_request(b"POST", f"/{kind}/x".encode(), headers, body))
        status, received, reader = 0, b"", ResponseReader(sock, b"POST")
        disconnects_early = not patient and self.rng.random() < 0.05
        leaving = limited = ""
        try:
            async with asyncio.timeout(0.05 if disconnects_early else DEADLINE_S + LATE_MARGIN_S):
                head = await reader.head()
                if get_header(head.headers, b"server-leaving") is not None:
                    leaving = (get_header(head.headers, STAMP) or b"").decode()
                if get_header(head.headers, b"server-limit") is not None:
                    limited = (get_header(head.headers, STAMP) or b"").decode()
                received = await reader.whole_body()
                status = head.status
        except (IncompleteError, TimeoutError):
            pass
        except ProtocolError as exc:
            self.findings.append(f"{request_id}: malformed response: {exc}")
        took = time.monotonic() - began
        sent = RequestRecord(
            request_id,
            kind,
            key,
            began,
            status,
            received,
            took,
            gateway,
            bad,
            leaving,
            limited,
            disconnects_early,
        )
        self.sent.append(sent)
        self._check(sent, body)
        return reader.reusable and status != 0

    def _check(self, sent: RequestRecord, body: bytes) -> None:
        if sent.status == 200:
            expected = EVENTS if sent.kind in STREAMING_KINDS else b"done " + body
            if sent.body != expected:
                self.findings.append(f"{sent.request_id}: {sent.kind} got {sent.body[:60]!r}")
        elif sent.status in (400, 404, 413):
            self.findings.append(f"{sent.request_id}: valid request got {sent.status}")


async def check_recovery(system: SoakSystem, clients: Clients) -> list[str]:
    """Return the requests that failed after all faults had ended."""
    findings = []
    for number in range(RECOVERY_REQUESTS):
        gateway = system.gateways[number % len(system.gateways)]
        host, _, port = gateway.address.partition(":")
        sock = await open_socket(host, int(port), 1.0)
        clients.rng = random.Random(number + 1)
        before = len(clients.sent)
        await clients.call(
            sock, KINDS[number % len(KINDS)], number % len(system.gateways), patient=True
        )
        sock.abort()
        sent = clients.sent[before]
        if sent.status != 200:
            findings.append(f"after the faults: {sent.kind} at {gateway.vm} got {sent.status}")
    return findings


async def soak(seed: int, seconds: float, gateways: int, folder: Path) -> tuple[list[str], str]:
    """Run one seed; returns the violations and a summary."""
    rng = random.Random(seed)
    system = SoakSystem(folder, gateways)
    try:
        await system.start()
        clients = Clients(system, rng)
        faults = FaultInjector(system, random.Random(seed + 1))
        tasks = [
            asyncio.ensure_future(clients.run(number % gateways))
            for number in range(gateways * CLIENTS_PER_GATEWAY)
        ]
        hostile = HostileClients(system, random.Random(seed + 2))
        sending = asyncio.ensure_future(hostile.run())
        await faults.run(time.monotonic() + seconds)
        hostile.stopping = True
        await sending
        await asyncio.sleep(SETTLE_S)
        clients.stopping = True
        await asyncio.gather(*tasks)
        findings = await check_recovery(system, clients)
        findings += clients.findings + hostile.check()
        findings += check_results(system, clients.sent, faults.revoked, faults.left, faults.limited)
        outcomes = Counter(f"{sent.kind}:{sent.status}" for sent in clients.sent)
        return (
            findings,
            f"{len(clients.sent)} requests {dict(outcomes)} faults {dict(faults.applied)} "
            f"hostile {dict(hostile.applied)}",
        )
    finally:
        await system.stop()


@click.command()
@click.option(
    "--seed", "seeds", multiple=True, type=int, help="Seed of a run; repeatable. Random if absent."
)
@click.option(
    "--count", default=1, show_default=True, help="Runs with random seeds, without --seed."
)
@click.option("--seconds", default=12.0, show_default=True, help="Duration of the faults in a run.")
@click.option("--gateways", default=4, show_default=True, help="Gateway processes.")
@click.option("--logs", default="", help="Folder that keeps the logs; temporary if empty.")
def main(seeds: tuple[int, ...], count: int, seconds: float, gateways: int, logs: str) -> None:
    """Run the soak test and exit with 1 if a guarantee was violated."""
    broken = 0
    for seed in seeds or [random.SystemRandom().randrange(10**9) for _ in range(count)]:
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(logs or temporary) / str(seed) if logs else Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            findings, summary = asyncio.run(soak(seed, seconds, gateways, folder))
        broken += bool(findings)
        click.echo(f"seed {seed}: {'BROKEN' if findings else 'ok'} {summary}")
        for finding in findings[:MAX_FINDINGS_SHOWN]:
            click.echo(f"  {finding}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
