"""Random faults of the soak."""

import asyncio
import random
import signal
import time
from collections import Counter

from benchmarks._soak_checks import LimitedTime
from benchmarks._soak_proxy import (
    Delaying,
    FaultProxy,
    OneWay,
    ProxyFault,
    Resetting,
    Silencing,
)
from benchmarks._soak_system import (
    CRASHING_SERVICE,
    EVENTS,
    USUAL_ANSWER_S,
    Gateway,
    SoakSystem,
)
from greengagehoist.standins import (
    BreaksOff,
    EndsStream,
    Full,
    Healthy,
    LosesAnswers,
    MixesUp,
    Repeats,
    ReplicaStandin,
    Sheds,
    Silent,
    Writes,
)
from greengagehoist.standins._gateway_standins import event

SLOW_ANSWER_S = 0.8
# Answer of a replica to a request that resumes a stream.
ERROR_PAGE = (
    b"HTTP/1.1 200 OK\r\nX-Greengagehoist-Request-Id: {id}\r\nX-Greengagehoist-Server-Stamp: s\r\n"
    b"Content-Type: text/html\r\nContent-Length: 22\r\n\r\n<p>\n\nunavailable\n\n</p>"
)
# A restored store goes back by at most this, and the others write again within the second time.
RESTORED_SHARE = 0.5
MAX_COPY_AGE_S = 5.0
MAX_REWRITE_S = 1.5


class FaultInjector:
    """Applies faults drawn from a seeded generator; faults may overlap."""

    def __init__(self, system: SoakSystem, rng: random.Random):
        self.system = system
        self.rng = rng
        self.applied: Counter = Counter()
        self.revoked: dict[str, float] = {}
        self.left: list[tuple[str, float, float]] = []
        self.limited: list[LimitedTime] = []
        self._tasks: set[asyncio.Task] = set()
        self._busy: set[str] = set()

    async def run(self, until: float) -> None:
        """Start faults until a monotonic time, then wait until all have been reverted."""
        while time.monotonic() < until:
            task = asyncio.ensure_future(self._apply_random_fault())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.rng.uniform(0.1, 0.9))
        await asyncio.gather(*self._tasks)

    async def _apply_random_fault(self) -> None:
        choices = (
            self._signal,
            self._proxy_fault,
            self._replica_fault,
            self._store_fault,
            self._revoke,
            self._drain,
            self._leave,
            self._limit,
        )
        await self.rng.choice(choices)()

    async def _signal(self) -> None:
        gateway = self.rng.choice(self.system.gateways)
        if gateway.vm in self._busy:
            return
        self._busy.add(gateway.vm)
        action = self.rng.choice(("kill", "term", "pause", "hup"))
        self.applied[action] += 1
        try:
            match action:
                case "kill":
                    await gateway.restart(signal.SIGKILL)
                case "term":
                    await self._stop(gateway)
                case "pause":
                    gateway.send(signal.SIGSTOP)
                    await asyncio.sleep(self.rng.uniform(0.2, 4.5))
                    gateway.send(signal.SIGCONT)
                case "hup":
                    gateway.send(signal.SIGHUP)
        finally:
            self._busy.discard(gateway.vm)

    async def _stop(self, gateway: Gateway) -> None:
        """Stop a gateway and start it again, perhaps while plain answers take long."""
        plain = [item for item in self.system.replicas if item.kind == "plain"]
        slow = self.rng.random() < 0.5
        for replica in plain if slow else ():
            replica.pause_s = SLOW_ANSWER_S
        await gateway.restart(signal.SIGTERM)
        for replica in plain if slow else ():
            replica.pause_s = USUAL_ANSWER_S

    async def _proxy_fault(self) -> None:
        proxies = [gateway.store_proxy for gateway in self.system.gateways]
        proxy: FaultProxy = self.rng.choice([*proxies, *self.system.proxies.values()])
        fault: ProxyFault = self.rng.choice(
            (Delaying(self.rng.uniform(0.05, 0.6)), Resetting(), Silencing(), OneWay())
        )
        self.applied[type(fault).__name__] += 1
        proxy.begin(fault)
        if isinstance(fault, Resetting) or self.rng.random() < 0.3:
            proxy.reset_connections()
        await asyncio.sleep(self.rng.uniform(0.3, 4.5))
        proxy.end(fault)

    async def _replica_fault(self) -> None:
        replica = self._choose_replica()
        behaviour = self.rng.choice(
            (
                Full(),
                Sheds(b"%.2f" % self.rng.uniform(0.1, 2.0)),
                LosesAnswers(),
                BreaksOff(self.rng.randint(0, 4)),
                EndsStream(self._cut_position(), self.rng.random() < 0.3),
                MixesUp(),
                Repeats(),
                Silent(),
                Writes(ERROR_PAGE, self.rng.randint(1, 4)),
            )
        )
        replica.behaviour = behaviour
        self.applied[type(behaviour).__name__] += 1
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        if replica.behaviour is behaviour:
            replica.behaviour = Healthy()

    def _cut_position(self) -> int:
        """Return a position inside an event: a close between two events looks like an end."""
        event_bytes = len(event(0))
        return self.rng.randrange(len(EVENTS) // event_bytes) * event_bytes + self.rng.randrange(
            1, event_bytes
        )

    def _choose_replica(self) -> ReplicaStandin:
        """Return a replica that the faults of prompts do not use already."""
        usable = [item for item in self.system.replicas if item.service != CRASHING_SERVICE]
        return self.rng.choice(usable)

    async def _store_fault(self) -> None:
        store, restored = self.system.store, self.rng.random() < RESTORED_SHARE
        self.applied["store restored" if restored else "store away"] += 1
        copy = store.copy()
        if restored:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_COPY_AGE_S))
        store.available = False
        await asyncio.sleep(self.rng.uniform(0.3, 5.0))
        if restored:
            store.restore(copy)
        store.available = True
        if restored:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_REWRITE_S))
            self.system.write_again()

    async def _revoke(self) -> None:
        self.applied["revoke"] += 1
        old = self.system.keys
        self.system.keys = (f"key{self.system.version}",)
        self.system.write_config()
        self.revoked |= dict.fromkeys(old, time.monotonic())

    async def _drain(self) -> None:
        replica = self._choose_replica()
        self.applied["drain"] += 1
        self.system.write_replica_entry(replica, "draining")
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.system.write_replica_entry(replica)

    async def _leave(self) -> None:
        """Let a replica say that it leaves, while the list calls it ready, and start again."""
        replica = self._choose_replica()
        if replica.leaving:
            return
        self.applied["leave"] += 1
        replica.leaving, since = True, time.monotonic()
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        self.left.append((replica.replica_id, since, time.monotonic()))
        replica.leaving, replica.born = False, replica.born + 1
        self.system.write_replica_entry(replica)

    async def _limit(self) -> None:
        """Let a replica name a limit, then perhaps another one or no number."""
        replica = self._choose_replica()
        if replica.limit is not None:
            return
        self.applied["limit"] += 1
        for _ in range(self.rng.randint(1, 2)):
            per_s, since = self.rng.choice((0.0, 0.5, 1.0, 2.5, 8.0)), time.monotonic()
            replica.limit = b"%.1f" % per_s
            await asyncio.sleep(self.rng.uniform(1.0, 9.0))
            self.limited.append(LimitedTime(replica.replica_id, per_s, since, time.monotonic()))
        if self.rng.random() < 0.3:
            replica.limit = self.rng.choice((b"nan", b"-1", b"", b"1e9"))
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        replica.limit = None
