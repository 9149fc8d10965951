"""ASGI gate that counts requests in flight and refuses new ones while the daemon drains."""

from typing import Any

from starlette.responses import JSONResponse

from greengagehoist.base import ErrorCode, not_run
from greengagehoist.controllers import BeginRequest, DaemonState, EndRequest, GetState
from greengagehoist.server._callers import STATUS, failure_body
from greengagehoist.utils import Controller

_CLOSE = (b"connection", b"close")


class DrainGate:
    """Lets requests through to ``app`` until the daemon drains.

    :param drains: drain controller.
    """

    def __init__(self, app: Any, drains: Controller):
        self.app = app
        self.drains = drains

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one request; it counts as in flight until its response was sent."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        if not await self.drains.ask(BeginRequest()):
            await _refusal()(scope, receive, send)
            return
        try:
            await self.app(scope, receive, self._sender(send))
        finally:
            self.drains.tell(EndRequest())

    def _sender(self, send: Any) -> Any:
        async def forward(message: dict) -> None:
            if message["type"] == "http.response.start" and await self._is_stopping():
                message = {**message, "headers": [*message.get("headers", ()), _CLOSE]}
            await send(message)

        return forward

    async def _is_stopping(self) -> bool:
        return await self.drains.ask(GetState()) is not DaemonState.SERVING


def _refusal() -> JSONResponse:
    error = not_run("drain", ErrorCode.DRAINING, "the daemon is stopping; use another one")
    headers = {"Connection": "close"}
    return JSONResponse(failure_body(error, ""), STATUS[error.code], headers)
