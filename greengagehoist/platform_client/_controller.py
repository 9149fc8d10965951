"""Controller that owns the connections to the platform."""

from typing import Any
from urllib.parse import quote

import aiosonic
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts
from returns.result import Failure, Result, Success

from greengagehoist.base import ErrorCode, Outcome, StepError
from greengagehoist.platform_client._types import (
    FetchWeights,
    GetObject,
    ListObjects,
    ListVms,
    PutObject,
    ReadRange,
    ReadRow,
    Refused,
    Row,
    Rows,
    Vm,
    WriteRow,
    Written,
)
from greengagehoist.utils import Controller, Reply

CALL_TIMEOUT_S = 1.0


class PlatformController(Controller):
    """Sends calls to the platform and replies with results.

    :param address: ``ip:port`` of the platform.
    """

    def __init__(self, address: str):
        super().__init__("platform")
        self.address = address
        self._client: aiosonic.HTTPClient | None = None

    def handle(self, message: Any, reply: Reply) -> None:
        """Start the call of ``message``."""
        self.start(self._call(message, reply))

    async def _call(self, message: Any, reply: Reply) -> None:
        try:
            reply(Success(await self._send(message)))
        except (AiosonicError, OSError, ValueError, KeyError, EOFError) as exc:
            reply(self._failure(message, exc))

    async def _send(self, message: Any) -> Any:
        match message:
            case ReadRow(key):
                body = await self._json("GET", f"/table/row?key={quote(key, safe='')}")
                rows = (body["row"],) if body["row"] else ()
                return Rows(tuple(Row(**row) for row in rows), body["now"])
            case ReadRange(prefix, after, limit):
                query = f"prefix={quote(prefix, safe='')}&after={quote(after, safe='')}"
                body = await self._json("GET", f"/table/range?{query}&limit={limit}")
                return Rows(tuple(Row(**row) for row in body["rows"]), body["now"])
            case WriteRow(key, value, expect):
                sent = {"key": key, "value": value, "expect": expect}
                return _write_reply(await self._json("POST", "/table/write", sent, (200, 409)))
            case PutObject(name, data):
                await self._request("PUT", f"/objects/{quote(name)}", data, (200,))
                return None
            case GetObject(name):
                response = await self._request("GET", f"/objects/{quote(name)}", None, (200, 404))
                return await response.content() if response.status_code == 200 else None
            case ListObjects(prefix):
                body = await self._json("GET", f"/objects?prefix={quote(prefix, safe='')}")
                return tuple(body["names"])
            case ListVms():
                return tuple(Vm(**vm) for vm in await self._json("GET", "/vms"))
            case FetchWeights(model):
                sent = {"model": model}
                body = await self._json("POST", "/weights/fetch", sent, (200, 429))
                return bool(body.get("granted"))
            case _:
                raise ValueError(f"unknown platform call {message!r}")

    async def _json(self, method: str, path: str, body: Any = None, accept=(200,)) -> Any:
        response = await self._request(method, path, body, accept)
        return await response.json()

    async def _request(self, method: str, path: str, body: Any, accept: tuple[int, ...]) -> Any:
        if self._client is None:
            self._client = aiosonic.HTTPClient()
        timeouts = Timeouts(
            sock_connect=CALL_TIMEOUT_S, sock_read=CALL_TIMEOUT_S, request_timeout=CALL_TIMEOUT_S
        )
        content = {"data": body} if isinstance(body, bytes) else {"json": body}
        response = await self._client.request(
            f"http://{self.address}{path}", method, timeouts=timeouts, **content
        )
        if response.status_code not in accept:
            raise ValueError(f"status {response.status_code}")
        return response

    def _failure(self, message: Any, exc: Exception) -> Result[Any, StepError]:
        kind = type(message).__name__
        text = f"{kind} failed: {type(exc).__name__} {exc}".rstrip()
        return Failure(
            StepError("platform", self.address, Outcome.UNKNOWN, ErrorCode.PLATFORM, text)
        )


def _write_reply(body: dict[str, Any]) -> Written | Refused:
    if "version" in body:
        return Written(body["version"], body["now"])
    row = body["row"]
    return Refused(Row(**row) if row else None, body["now"])
