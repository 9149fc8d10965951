"""Stand-in of a model engine with continuous batching."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, StreamingResponse
from starlette.routing import Route

from greengagehoist.standins._cache import PrefixCache
from greengagehoist.standins._faults import Faults, control_routes
from greengagehoist.standins._functions import generate_tokens, token_digest
from greengagehoist.standins._targets import LoadReport

CACHE_BLOCKS = 4096


class Sequence:
    """One generation that waits for the batch or runs in it.

    :ivar position: index of the next token.
    :ivar prefill_steps: remaining steps before the first token.
    """

    def __init__(self, body: dict[str, Any], tokens: tuple[str, ...]):
        self.body = body
        self.tokens = tokens
        self.position = body["offset"]
        self.prefill_steps = 0
        self.produced: asyncio.Queue[str | None] = asyncio.Queue()


class Engine:
    """A model engine that runs up to ``batch`` sequences and generates one token of each per step.

    :param step_s: duration of one step in seconds.
    :ivar fence: highest fencing number seen so far.
    """

    def __init__(
        self, model: str, step_s: float, batch: int, incarnation: int, checks_fence: bool = False
    ):
        self.model = model
        self.step_s = step_s
        self.load = LoadReport(batch, incarnation)
        self.records: list[dict] = []
        self.fence = 0
        self.checks_fence = checks_fence
        self.models = [model]
        self.adapters: list[str] = []
        self.serves_as = ""
        self.cache = PrefixCache(CACHE_BLOCKS)
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._stepper: asyncio.Task | None = None

    async def generate(self, request: Request) -> Any:
        """Stream the tokens from the requested offset."""
        body = await request.json()
        if self.load.state == "leaving":
            return JSONResponse({"error": "leaving", "incarnation": self.load.incarnation}, 503)
        model = body.get("model") or self.model
        if model not in self.models:
            return JSONResponse({"error": "model", "model": model}, 503)
        tokens = generate_tokens(model, body["input"], body["max_tokens"])
        sequence = Sequence(body, tokens)
        sequence.prefill_steps = self.cache.use(body["input"], time.monotonic())
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda item: -item.body["priority"])
        if self._stepper is None or self._stepper.done():
            self._stepper = asyncio.create_task(self._step_until_idle())
        return StreamingResponse(self._stream_lines(sequence), media_type="application/x-ndjson")

    async def _stream_lines(self, sequence: Sequence) -> AsyncIterator[str]:
        identity = {name: sequence.body[name] for name in ("request_id", "stage", "attempt")}
        offset = sequence.body["offset"]
        try:
            while (token := await sequence.produced.get()) is not None:
                tokens = [token]
                while not sequence.produced.empty() and (more := sequence.produced.get_nowait()):
                    tokens.append(more)
                yield json.dumps({**identity, "offset": offset, "tokens": tokens}) + "\n"
                offset += len(tokens)
                if offset == len(sequence.tokens):
                    break
            if offset < len(sequence.tokens):
                return
            end = {"length": len(sequence.tokens), "digest": token_digest(sequence.tokens)}
            yield json.dumps({**identity, "end": True, **end}) + "\n"
        finally:
            self._remove(sequence)
            self.records.append({**identity, "tokens": sequence.position - sequence.body["offset"]})

    def _remove(self, sequence: Sequence) -> None:
        for group in (self._waiting, self._running):
            if sequence in group:
                group.remove(sequence)

    async def _step_until_idle(self) -> None:
        while self._waiting or self._running:
            while self._waiting and len(self._running) < self.load.capacity:
                self._running.append(self._waiting.pop(0))
            await asyncio.sleep(self.step_s)
            for sequence in list(self._running):
                self._advance(sequence)

    def _advance(self, sequence: Sequence) -> None:
        if sequence.prefill_steps > 0:
            sequence.prefill_steps -= 1
            return
        if sequence.position < len(sequence.tokens):
            sequence.produced.put_nowait(sequence.tokens[sequence.position])
            sequence.position += 1
        if sequence.position >= len(sequence.tokens):
            sequence.produced.put_nowait(None)
            self._remove(sequence)

    async def cancel(self, request: Request) -> JSONResponse:
        """Stop the generation of a request."""
        body = await request.json()
        found = [s for s in self._waiting + self._running if _matches(s, body)]
        for sequence in found:
            self._remove(sequence)
            sequence.produced.put_nowait(None)
        return JSONResponse({"cancelled": len(found)})

    async def cache_events(self, request: Request) -> JSONResponse:
        """Return the published cache events after a sequence number."""
        after = int(request.query_params.get("after", "0"))
        return JSONResponse({"events": self.cache.events(after, time.monotonic())})

    async def report(self, request: Request) -> JSONResponse:
        """Return the load report."""
        self.load.queue, self.load.running = len(self._waiting), len(self._running)
        return JSONResponse(
            self.load.as_json(
                models=self.models,
                adapters=self.adapters,
                serves_as=self.serves_as,
                fence=self.fence,
                checks_fence=self.checks_fence,
            )
        )

    async def order(self, request: Request) -> JSONResponse:
        """Apply an order; reject it if fencing numbers are checked and a higher one was seen."""
        body = await request.json()
        order, fence = body["order"], body["fence"]
        if self.checks_fence and fence < self.fence:
            return JSONResponse({"error": "stale fencing number", "fence": self.fence}, 409)
        self.fence = max(self.fence, fence)
        match order:
            case {"kind": "load_model", "model": model} if model not in self.models:
                self.models.append(model)
            case {"kind": "load_adapter", "adapter": adapter} if adapter not in self.adapters:
                self.adapters.append(adapter)
            case {"kind": "set_role", "role": role}:
                self.serves_as = role
            case {"kind": "restart"}:
                self.load.incarnation += 1
        self.records.append({"order": order, "fence": fence})
        return JSONResponse({"applied": True, "fence": fence})

    async def leave(self, request: Request) -> JSONResponse:
        """Start refusing new work."""
        self.load.state = "leaving"
        return JSONResponse(self.load.as_json())


def _matches(sequence: Sequence, body: dict[str, Any]) -> bool:
    """Return whether a cancellation applies to a sequence.

    A cancellation that names an attempt does not stop a later attempt of the same request.
    """
    return all(
        sequence.body[name] == body[name] for name in ("request_id", "attempt") if name in body
    )


def build_engine(
    model: str,
    step_s: float = 0.002,
    batch: int = 16,
    incarnation: int = 1,
    checks_fence: bool = False,
) -> Faults:
    """Return a model engine as an ASGI application.

    :param checks_fence: whether the engine rejects orders with a stale fencing number.
    """
    engine = Engine(model, step_s, batch, incarnation, checks_fence)
    faults = Faults(None)
    faults.app = Starlette(
        routes=[
            Route("/generate", engine.generate, methods=["POST"]),
            Route("/cancel", engine.cancel, methods=["POST"]),
            Route("/orders", engine.order, methods=["POST"]),
            Route("/load", engine.report),
            Route("/cache/events", engine.cache_events),
            Route("/control/leave", engine.leave, methods=["PUT"]),
            *control_routes(faults, engine.records),
        ]
    )
    return faults
