"""Faults that every stand-in can be told to show, and its record of runs."""

import asyncio
from collections import OrderedDict, deque
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

# A silent or frozen stand-in holds requests back for at most this many seconds.
LONGEST_HOLD_S = 600.0
MOST_CONNECTIONS = 10_000


class Faults:
    """ASGI middleware that applies the faults set through ``/control/faults``.

    The faults are ``down`` (refuse with 503), ``delay_s`` (read the request, run it later even if
    the caller has gone), ``freeze`` (do not start
    requests until cleared), ``lose_answers`` (number of next answers whose connection is closed
    after the effect), ``drop_before`` (number of next requests whose connection is closed without
    an effect) and ``silence`` (connections that are established when the fault is set get no
    bytes any more and no request on them has an effect; new ones work).
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
        while len(self._connections) > MOST_CONNECTIONS:
            self._connections.popitem(last=False)
        if client in self._silent:
            await asyncio.sleep(LONGEST_HOLD_S)
        await self._hold()
        if self.active.get("down"):
            await JSONResponse({"error": "down"}, 503)(scope, receive, send)
            return
        if self._take("drop_before"):
            _abort(send)
            return
        if delay := self.active.get("delay_s"):
            receive = await self._delay(scope["path"], delay, receive)
        await self.app(scope, receive, self._sender(client, send))

    async def _delay(self, path: str, delay: float, receive: Any) -> Any:
        """Read the whole request, wait, and return a function that gives the request again."""
        messages = deque([await receive()])
        while messages[-1].get("more_body"):
            messages.append(await receive())
        self._delayed.append(path)
        await asyncio.sleep(delay)
        self._delayed.remove(path)

        async def replay() -> dict:
            return messages.popleft() if messages else await receive()

        return replay

    async def _hold(self) -> None:
        waited = 0.0
        while self.active.get("freeze") and waited < LONGEST_HOLD_S:
            await asyncio.sleep(0.05)
            waited += 0.05

    def _take(self, fault: str) -> bool:
        left = self.active.get(fault, 0)
        if left > 0:
            self.active[fault] = left - 1
        return left > 0

    def _sender(self, client: tuple, send: Any) -> Any:
        lost = False

        async def forward(message: dict) -> None:
            nonlocal lost
            if client in self._silent:
                await asyncio.sleep(LONGEST_HOLD_S)
            if message["type"] == "http.response.start" and self._take("lose_answers"):
                lost = True
                _abort(send)
            if not lost:
                await send(message)

        return forward

    async def show(self, request: Request) -> JSONResponse:
        """Return the active faults and the paths of the requests that are being delayed."""
        return JSONResponse({"active": self.active, "delayed": self._delayed})

    async def set_faults(self, request: Request) -> JSONResponse:
        """Replace the active faults by the request's JSON object."""
        self.active = await request.json()
        self._silent = set(self._connections) if self.active.get("silence") else set()
        return JSONResponse(self.active)


def _abort(send: Any) -> None:
    """Close the connection of a request without an answer; uvicorn's ``send`` is bound to it."""
    send.__self__.transport.abort()


def control_routes(faults: Faults, records: list[dict]) -> list[Route]:
    """Return the control routes of a stand-in: its faults and its record of runs."""

    async def list_records(request: Request) -> JSONResponse:
        return JSONResponse(records)

    return [
        Route("/control/faults", faults.show, methods=["GET"]),
        Route("/control/faults", faults.set_faults, methods=["PUT"]),
        Route("/control/records", list_records),
    ]
