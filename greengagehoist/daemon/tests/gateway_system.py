"""Gateway daemons in the test process, with stand-ins of the platform and of replicas."""

import asyncio
import random

from greengagehoist.daemon._gateway import GatewayDaemon
from greengagehoist.gateway import Bounds, GatewaySettings
from greengagehoist.http1 import ResponseReader, encode_request, open_socket
from greengagehoist.platform import READY_PATH, PlatformWireFormat, StoreCodec
from greengagehoist.standins import ReplicaStandin, StoreStandin
from greengagehoist.utils import Published, SystemClock

BOUNDS = Bounds(grace_s=4.0, revoke_s=3.0)


def route(name, prefix, kind, service, attempts=1, **fields):
    return {
        "name": name,
        "host": "h.example",
        "prefix": prefix,
        "route_type": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        **fields,
    }


def config(version=1, keys=("key1",)):
    stages = [
        {"service": "pool", "after": [], "bytes": 10},
        {"service": "pool", "after": [0], "bytes": 10},
    ]
    pool = {"batch": 4, "call_ms": 5.0, "item_ms": 1.0, "headroom_mb": 1.0}
    return {
        "version": version,
        "routes": [
            route("book", "/book/", "non_idempotent", "desk", 2),
            route("look", "/look/", "idempotent", "desk", 2),
            route("text", "/text/", "streaming", "llm", 2, resumable=True, gap_target_ms=400),
            route("once", "/once/", "streaming", "llm", 1, gap_target_ms=400),
            route("deep", "/deep/", "streaming", "llm", 1, gap_target_ms=400, stages=stages),
        ],
        "services": [
            {"name": "desk"},
            {"name": "llm", "engine": {"slots": 8}},
            {"name": "pool", "segments": pool},
        ],
        "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 5000},
        "tenants": [{"name": "t1", "api_keys": list(keys), "priority": 0}],
    }


def settings_text(revoke_ms, grace_s):
    """Return the text of a settings file with these bounds."""
    return f"""
node_name: vm0
zone: a
ip: 127.0.0.1
listen: {{frontend: "127.0.0.1:1", ready: "127.0.0.1:2"}}
internal_ports: [7740, 7755]
limits: {{cpu_fraction: 0.5, cores: 2, link_mbps: 1000}}
platform: {{address: "127.0.0.1:3"}}
bounds:
  drain_ms: 2000
  grace_s: {grace_s}
  config_apply_ms: 2000
  revoke_ms: {revoke_ms}
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_slack: 54
"""


class GatewaySystem:
    """Gateway daemons connected to stand-ins of the store and of replicas.

    :param bounds: bounds of all daemons.
    :param engines: number of engines.
    """

    def __init__(self, bounds, engines=2):
        self.bounds = bounds
        self.store = StoreStandin()
        # Address at which the next daemon reaches the store, empty for the store's own.
        self.store_address = ""
        self.desks = [ReplicaStandin(f"d{n}", "desk", "a") for n in range(2)]
        self.engines = [ReplicaStandin(f"e{n}", "llm", "a", "engine") for n in range(engines)]
        self.pool = [ReplicaStandin(f"p{n}", "pool", "a") for n in range(2)]
        self.daemons = []
        self.request_count = 0

    @property
    def replicas(self):
        return self.desks + self.engines + self.pool

    async def start(self, daemons=1):
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
            self.store.put("servers", replica.replica_id, replica.entry())
        self.store.put("op", "config", config())
        for number in range(daemons):
            await self.add_daemon(f"vm{number}")

    async def add_daemon(self, vm):
        settings = GatewaySettings(
            vm,
            "a",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "127.0.0.1:0",
            self.store_address or self.store.address,
            1.0,
            self.bounds,
        )
        daemon = GatewayDaemon(
            settings,
            StoreCodec(),
            PlatformWireFormat(),
            READY_PATH,
            0,
            SystemClock(),
            random.Random(1),
        )
        await daemon.start()
        self.daemons.append(daemon)
        await wait_until(lambda: daemon.reason_not_ready() == "")

    async def move(self, replicas, zone):
        """Move replicas to a data centre, and wait until all daemons have read it."""
        for replica in replicas:
            replica.zone = zone
            self.store.put("servers", replica.replica_id, replica.entry())

        def zones(daemon):
            listed = daemon.replicas.table.value.replicas
            return {listed[item.replica_id].zone for item in replicas}

        await wait_until(lambda: all(zones(daemon) == {zone} for daemon in self.daemons))

    def evacuate(self, *zones):
        """Let all daemons know at once that these data centres are evacuated, and no others.

        Their reads of the store no longer change that.
        """
        for daemon in self.daemons:
            daemon.deployments.evacuated = Published(frozenset())
            daemon.evacuated.value = frozenset(zones)

    async def stop(self):
        for daemon in self.daemons:
            await daemon.abort()
        for standin in [self.store, *self.replicas]:
            await standin.stop()

    async def connect(self, daemon=0):
        host, _, port = self.daemons[daemon].address.partition(":")
        return await open_socket(host, int(port), 1.0)

    def encode(self, path, body=b"", key=b"key1", **headers):
        self.request_count += 1
        fields = [
            (b"Host", b"h.example"),
            (b"X-Greengagehoist-Request-Id", b"r%d" % self.request_count),
            (b"X-Greengagehoist-Deadline-Ms", b"1500"),
            (b"Api-Key", key),
        ]
        fields += [(name.replace("_", "-").encode(), value) for name, value in headers.items()]
        return encode_request(b"POST", path.encode(), tuple(fields), body)

    async def call(self, path, body=b"", daemon=0, **headers):
        """Send a request on a new connection and return status, headers and body."""
        sock = await self.connect(daemon)
        sock.write(self.encode(path, body, **headers))
        reader = ResponseReader(sock, b"POST")
        try:
            head = await reader.head()
            return head.status, head.headers, await reader.whole_body()
        finally:
            sock.abort()


def group_of(system, path):
    """Return the replicas that run the requests of a path."""
    return system.desks if path in ("/look/", "/book/") else system.engines


async def wait_until(condition, timeout=5.0):
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.01)
