"""Traffic of the chaos test."""

import asyncio
import json
import random
import time
from typing import Any

import aiosonic
from aiosonic.timeout import Timeouts

from benchmarks._chaos_oracle import Booking, Summary
from greengagehoist.standins import (
    CALL_FAILURES,
    STAGES,
    Deployment,
    credential_of,
    run_pipeline,
    token_digest,
)

MAX_ATTEMPTS = 6
MAX_TOKENS = 24
TIMEOUTS = Timeouts(sock_connect=1, sock_read=12, request_timeout=12)


class Traffic:
    """Callers that send requests until stopped and record the outcomes."""

    def __init__(self, deployment: Deployment, rng: random.Random):
        self.deployment = deployment
        self.rng = rng
        self.bookings: list[Booking] = []
        self.summaries: list[Summary] = []
        self.stopping = False

    async def run(self, customers: tuple[str, ...], callers: int, pause_s: float) -> None:
        """Run ``callers`` callers for each customer until :attr:`stopping` is set."""
        coroutines = [
            self._caller(customer, number, pause_s)
            for customer in customers
            for number in range(callers)
        ]
        await asyncio.gather(*coroutines)

    async def _caller(self, customer: str, number: int, pause_s: float) -> None:
        sequence = 0
        while not self.stopping:
            sequence += 1
            if self.rng.random() < 0.3:
                await self._book(customer, f"{customer}-{number}-{sequence}")
            else:
                stream = self.rng.random() < 0.5
                await self._summarise(customer, f"street {number} {sequence}", stream)
            await asyncio.sleep(pause_s * self.rng.random() * 2)

    def _address(self) -> str:
        name = self.rng.choice(self.deployment.daemons())
        return self.deployment.address(name, "callers")

    async def _post(self, path: str, customer: str, body: Any, key: str = "") -> Any:
        headers = {"Authorization": f"Bearer {credential_of(customer)}"}
        if key:
            headers["Idempotency-Key"] = key
        client = aiosonic.HTTPClient()
        response = await client.request(
            f"http://{self._address()}{path}",
            "POST",
            headers=headers,
            json=body,
            timeouts=TIMEOUTS,
        )
        return response.status_code, await response.text()

    async def _book(self, customer: str, key: str) -> None:
        """Book with retries under one idempotency key.

        The outcome is ``not_run`` only if every attempt reported it: an attempt without an answer
        may have run even if a later one was refused.
        """
        outcomes = []
        for attempt in range(MAX_ATTEMPTS):
            outcomes.append(await self._try_booking(customer, key))
            if outcomes[-1] in {"ok", "ran"}:
                break
            await asyncio.sleep(0.2 * 2**attempt * self.rng.random())
        final = outcomes[-1]
        if final == "not_run" and set(outcomes) != {"not_run"}:
            final = "unknown"
        self.bookings.append(Booking(key, final))

    async def _try_booking(self, customer: str, key: str) -> str:
        """Send a booking once and return its outcome."""
        try:
            status, text = await self._post(
                "/v1/services/job-desk/book", customer, {"args": {"drain": key}}, key
            )
            answer = json.loads(text)
        except CALL_FAILURES:
            return "unknown"
        if status == 200:
            return "ok" if answer["output"].get("drain") == key else "unknown"
        return answer["error"]["outcome"]

    async def _summarise(self, customer: str, text: str, stream: bool) -> None:
        body = {"input": text, "max_tokens": MAX_TOKENS, "stream": stream}
        sent = time.time()
        try:
            status, answer = await self._post("/v1/pipelines/round-summary", customer, body)
            outcome, tokens = _classify_answer(status, answer, text, stream)
        except CALL_FAILURES:
            outcome, tokens = "unknown", 0
        self.summaries.append(Summary(customer, sent, time.time(), outcome, tokens))


def _classify_answer(status: int, answer: str, text: str, stream: bool) -> tuple[str, int]:
    """Return the outcome of a pipeline answer and its number of tokens."""
    expected = run_pipeline(list(STAGES), text, MAX_TOKENS)
    if stream and status == 200:
        return _classify_stream(answer, expected)
    body = json.loads(answer)
    if status != 200:
        return body["error"]["outcome"], 0
    return ("right" if body["output"] == expected else "wrong"), body["tokens"]


def _classify_stream(answer: str, expected: str) -> tuple[str, int]:
    tokens: list[str] = []
    for block in answer.split("\n\n"):
        name, _, data = block.partition("\ndata: ")
        if name == "event: tokens":
            chunk = json.loads(data)
            tokens[chunk["offset"] :] = chunk["tokens"]
        elif name == "event: end":
            text_matches = " ".join(tokens) == expected
            digest_matches = json.loads(data)["digest"] == token_digest(tokens)
            return ("right" if text_matches and digest_matches else "wrong"), len(tokens)
        elif name == "event: error":
            return json.loads(data)["error"]["outcome"], 0
    return "unknown", 0
