"""A gateway is killed; its clients resume their streams at the other one.

The ids of the events are Unix milliseconds (13 digits). All replicas of the service number a stream alike:
the first id comes with the prompt.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
import rig  # noqa: E402

STREAMS = 24
EVENTS = 40
EVENT_S = 0.05
KILLED_AFTER_S = 0.8
ATTEMPTS = 3
DEADLINE_MS = 8000


class Engine(rig.Replica):
    """Answers a prompt, which says when it was asked, with events that are numbered from there."""

    async def stream(self, request: rig.Message, writer: asyncio.StreamWriter, echo: list) -> None:
        first = int(request.body)
        self.event_ids = [first + round(1000 * EVENT_S) * index for index in range(1, EVENTS + 1)]
        await super().stream(request, writer, echo)


async def play(deployment: rig.Deployment, trouble: bool) -> list[str]:
    for number in range(1, 4):
        await deployment.add_replica(Engine(number, "llm", "engine", deployment.record))
    text = rig.route("text", "streaming", "llm", resumable=True, gap_target_ms=400)
    text |= {"timeout_ms": DEADLINE_MS, "target_latency_ms": 1700}
    await deployment.start([text], [{**rig.plain_service("llm"), "engine": {"slots": 48}}], 2)
    requests, short, denied = 0, 0, []

    async def stream(number: int) -> None:
        nonlocal requests, short
        prompt = b"%d" % (time.time_ns() // 1_000_000)
        headers = [
            ("X-Greengagehoist-Model", "m"),
            ("X-Greengagehoist-Token-Count", "150,200"),
            ("X-Greengagehoist-Prefix-Hash", f"5c1e07a2:100,{number:08x}:50"),
        ]
        body, last = b"", []
        for attempt in range(ATTEMPTS):
            # Retries reach other nodes.
            gateway = deployment.gateways[min(attempt, 1)]
            request_id = deployment.new_id("s")
            requests += 1
            answer = await deployment.request(
                gateway, "POST", "/text/x", request_id, [*headers, *last], prompt, DEADLINE_MS
            )
            body += answer.body[: answer.body.rfind(b"\n\n") + 2]
            if answer.whole and answer.status == 200:
                break
            if 300 <= answer.status < 500 and answer.status not in (408, 421, 429):
                denied.append(f"{request_id}: {answer.status}, {last}")
                # No request is retried after 400.
                break
            if body:
                last = [("Last-Event-Id", body.split(b"\n\n")[-2].split(b"\n")[0][4:].decode())]
        if body.count(b"\n\n") < EVENTS:
            short += 1

    streams = [asyncio.create_task(stream(number)) for number in range(STREAMS)]
    await asyncio.sleep(KILLED_AFTER_S)
    if trouble:
        deployment.record(f"{deployment.gateways[0].name} is killed")
        deployment.gateways[0].send(signal.SIGKILL)
    await asyncio.gather(*streams)
    deployment.record(f"{requests} requests, {len(denied)} denied, {short} of {STREAMS} streams not whole")
    if len(denied) <= 5 + requests / 500:
        return []
    return [
        f"DENIED: {len(denied)} of {requests} requests, all proper, ended with a 4xx of the gateway; "
        f"{short} of {STREAMS} streams were never completed; the first: {denied[0]}"
    ]


rig.main(CASE, play)
