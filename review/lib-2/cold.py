"""Parts of the cases with cold replicas."""

import asyncio
import time
from bisect import bisect_left

from rig import BOUNDS, Client, Gateway, Replica, encode

# Settings of the deployment, by demands/LATER.md.
OVERSHOOT, SLACK = 1.5, 5
COLD_BOUNDS = BOUNDS | {"cold_overshoot": OVERSHOOT, "cold_slack": SLACK}
HEARTBEAT_S = 1.2


class ColdReplica(Replica):
    """A sound replica that states in its entry for how long it is cold.

    :ivar cold: begin and end of its cold periods.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.cold: list[tuple[float, float]] = []
        self.up = True

    def begin_cold(self, seconds: float) -> None:
        """Start as a new incarnation that is cold."""
        now = time.monotonic()
        self.born = int(time.time() * 1000)
        self.cold.append((now, now + seconds))
        self.record.write(f"replica {self.replica_id} starts, cold for {seconds:g} s")

    def entry(self, state: str = "ready") -> dict:
        """Return its entry in the store."""
        left_s = self.cold[-1][1] - time.monotonic() if self.cold else 0.0
        return super().entry(state) | {"cold_remaining_ms": max(0, round(left_s * 1000))}

    async def run(self, req, request_id, writer) -> None:
        """Run a request."""
        self.note_run(request_id)
        await asyncio.sleep(0.02)
        writer.write(encode("HTTP/1.1 200 OK", self.headers(request_id), b"ok"))
        await writer.drain()

    def most_in_a_second(self) -> int:
        """Return the most requests that arrived within one second of a cold period."""
        most = 0
        for begin, end in self.cold:
            times = sorted(at for at, _ in self.arrived if begin <= at < end)
            counts = [bisect_left(times, at + 1.0) - n for n, at in enumerate(times)]
            most = max([most, *counts])
        return most


async def write_entries(store, replicas) -> None:
    """Write the entries of the running replicas every heartbeat interval."""
    while True:
        for replica in replicas:
            if replica.up:
                store.put("servers", replica.replica_id, replica.entry())
        await asyncio.sleep(HEARTBEAT_S)


async def start_gateways(count, zones, folder, store, record, gateways) -> None:
    """Start gateways and wait until they are ready and linked."""
    for number in range(count):
        gateway = Gateway(
            f"vm{number}", zones[number], folder, store.address, record, bounds=COLD_BOUNDS
        )
        gateways.append(gateway)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    # Traffic starts 12 s after the machines in the small deployments.
    await asyncio.sleep(12.0)


async def look(gateway, record, request_id, path="/look/x") -> None:
    """Send one request on a connection of its own and record its answer."""
    client = Client(gateway.port, record)
    result = "no connection"
    try:
        await client.open()
        client.send("GET", path, request_id)
        async with asyncio.timeout(9.0):
            answer = await client.receive()
        result = str(answer.status) if answer is not None else "connection closed"
    except (OSError, TimeoutError) as exc:
        result = type(exc).__name__
    finally:
        client.close()
    record.write(f"client {request_id}: {result}")


def judge(replicas, per_s, record) -> bool:
    """Return whether a cold replica got more requests in one second than the rule allows."""
    allowed = per_s * OVERSHOOT + SLACK
    most = {item.replica_id: item.most_in_a_second() for item in replicas}
    record.write(f"most requests in one second while cold: {most}; allowed: {allowed:g}")
    return max(most.values()) > allowed
