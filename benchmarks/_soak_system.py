"""System under test of the soak: gateway processes, stand-ins and the proxies between them."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks._soak_proxy import FaultProxy
from greengagehoist.http1 import ResponseReader, encode_request, open_socket
from greengagehoist.standins import CrashesOn, ReplicaStandin, StoreStandin
from greengagehoist.standins._gateway_standins import event

HOST = "h.example"
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "revoke_ms": 4000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 54,
}
ZONES = ("a", "b")
START_TIMEOUT_S = 20.0
# Service whose engines end when they begin to answer a prompt with this part.
CRASHING_SERVICE = "gen"
BAD_PART = b"bad"
CRASH_DOWN_S = 1.0
# Seconds before a response, or after each event of a stream.
USUAL_ANSWER_S = 0.02
# Body of a complete stream.
EVENTS = b"".join(event(number) for number in range(5))


def route(name: str, kind: str, service: str, attempts: int, **fields: Any) -> dict[str, Any]:
    """Return a route configuration with the path prefix ``/<name>/``."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        **fields,
    }


def configuration(version: int, keys: tuple[str, ...]) -> dict[str, Any]:
    """Return the operator's configuration with these API keys."""
    stages = [
        {"service": "pool", "after": [], "bytes": 1000},
        {"service": "pool", "after": [0], "bytes": 1000},
    ]
    pool = {"batch": 4, "call_ms": 20.0, "item_ms": 2.0, "headroom_mb": 1.0}
    return {
        "version": version,
        "routes": [
            route("book", "non_idempotent", "desk", 2),
            route("look", "idempotent", "desk", 2),
            route("text", "streaming", "llm", 2, resumable=True),
            route("once", "streaming", "llm", 1),
            route("deep", "streaming", "llm", 1, stages=stages),
            route("part", "streaming", "gen", 1),
        ],
        "services": [
            {"name": "desk"},
            {"name": "llm", "engine": {"slots": 8}},
            {"name": "gen", "engine": {"slots": 8}},
            {"name": "pool", "segments": pool},
        ],
        "tenants": [{"name": "t1", "api_keys": list(keys), "priority": 1}],
    }


