"""A replica restarts just before an outage of the store and leaves during the outage.

Each round: a replica crashes and starts again 0.1 s later under its id, and writes its row with its new
`born`. Then the store is down for 4.5 s. Meanwhile the replica is asked to leave: all its answers carry
`Server-Leaving: 1`. It reports `draining` with its first heartbeat after the store's return, and serves
for drain_ms from then on. Without the trouble, it leaves in the same way, but neither it nor the store
was down before.
"""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
import rig  # noqa: E402

ROUNDS = 6
DOWN_S = 0.1
OUTAGE_S = 4.5
# After the beginning of the outage.
LEAVES_AFTER_S = 0.5
HEARTBEAT_S = 1.2
PERIOD_S = 0.04
MARGIN_S = 0.05


class Replica(rig.Replica):
    """Writes its row with each heartbeat and says in its answers that it leaves."""

    leaving = False
    accepted_at = 0.0

    async def handle(self, request: rig.Message, writer: asyncio.StreamWriter) -> None:
        self.extra = [("Server-Leaving", "1")] if self.leaving else []
        await super().handle(request, writer)

    async def beat(self, store: rig.Store) -> None:
        """Write the row every HEARTBEAT_S, if the store accepts it."""
        while True:
            if store.available:
                state = "draining" if self.leaving else "ready"
                store.put("servers", self.id, self.entry(state))
                if self.leaving and not self.accepted_at:
                    self.accepted_at = time.monotonic()
                    self.record(f"the store has accepted that {self.id} is draining")
            await asyncio.sleep(HEARTBEAT_S)


async def play(deployment: rig.Deployment, trouble: bool) -> list[str]:
    record, store = deployment.record, deployment.store
    current: list[Replica] = []
    beats: dict[str, asyncio.Task] = {}

    async def add(number: int) -> None:
        replica = Replica(number, "desk", "plain", record)
        current.append(await deployment.add_replica(replica))
        beats[replica.id] = asyncio.create_task(replica.beat(store))

    for number in range(1, 4):
        await add(number)
    routes = [rig.route("book", "non_idempotent", "desk", max_attempts=1)]
    await deployment.start(routes, [rig.plain_service("desk")], 3)
    sent: dict[str, tuple[rig.Gateway, float]] = {}
    # When each gateway had passed on the first answer of a replica that says that it leaves.
    told: dict[tuple[str, str], float] = {}
    tasks: set[asyncio.Task] = set()

    async def book(gateway: rig.Gateway, request_id: str) -> None:
        answer = await deployment.request(gateway, "POST", "/book/x", request_id, body=b"job")
        if answer.headers.get("Server-Leaving") and answer.whole:
            replica_id = answer.headers.get(rig.STAMP).partition(".")[0]
            if (gateway.name, replica_id) not in told:
                told[gateway.name, replica_id] = time.monotonic()
                record(f"{gateway.name} has passed on that {replica_id} leaves")

    async def load() -> None:
        while True:
            for gateway in deployment.gateways:
                request_id = deployment.new_id(f"{gateway.name}-")
                sent[request_id] = (gateway, time.monotonic())
                task = asyncio.create_task(book(gateway, request_id))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(PERIOD_S)

    clients = asyncio.create_task(load())
    for number in range(4, 4 + ROUNDS):
        await add(number)
        await asyncio.sleep(3.0)
        replica = current.pop(0)
        if trouble:
            beats[replica.id].cancel()
            port = replica.port
            record(f"{replica.id} crashes")
            await replica.stop()
            await asyncio.sleep(DOWN_S)
            await replica.start(port)
            replica.born = int(time.time() * 1000)
            beats[replica.id] = asyncio.create_task(replica.beat(store))
            await asyncio.sleep(0.02)
            record(f"{replica.id} has started again and written its row; the store is down")
            store.available = False
        began = time.monotonic()
        await asyncio.sleep(LEAVES_AFTER_S)
        replica.leaving = True
        record(f"{replica.id} leaves")
        await asyncio.sleep(max(0.0, began + OUTAGE_S - time.monotonic()))
        store.available = True
        if trouble:
            record("the store is back")
        while not replica.accepted_at:
            await asyncio.sleep(0.02)
        await asyncio.sleep(max(0.0, replica.accepted_at + rig.DRAIN_S + 0.5 - time.monotonic()))
        beats[replica.id].cancel()
        store.remove("servers", replica.id)
        await replica.stop()
        record(f"{replica.id} has left")
    clients.cancel()
    for beat in beats.values():
        beat.cancel()
    found = []
    for replica in deployment.replicas:
        for at, request_id in replica.arrivals:
            gateway, sent_at = sent[request_id]
            known_at = told.get((gateway.name, replica.id), sent_at)
            if sent_at > known_at + rig.DRAIN_S + MARGIN_S:
                found.append(
                    f"DRAIN: {request_id} reaches {replica.id} at {record.at(at)}; its client sent it "
                    f"{sent_at - known_at:.2f} s after {gateway.name} had passed on that it leaves"
                )
    return found


rig.main(CASE, play)
