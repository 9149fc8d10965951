"""Fault injection for stand-ins, and the control routes that all of them share."""

import asyncio
from collections import OrderedDict, deque
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

# Longest time for which ``freeze`` or ``silence`` holds a request.
MAX_HOLD_S = 600.0
MAX_TRACKED_CONNECTIONS = 10_000


class Faults:
    """ASGI middleware that injects the faults set through ``/control/faults``.

    - ``down``: respond with 503.
    - ``delay_s``: read the request and run it this many seconds later, even if the caller has
      closed its connection by then.
    - ``freeze``: start no request until the fault is cleared.
    - ``lose_answers``: close the connection in place of this many of the next responses, after the
      request has run.
    - ``drop_before``: close the connections of this many of the next requests without running them.
    - ``silence``: on connections that have carried a request before the fault is set, run no
      further request and send no further bytes. New connections work.
    """

    def __init__(self, app: Any):
        self.app = app
        self.active: dict[str, Any] = {}
        self._connections: OrderedDict[tuple, None] = OrderedDict()
        self._silent: set[tuple] = set()
        self._delayed: list[str] = []

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        if scope["type"] != "http" or scope["path"].startswith("/control/"):
            await self.app(scope, receive, send)
            return
        client = tuple(scope.get("client") or ("", 0))
        self._connections[client] = None
        while len(self._connections) > MAX_TRACKED_CONNECTIONS:
            self._connections.popitem(last=False)
        if client in self._silent:
            await asyncio.sleep(MAX_HOLD_S)
        await self._wait_while_frozen()
        if self.active.get("down"):
            await JSONResponse({"error": "down"}, 503)(scope, receive, send)
            return
        if self._consume("drop_before"):
            _abort(send)
            return
        if delay := self.active.get("delay_s"):
            receive = await self._delay(scope["path"], delay, receive)
        await self.app(scope, receive, self._wrap_send(client, send))

    async def _delay(self, path: str, delay: float, receive: Any) -> Any:
        """Read the whole request, wait, and return an ASGI ``receive`` that replays it."""
        messages = deque([await receive()])
        while messages[-1].get("more_body"):
            messages.append(await receive())
        self._delayed.append(path)
        await asyncio.sleep(delay)
        self._delayed.remove(path)

        async def replay() -> dict:
            return messages.popleft() if messages else await receive()

        return replay

    async def _wait_while_frozen(self) -> None:
        waited = 0.0
        while self.active.get("freeze") and waited < MAX_HOLD_S:
            await asyncio.sleep(0.05)
            waited += 0.05

    def _consume(self, fault: str) -> bool:
        remaining = self.active.get(fault, 0)
        if remaining > 0:
            self.active[fault] = remaining - 1
        return remaining > 0

    def _wrap_send(self, client: tuple, send: Any) -> Any:
        dropped = False

        async def forward(message: dict) -> None:
            nonlocal dropped
            if client in self._silent:
                await asyncio.sleep(MAX_HOLD_S)
            if message["type"] == "http.response.start" and self._consume("lose_answers"):
                dropped = True
                _abort(send)
            if not dropped:
                await send(message)

        return forward

    async def get_faults(self, request: Request) -> JSONResponse:
        """Return the active faults and the paths of the delayed requests."""
        return JSONResponse({"active": self.active, "delayed": self._delayed})

    async def set_faults(self, request: Request) -> JSONResponse:
        """Replace the active faults with the JSON object in the request body."""
        self.active = await request.json()
        self._silent = set(self._connections) if self.active.get("silence") else set()
        return JSONResponse(self.active)


def _abort(send: Any) -> None:
    """Close the connection without a response; uvicorn's ``send`` is a method that holds it."""
    send.__self__.transport.abort()


def control_routes(faults: Faults, records: list[dict]) -> list[Route]:
    """Return the control routes of a stand-in.

    :param records: executed requests, listed by ``/control/records``.
    """

    async def list_records(request: Request) -> JSONResponse:
        return JSONResponse(records)

    return [
        Route("/control/faults", faults.get_faults, methods=["GET"]),
        Route("/control/faults", faults.set_faults, methods=["PUT"]),
        Route("/control/records", list_records),
    ]
