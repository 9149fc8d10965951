"""A gateway is cut off from the store; just after the cut a replica leaves.

Each cycle cuts one gateway from the store for 3 s. A replica leaves without reporting that it drains:
its row is removed 0.4 s after the end of the cut. It serves for 5 s more, then exits.
The requests are bookings, which may run once.
"""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
import rig  # noqa: E402

CYCLES = 13
CUT_S = 3.0
CYCLE_S = 7.8
# After the end of the cut.
REMOVED_AFTER_S = 0.4
# A replica that leaves serves for drain_ms and "a little longer (at times many seconds)".
SERVES_S = 5.0
PERIOD_S = 0.04
# Tolerance for the clock of this process.
MARGIN_S = 0.05


async def play(deployment: rig.Deployment, trouble: bool) -> list[str]:
    record, number = deployment.record, 0

    async def add() -> rig.Replica:
        nonlocal number
        number += 1
        replica = rig.Replica(number, "desk", "plain", record)
        replica.work_s = 0.09
        return await deployment.add_replica(replica)

    current = [await add() for _ in range(4)]
    routes = [rig.route("book", "non_idempotent", "desk", max_attempts=1)]
    await deployment.start(routes, [rig.plain_service("desk")], 3)
    sent: dict[str, tuple[rig.Gateway, float]] = {}
    answers: dict[str, rig.Answer] = {}
    tasks: set[asyncio.Task] = set()

    async def book(gateway: rig.Gateway, request_id: str) -> None:
        answers[request_id] = await deployment.request(
            gateway, "POST", "/book/x", request_id, body=b"job"
        )

    async def load() -> None:
        while True:
            for gateway in deployment.gateways:
                request_id = deployment.new_id(f"{gateway.name}-")
                sent[request_id] = (gateway, time.monotonic())
                task = asyncio.create_task(book(gateway, request_id))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(PERIOD_S)

    async def stop_later(replica: rig.Replica) -> None:
        await asyncio.sleep(SERVES_S)
        await replica.stop()

    clients, found, out = asyncio.create_task(load()), [], []
    leavers: list[tuple[rig.Replica, float]] = []
    for cycle in range(CYCLES):
        began, gateway = time.monotonic(), deployment.gateways[cycle % 3]
        current.append(await add())
        if trouble:
            await gateway.link.cut()
            record(f"{gateway.name} is cut off from the store")
        await asyncio.sleep(CUT_S)
        if trouble:
            gateway.link.heal()
            record(f"{gateway.name} reaches the store again")
            out.append((gateway, began, time.monotonic()))
        await asyncio.sleep(REMOVED_AFTER_S)
        leaver = current.pop(0)
        removed_at = deployment.store.remove("servers", leaver.id)
        record(f"the row of {leaver.id} is removed; it serves for {SERVES_S} s more")
        leavers.append((leaver, removed_at))
        stop = asyncio.create_task(stop_later(leaver))
        tasks.add(stop)
        stop.add_done_callback(tasks.discard)
        await asyncio.sleep(max(0.0, began + CYCLE_S - time.monotonic()))
    clients.cancel()
    for leaver, removed_at in leavers:
        for at, request_id in leaver.arrivals:
            gateway, sent_at = sent[request_id]
            late = at - removed_at - rig.DRAIN_S
            # In touch: for contact_ms before, the gateway had a path to the store.
            touch = all(
                item is not gateway or sent_at < began or sent_at > ended + rig.CONTACT_S + MARGIN_S
                for item, began, ended in out
            )
            if late > MARGIN_S and touch:
                status = answers[request_id].status if request_id in answers else 0
                found.append(
                    f"DRAIN: {request_id}, sent by its client at {record.at(sent_at)}, reaches "
                    f"{leaver.id} at {record.at(at)}, {at - removed_at:.2f} s after the removal of its row; "
                    f"its client got {status or 'no answer'}"
                )
    return found


rig.main(CASE, play)
