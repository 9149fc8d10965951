"""Faults that every stand-in can be told to show, and its record of runs."""

import asyncio
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

# A silent or frozen stand-in holds requests back for at most this many seconds.
LONGEST_HOLD_S = 600.0


class Faults:
    """ASGI middleware that applies the faults set through ``/control/faults``.

    The faults are ``down`` (refuse with 503), ``delay_s`` (answer later), ``freeze`` (do not start
    requests until cleared), ``lose_answers`` (number of next answers that are dropped after the
    effect) and ``silence`` (established connections get no bytes any more).
    """

    def __init__(self, app: Any):
        self.app = app
        self.active: dict[str, Any] = {}
        self._silent_connections: set[tuple[str, int]] = set()

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        if scope["type"] != "http" or scope["path"].startswith("/control/"):
            await self.app(scope, receive, send)
            return
        client = tuple(scope.get("client") or ("", 0))
        if self.active.get("silence"):
            self._silent_connections.add(client)
        await self._hold()
        if self.active.get("down"):
            await JSONResponse({"error": "down"}, 503)(scope, receive, send)
            return
        if delay := self.active.get("delay_s"):
            await asyncio.sleep(delay)
        await self.app(scope, receive, self._sender(client, send))

    async def _hold(self) -> None:
        waited = 0.0
        while self.active.get("freeze") and waited < LONGEST_HOLD_S:
            await asyncio.sleep(0.05)
            waited += 0.05

    def _sender(self, client: tuple, send: Any) -> Any:
        async def forward(message: dict) -> None:
            if client in self._silent_connections:
                await asyncio.sleep(LONGEST_HOLD_S)
            if message["type"] == "http.response.start" and self.active.get("lose_answers", 0) > 0:
                self.active["lose_answers"] -= 1
                raise ConnectionResetError("answer dropped after the effect")
            await send(message)

        return forward

    async def set_faults(self, request: Request) -> JSONResponse:
        """Replace the active faults by the request's JSON object."""
        self.active = await request.json()
        return JSONResponse(self.active)


def control_routes(faults: Faults, records: list[dict]) -> list[Route]:
    """Return the control routes of a stand-in: its faults and its record of runs."""

    async def list_records(request: Request) -> JSONResponse:
        return JSONResponse(records)

    return [
        Route("/control/faults", faults.set_faults, methods=["PUT"]),
        Route("/control/records", list_records),
    ]
