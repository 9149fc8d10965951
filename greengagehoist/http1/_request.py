"""Reading of requests from a client's connection."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import httptools

from greengagehoist.http1._socket import Socket
from greengagehoist.http1._types import (
    IncompleteError,
    ProtocolError,
    RequestHead,
    get_header,
)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class SizeLimits(NamedTuple):
    """Bounds of one request."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Request(NamedTuple):
    """A whole request."""

    head: RequestHead
    body: bytes


class _Collector:
    """One message as far as it was received."""

    def __init__(self):
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.fed_bytes = 0
        self.head: RequestHead | None = None
        self.done = False


class _Callbacks:
    """Callbacks of the parser; collects pipelined messages one after the other."""

    def __init__(self):
        self.messages: deque[_Collector] = deque()
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self.messages.append(_Collector())

    def on_url(self, url: bytes) -> None:
        self.messages[-1].target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.messages[-1].headers.append((name, value))

    def on_headers_complete(self) -> None:
        found = self.messages[-1]
        if found.head is None:
            found.head = _read_head(self.parser, found)

    def on_body(self, data: bytes) -> None:
        found = self.messages[-1]
        found.body.append(data)
        found.body_bytes += len(data)

    def on_message_complete(self) -> None:
        self.messages[-1].done = True


class RequestReader:
    """Reads one request after the other from a connection.

    :param limits: returns the limits in force.
    """

    def __init__(self, sock: Socket, limits: Callable[[], SizeLimits]):
        self.sock = sock
        self.limits = limits
        self._callbacks = _Callbacks()
        self._error: ProtocolError | None = None

    async def read(self) -> Request | None:
        """Return the next request, or None if the connection ends or stays idle before it.

        :raises ProtocolError: if the bytes are not a valid request within the limits.
        :raises IncompleteError: if the connection ends within a request.
        """
        limits = self.limits()
        if not self._callbacks.messages and self._error is None:
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    data = await self.sock.read()
            except (TimeoutError, ConnectionError):
                return None
            if not data:
                return None
            self._feed(data)
        try:
            async with asyncio.timeout(None) as guard:
                return await self._finish_message(limits, guard)
        except TimeoutError as exc:
            raise ProtocolError("request not received in time", 408) from exc

    async def _finish_message(self, limits: SizeLimits, guard: asyncio.Timeout) -> Request:
        loop = asyncio.get_running_loop()
        guard.reschedule(loop.time() + limits.header_timeout_s)
        messages, expected = self._callbacks.messages, False
        while not (messages and messages[0].done):
            if self._error is not None:
                raise self._error
            if messages:
                found = messages[0]
                _check_sizes(found, limits)
                if found.head is not None:
                    guard.reschedule(loop.time() + limits.header_timeout_s)
                    if not expected and get_header(found.head.headers, b"expect") is not None:
                        self.sock.write(CONTINUE)
                        expected = True
            self._feed(await self._more())
        found = messages.popleft()
        _check_head(found)
        _check_sizes(found, limits)
        return Request(found.head, b"".join(found.body))

    async def _more(self) -> bytes:
        try:
            data = await self.sock.read()
        except ConnectionError as exc:
            raise IncompleteError(str(exc)) from exc
        if not data:
            raise IncompleteError("connection closed within a request")
        return data

    def _feed(self, data: bytes) -> None:
        if self._callbacks.messages:
            self._callbacks.messages[-1].fed_bytes += len(data)
        try:
            self._callbacks.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error = ProtocolError("upgrades are not supported")
        except httptools.HttpParserError as exc:
            self._error = ProtocolError(f"invalid request: {exc}")


def _read_head(parser: httptools.HttpRequestParser, found: _Collector) -> RequestHead:
    return RequestHead(
        parser.get_method(),
        found.target,
        parser.get_http_version(),
        tuple(found.headers),
        parser.should_keep_alive(),
    )


def _check_head(found: _Collector) -> None:
    """Refuse framing that other programs could understand differently.

    :raises ProtocolError: if the request is ambiguous or of an unsupported version.
    """
    head = found.head
    if head.version not in ("1.0", "1.1"):
        raise ProtocolError(f"unsupported version {head.version}")
    names = [name.lower() for name, _ in head.headers]
    if names.count(b"host") != 1:
        raise ProtocolError("accepted: one Host header")
    codings = [value for name, value in head.headers if name.lower() == b"transfer-encoding"]
    if codings and (len(codings) > 1 or codings[0].strip().lower() != b"chunked"):
        raise ProtocolError("accepted: the transfer coding chunked")
    if names.count(b"content-length") + len(codings) > 1:
        raise ProtocolError("accepted: one Content-Length or Transfer-Encoding")
    if not head.target.startswith(b"/"):
        raise ProtocolError("accepted: a target that is a path")


def _check_sizes(found: _Collector, limits: SizeLimits) -> None:
    size = len(found.target) + sum(len(name) + len(value) + 4 for name, value in found.headers)
    if size > limits.header_bytes or (found.head is None and found.fed_bytes > limits.header_bytes):
        raise ProtocolError("headers too large", 431)
    declared = get_header(tuple(found.headers), b"content-length")
    too_large = declared is not None and declared.isdigit() and int(declared) > limits.body_bytes
    if too_large or found.body_bytes > limits.body_bytes:
        raise ProtocolError("body too large", 413)
