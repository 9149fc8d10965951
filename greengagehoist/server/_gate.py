"""ASGI middleware that counts requests in flight and rejects new ones while draining."""

import contextlib
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse

from greengagehoist.base import ErrorCode, not_run
from greengagehoist.controllers import BeginRequest, DaemonState, EndRequest, GetState
from greengagehoist.server._bodies import MAX_BODY_BYTES, collect_body
from greengagehoist.server._callers import HTTP_STATUS, failure_body
from greengagehoist.server._memory import NoMemoryError
from greengagehoist.utils import Controller, ValidationError

# Shorter than the body timeout of accepted requests, so that it fits into the end of a stop.
REFUSAL_BODY_TIMEOUT_S = 1.0

_CONNECTION_CLOSE = (b"connection", b"close")


class DrainGate:
    """Passes requests on to ``app`` unless the daemon is draining.

    :param drains: drain controller.
    """

    def __init__(self, app: Any, drains: Controller):
        self.app = app
        self.drains = drains

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one request, which counts as in flight until its response has been sent."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        if not await self.drains.ask(BeginRequest()):
            await _refuse(scope, receive, send)
            return
        try:
            await self.app(scope, receive, self._close_when_shutting_down(send))
        finally:
            self.drains.tell(EndRequest())

    def _close_when_shutting_down(self, send: Any) -> Any:
        async def forward(message: dict) -> None:
            if message["type"] == "http.response.start" and await self._is_shutting_down():
                message = {**message, "headers": [*message.get("headers", ()), _CONNECTION_CLOSE]}
            await send(message)

        return forward

    async def _is_shutting_down(self) -> bool:
        return await self.drains.ask(GetState()) is not DaemonState.SERVING


async def _refuse(scope: dict, receive: Any, send: Any) -> None:
    """Refuse a request after its body has arrived.

    Bytes that arrive after the connection is closed would reset it, and the caller could lose the
    refusal.
    """
    with contextlib.suppress(ValidationError, NoMemoryError):
        await collect_body(Request(scope, receive), MAX_BODY_BYTES, REFUSAL_BODY_TIMEOUT_S)
    await _draining_response()(scope, receive, send)


def _draining_response() -> JSONResponse:
    error = not_run("drain", ErrorCode.DRAINING, "the daemon is stopping; use another one")
    headers = {"Connection": "close"}
    return JSONResponse(failure_body(error, ""), HTTP_STATUS[error.code], headers)
