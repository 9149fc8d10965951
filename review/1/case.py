"""Gateways are stopped in turn with SIGTERM; one answer in 301 is as long as its request allows.

Each gateway is the only one of its zone, so that the platform goes on sending it the clients of that
zone after it has reported that it is not ready. All streams may have 400 tokens. Most have 50 and take
0.5 s; one in 301 has 400 and takes 4 s.
"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
import rig  # noqa: E402

STOPS = 8
# Seconds from one SIGTERM to the next, drawn from this range.
STOP_PERIOD_S = (11.0, 13.5)
PERIOD_S = 1 / 30
LONG_EVERY = 301
SHORT_EVENTS, LONG_EVENTS = 10, 80
# A request that was sent later than this after the SIGTERM is not excused by a replica that works long.
EXCUSED_S = 3.0
MARGIN_S = 0.05
GRACE_S = rig.BOUNDS["grace_s"]


class Engine(rig.Replica):
    """Answers streams with 5 tokens an event; the body says how many events the answer has."""

    async def stream(self, request: rig.Message, writer: asyncio.StreamWriter, echo: list) -> None:
        self.event_ids = range(1, int(request.body) + 1)
        await super().stream(request, writer, echo)


async def play(deployment: rig.Deployment, trouble: bool) -> list[str]:
    record = deployment.record
    for number in range(1, 5):
        await deployment.add_replica(Engine(number, "llm", "engine", record))
    text = rig.route("text", "streaming", "llm", max_attempts=1, resumable=False, gap_target_ms=400)
    text |= {"timeout_ms": 12000, "target_latency_ms": 1600}
    engine = {**rig.plain_service("llm"), "engine": {"slots": 48}}
    await deployment.start([text], [engine], 2, own_zones=True)
    sent: dict[str, tuple[rig.Gateway, float, int]] = {}
    answers: dict[str, rig.Answer] = {}
    tasks: set[asyncio.Task] = set()
    count = 0

    async def stream(gateway: rig.Gateway) -> None:
        nonlocal count
        count += 1
        events = LONG_EVENTS if count % LONG_EVERY == 0 else SHORT_EVENTS
        request_id = deployment.new_id(f"{gateway.name}-")
        sent[request_id] = (gateway, time.monotonic(), events)
        headers = [
            ("X-Greengagehoist-Model", "m"),
            ("X-Greengagehoist-Token-Count", f"150,{5 * LONG_EVENTS}"),
            ("X-Greengagehoist-Prefix-Hash", f"5c1e07a2:100,{count:08x}:50"),
        ]
        answers[request_id] = await deployment.request(
            gateway, "POST", "/text/x", request_id, headers, b"%d" % events, 12000
        )

    async def load() -> None:
        while True:
            for gateway in deployment.gateways:
                task = asyncio.create_task(stream(gateway))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(PERIOD_S)

    clients, stops, rng = asyncio.create_task(load()), [], random.Random()
    await asyncio.sleep(4.0)
    for number in range(STOPS):
        began, gateway = time.monotonic(), deployment.gateways[number % 2]
        if trouble:
            record(f"{gateway.name} gets SIGTERM")
            gateway.send(signal.SIGTERM)
            while gateway.process.poll() is None and time.monotonic() < began + GRACE_S:
                await asyncio.sleep(0.02)
            stops.append((gateway, began, time.monotonic()))
            gateway.kill()
            record(f"{gateway.name} has ended after {time.monotonic() - began:.2f} s and starts again")
            gateway.start()
        await asyncio.sleep(max(0.0, began + rng.uniform(*STOP_PERIOD_S) - time.monotonic()))
    clients.cancel()
    ran = {request_id for replica in deployment.replicas for _, request_id in replica.ran}
    found = []
    for request_id, answer in answers.items():
        gateway, sent_at, events = sent[request_id]
        cut = request_id in ran and not answer.whole
        for stopped, began, ended in stops:
            if cut and stopped is gateway and began + EXCUSED_S + MARGIN_S < sent_at < ended:
                found.append(
                    f"LOST: {request_id}, sent {sent_at - began:.2f} s after the SIGTERM of "
                    f"{gateway.name} and passed on, was cut after {answer.body.count(b'id: ')} of "
                    f"{events} events"
                )
    return found


rig.main(CASE, play)
