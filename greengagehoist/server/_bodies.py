"""Reads and parses request bodies within limits on size and time."""

import asyncio
import json
from typing import Any

from starlette.requests import ClientDisconnect, Request

from greengagehoist.memory import BodySpace
from greengagehoist.server._memory import SPACE, NoMemoryError
from greengagehoist.utils import ValidationError

MAX_BODY_BYTES = 256 * 1024
BODY_TIMEOUT_S = 5.0


def check_headers(request: Request) -> None:
    """Check the encoding and length headers before the body is read.

    :raises ValidationError: if they declare a body that is too large or encoded.
    """
    encoding = request.headers.get("content-encoding", "identity")
    if encoding.lower() != "identity":
        raise ValidationError("Content-Encoding", encoding[:80], "identity")
    length = request.headers.get("content-length", "0")
    accepted = f"0 to {MAX_BODY_BYTES}"
    if not (length.isascii() and length.isdecimal() and len(length) <= 12):
        raise ValidationError("Content-Length", length[:80], accepted)
    if int(length) > MAX_BODY_BYTES:
        raise ValidationError("Content-Length", length, accepted)


async def read_body(request: Request) -> dict[str, Any]:
    """Read and parse a JSON request body.

    :raises ValidationError: if it is too large, too slow or not a JSON object in UTF-8.
    """
    check_headers(request)
    return parse_object(await collect_body(request, MAX_BODY_BYTES, BODY_TIMEOUT_S))


async def collect_body(request: Request, max_bytes: int, timeout: float) -> bytes:
    """Read a body of at most ``max_bytes`` bytes within ``timeout`` seconds.

    :raises ValidationError: if it is too large or does not arrive in time.
    :raises NoMemoryError: if others need its memory, or none is free in time.
    """
    body = bytearray()
    collector = _Collector(request.scope.get(SPACE))
    try:
        async with asyncio.timeout(timeout) as deadline:
            collector.begin(deadline)
            async for chunk in request.stream():
                body += chunk
                if len(body) > max_bytes:
                    raise ValidationError(
                        "body", f"{len(body)} bytes or more", f"at most {max_bytes} bytes"
                    )
                await collector.reserve(len(body), max_bytes)
    except (TimeoutError, ClientDisconnect) as exc:
        if collector.lacks_memory:
            raise NoMemoryError("no memory is free for the body") from exc
        raise ValidationError(
            "body", f"{len(body)} bytes", f"a complete body within {timeout} s"
        ) from exc
    collector.end()
    return bytes(body)


class _Collector:
    """Memory of a body while it is collected.

    :param space: memory of the request, None without an account.
    :ivar lacks_memory: whether the body waits for memory, or must give it back.
    """

    def __init__(self, space: BodySpace | None):
        self.space = space
        self.lacks_memory = False

    def begin(self, deadline: asyncio.Timeout) -> None:
        """Let the account end the collection by its time-out."""

        def give_way() -> None:
            self.lacks_memory = True
            if not deadline.expired():
                deadline.reschedule(asyncio.get_running_loop().time())

        if self.space is not None:
            self.space.give_way = give_way

    async def reserve(self, size: int, most: int) -> None:
        """Wait until ``size`` bytes may be held."""
        if self.space is not None and size > self.space.granted:
            self.lacks_memory = True
            await self.space.reserve(size, most)
            self.lacks_memory = False

    def end(self) -> None:
        """Keep the memory of a complete body."""
        if self.space is not None:
            self.space.keep()


def parse_object(content: bytes) -> dict[str, Any]:
    """Parse a JSON object whose strings can all be encoded in UTF-8.

    :raises ValidationError: otherwise.
    """
    accepted = "a JSON object in UTF-8"
    try:
        body = json.loads(content.decode("utf-8"), parse_constant=_reject_constant)
        json.dumps(body, ensure_ascii=False).encode("utf-8")
    except (ValueError, RecursionError) as exc:
        raise ValidationError("body", str(exc)[:200], accepted) from exc
    if not isinstance(body, dict):
        raise ValidationError("body", type(body).__name__, accepted)
    return body


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")
