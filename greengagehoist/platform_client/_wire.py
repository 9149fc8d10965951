"""Encoding of platform calls as HTTP requests, and decoding of the responses."""

from collections.abc import Mapping
from types import SimpleNamespace
from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec

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

CALL_TIMEOUT_S = 1.0


class HttpCall(NamedTuple):
    """An HTTP request to the platform.

    :param accept: status codes of responses that can be decoded; all others are failures.
    :param timeout_s: seconds within which the response begins.
    """

    method: str
    path: str
    json: Any = None
    data: bytes | None = None
    accept: tuple[int, ...] = (200,)
    timeout_s: float = CALL_TIMEOUT_S


def is_write(message: Any) -> bool:
    """Return True if the call counts against the write rate limit."""
    return isinstance(message, WriteRow | PutObject)


def encode(message: Any) -> HttpCall:
    """Return the request of a message.

    :raises ValueError: if the message is unknown.
    """
    match message:
        case ReadRow(key):
            return HttpCall("GET", f"/table/row?key={quote(key, safe='')}")
        case ReadRange(prefix, after, limit):
            query = f"prefix={quote(prefix, safe='')}&after={quote(after, safe='')}"
            return HttpCall("GET", f"/table/range?{query}&limit={limit}")
        case WriteRow(key, value, expect):
            payload = {"key": key, "value": value, "expect": expect}
            return HttpCall("POST", "/table/write", json=payload, accept=(200, 409))
        case PutObject(name, data):
            return HttpCall("PUT", f"/objects/{quote(name)}", data=data)
        case GetObject(name):
            return HttpCall("GET", f"/objects/{quote(name)}", accept=(200, 404))
        case ListObjects(prefix):
            return HttpCall("GET", f"/objects?prefix={quote(prefix, safe='')}")
        case ListVms():
            return HttpCall("GET", "/vms")
        case FetchWeights(model):
            payload = {"model": model}
            return HttpCall("POST", "/weights/fetch", json=payload, accept=(200, 429))
        case _:
            raise ValueError(f"unknown platform call {message!r}")


def read_era(headers: Mapping[str, str]) -> int:
    """Return the era of the table, which is never restored from a copy."""
    return 0


def decode(message: Any, status: int, content: bytes, era: int = 0) -> Any:
    """Return the reply to a message.

    :raises ValueError: if the content is malformed.
    :raises KeyError: if a field is missing.
    """
    match message:
        case GetObject():
            return content if status == 200 else None
        case PutObject():
            return None
    body = msgspec.json.decode(content)
    match message:
        case ReadRow():
            return Rows((Row(**body["row"]),) if body["row"] else (), body["now"])
        case ReadRange():
            return Rows(tuple(Row(**row) for row in body["rows"]), body["now"])
        case WriteRow():
            return _write_reply(body)
        case ListObjects():
            return tuple(body["names"])
        case ListVms():
            return tuple(Vm(**vm) for vm in body)
        case FetchWeights():
            return bool(body.get("granted"))


def _write_reply(body: dict[str, Any]) -> Written | Refused:
    if "version" in body:
        return Written(body["version"], body["now"])
    row = body["row"]
    return Refused(Row(**row) if row else None, body["now"])


# Codec of the HTTP interface of the project's own stand-in for the platform.
TABLE_CODEC = SimpleNamespace(is_write=is_write, encode=encode, read_era=read_era, decode=decode)
