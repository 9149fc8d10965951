"""Reads and parses request bodies within limits on size and time."""

import asyncio
import json
from typing import Any

from starlette.requests import ClientDisconnect, Request

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
    """
    chunks, size = [], 0
    try:
        async with asyncio.timeout(timeout):
            async for chunk in request.stream():
                size += len(chunk)
                if size > max_bytes:
                    raise ValidationError(
                        "body", f"{size} bytes or more", f"at most {max_bytes} bytes"
                    )
                chunks.append(chunk)
    except (TimeoutError, ClientDisconnect) as exc:
        raise ValidationError(
            "body", f"{size} bytes", f"a complete body within {timeout} s"
        ) from exc
    return b"".join(chunks)


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