class Gateway:
    """A gateway process that connects to the platform through its own fault proxy."""

    def __init__(self, number: int, folder: Path, store: str):
        self.vm = f"vm{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.folder = folder
        self.store_proxy = FaultProxy(store)
        self.process: asyncio.subprocess.Process | None = None
        self.ports = [_free_port() for _ in range(4)]
        self.paused = False
        self.disturbed_at: list[float] = []
        # Time of each SIGTERM and of the end of the process.
        self.stops: list[tuple[float, float]] = []

    @property
    def address(self) -> str:
        """Address on which clients connect."""
        return f"127.0.0.1:{self.ports[0]}"

    async def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.vm}.yaml"
        path.write_text(json.dumps(self._settings()))
        # Appended to, so that a restart keeps the earlier lines of a failed seed.
        log = (self.folder / f"{self.vm}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "greengagehoist.daemon.gateway",
            "--metrics-port",
            str(self.ports[3]),
            env={**os.environ, "GREENGAGEHOIST_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()
        # After SIGTERM, seconds may pass between the signal and this.
        self.disturbed_at.append(time.monotonic())

    def _settings(self) -> dict[str, Any]:
        return {
            "node_name": self.vm,
            "zone": self.zone,
            "ip": "127.0.0.1",
            "listen": {"frontend": self.address, "ready": f"127.0.0.1:{self.ports[1]}"},
            "internal_ports": [self.ports[2], self.ports[2]],
            "limits": {"cpu_fraction": 1, "cores": 1, "link_mbps": 1000},
            "bounds": BOUNDS,
            "platform": {"address": self.store_proxy.address},
        }

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.disturbed_at.append(time.monotonic())
            self.paused = {signal.SIGSTOP: True, signal.SIGCONT: False}.get(number, self.paused)

    async def restart(self, number: signal.Signals) -> None:
        """Send a terminating signal, wait for the exit and start the process again."""
        sent_at = time.monotonic()
        self.send(number)
        await self.process.wait()
        if number is signal.SIGTERM:
            self.stops.append((sent_at, time.monotonic()))
        await self.start()

    def is_in_touch(self, at: float, within_s: float) -> bool:
        """Return whether it was not signalled or started from ``within_s`` before to 1 s after."""
        return not any(at - within_s < item < at + 1.0 for item in self.disturbed_at)

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        with contextlib.suppress(Exception):
            sock = await open_socket("127.0.0.1", self.ports[1], 0.5)
            try:
                head = ((b"Host", b"x"),)
                sock.write(encode_request(b"GET", b"/greengagehoist/readyz", head, b""))
                async with asyncio.timeout(0.5):
                    return (await ResponseReader(sock).head()).status == 200
            finally:
                sock.abort()
        return False


class SoakSystem:
    """Platform store, replicas, proxies and gateways of one run."""

    def __init__(self, folder: Path, gateways: int):
        self.store = StoreStandin()
        self.replicas = [
            ReplicaStandin(f"{service}{number}", service, ZONES[number % 2], kind)
            for service, kind, count in (
                ("desk", "plain", 3),
                ("llm", "engine", 3),
                ("pool", "", 2),
                (CRASHING_SERVICE, "engine", 4),
            )
            for number in range(count)
        ]
        self.proxies: dict[str, FaultProxy] = {}
        self.folder = folder
        self.count = gateways
        self.gateways: list[Gateway] = []
        self.version = 1
        self.keys = ("key0",)
        self.config: dict[str, Any] = {}
        self.entries: dict[str, dict[str, Any]] = {}

    async def start(self) -> None:
        """Start everything and wait until all gateways are ready."""
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
            replica.pause_s = USUAL_ANSWER_S
            if replica.service == CRASHING_SERVICE:
                # Without a proxy, so that its address refuses connections while it is down.
                replica.behaviour = CrashesOn(BAD_PART, CRASH_DOWN_S)
            else:
                proxy = self.proxies[replica.replica_id] = FaultProxy(replica.address)
                await proxy.start()
            self.write_replica_entry(replica)
        self.write_config()
        for number in range(self.count):
            gateway = Gateway(number, self.folder, self.store.address)
            await gateway.store_proxy.start()
            await gateway.start()
            self.gateways.append(gateway)
        began = time.monotonic()
        while not all([await gateway.is_ready() for gateway in self.gateways]):
            if time.monotonic() - began > START_TIMEOUT_S:
                raise TimeoutError(f"gateways did not become ready within {START_TIMEOUT_S:g} s")
            await asyncio.sleep(0.1)

    def write_replica_entry(self, replica: ReplicaStandin, state: str = "ready") -> None:
        """Register a replica in the store under the address of its proxy, if it has one."""
        entry = replica.entry(state)
        if replica.replica_id in self.proxies:
            entry["address"] = self.proxies[replica.replica_id].address
        self.entries[replica.replica_id] = entry
        self.store.put("servers", replica.replica_id, entry)

    def write_again(self) -> None:
        """Write what the operator and the replicas wrote last, after a restore of the store."""
        self.store.put("op", "config", self.config)
        for replica_id, entry in self.entries.items():
            self.store.put("servers", replica_id, entry)

    def write_config(self) -> None:
        """Write the configuration with the current API keys as the next version."""
        self.config = configuration(self.version, self.keys)
        self.store.put("op", "config", self.config)
        self.version += 1

    async def stop(self) -> None:
        """Kill the gateway processes and stop the proxies and stand-ins."""
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            gateway.send(signal.SIGKILL)
            await gateway.process.wait()
            await gateway.store_proxy.stop()
        for proxy in self.proxies.values():
            await proxy.stop()
        for standin in (self.store, *self.replicas):
            await standin.stop()


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
