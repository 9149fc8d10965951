"""ASGI middleware that counts requests in flight and rejects new ones while draining."""

from typing import Any

from starlette.responses import JSONResponse

from greengagehoist.base import ErrorCode, not_run
from greengagehoist.controllers import BeginRequest, DaemonState, EndRequest, GetState
from greengagehoist.server._callers import HTTP_STATUS, failure_body
from greengagehoist.utils import Controller

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
            await _draining_response()(scope, receive, send)
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


def _draining_response() -> JSONResponse:
    error = not_run("drain", ErrorCode.DRAINING, "the daemon is stopping; use another one")
    headers = {"Connection": "close"}
    return JSONResponse(failure_body(error, ""), HTTP_STATUS[error.code], headers)
