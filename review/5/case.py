"""Users ask about long documents: prompts of 100,000 tokens and more, which fit a replica's memory.

Without the trouble, the same users ask about documents of 90,000 tokens.
"""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
import rig  # noqa: E402

REQUESTS = 40
# The engines have memory for 444,000 tokens.
LONG_TOKENS, USUAL_TOKENS = 120_000, 90_000
DEADLINE_MS = 8000


async def play(deployment: rig.Deployment, trouble: bool) -> list[str]:
    for number in range(1, 4):
        await deployment.add_replica(rig.Replica(number, "llm", "engine", deployment.record))
    text = rig.route("text", "streaming", "llm", resumable=True, gap_target_ms=400)
    text |= {"timeout_ms": DEADLINE_MS, "target_latency_ms": 1700}
    engine = {"slots": 48, "kv_capacity": 444000}
    await deployment.start([text], [{**rig.plain_service("llm"), "engine": engine}], 2)
    tokens, denied = LONG_TOKENS if trouble else USUAL_TOKENS, []

    async def ask(number: int) -> None:
        headers = [
            ("X-Greengagehoist-Model", "m"),
            ("X-Greengagehoist-Token-Count", f"{tokens},200"),
            ("X-Greengagehoist-Prefix-Hash", f"5c1e07a2:{tokens - 50},{number:08x}:50"),
        ]
        gateway, request_id = deployment.gateways[number % 2], deployment.new_id("s")
        answer = await deployment.request(
            gateway, "POST", "/text/x", request_id, headers, b"p", DEADLINE_MS
        )
        if 300 <= answer.status < 500 and answer.status not in (408, 421, 429):
            denied.append(f"{request_id}: {answer.status}")

    await asyncio.gather(*(ask(number) for number in range(REQUESTS)))
    deployment.record(f"{REQUESTS} requests, {len(denied)} denied")
    if len(denied) <= 5 + REQUESTS / 500:
        return []
    return [
        f"DENIED: {len(denied)} of {REQUESTS} requests, all proper, ended with a 4xx of the gateway; "
        f"the first: {denied[0]}"
    ]


rig.main(CASE, play)
