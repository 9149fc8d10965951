"""HTTP/1.1 messages and their serialization."""

from collections.abc import Iterable
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
FRAMING = frozenset({b"content-length"})

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class RequestHead(NamedTuple):
    """Request line and headers.

    :param target: path and query as received.
    :param keep_alive: whether the client keeps the connection open after the answer.
    """

    method: bytes
    target: bytes
    version: str
    headers: Headers
    keep_alive: bool


class ResponseHead(NamedTuple):
    """Status line and headers of a final response."""

    status: int
    reason: bytes
    headers: Headers


class ProtocolError(Exception):
    """The peer sent bytes that are not a valid message.

    :param status: status code of the answer to a client.
    :param retry_after_s: seconds after which another attempt is useful, None if it is not.
    """

    def __init__(self, message: str, status: int = 400, retry_after_s: float | None = None):
        super().__init__(message)
        self.status = status
        self.retry_after_s = retry_after_s


class IncompleteError(Exception):
    """The connection ended before the end of the message."""


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, whose name is given in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers: Headers, *, drop: Iterable[bytes] = ()) -> Headers:
    """Return the headers that a proxy forwards, without those that frame the message.

    :param drop: names of further headers to leave out, in lower case.
    """
    connection_options = set()
    for key, value in headers:
        if key.lower() == b"connection":
            connection_options.update(item.strip().lower() for item in value.split(b","))
    dropped = HOP_BY_HOP | FRAMING | connection_options | frozenset(drop)
    return tuple((key, value) for key, value in headers if key.lower() not in dropped)


def encode_request(method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Return a serialized request, whose body is framed by its length."""
    return encode_request_head(method, target, headers, len(body)) + body


def encode_request_head(method: bytes, target: bytes, headers: Headers, body_bytes: int) -> bytes:
    """Return a serialized request without its body."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines.extend(key + b": " + value for key, value in headers)
    if body_bytes or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response_head(status: int, reason: bytes, headers: Headers) -> bytes:
    """Return a serialized status line and headers."""
    lines = [b"HTTP/1.1 %d %s" % (status, reason or REASONS.get(status, b""))]
    lines.extend(key + b": " + value for key, value in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
