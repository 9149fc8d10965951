"""Reads requests from a client's connection."""

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
    """Limits on the size of a request and on the time to receive it."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Request(NamedTuple):
    """A complete request."""

    head: RequestHead
    body: bytes


class _PartialRequest:
    """The received part of a request."""

    def __init__(self):
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.fed_bytes = 0
        self.head: RequestHead | None = None
        self.done = False


class _ParserCallbacks:
    """Parser callbacks that collect pipelined requests in the order of their arrival."""

    def __init__(self):
        self.requests: deque[_PartialRequest] = deque()
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self.requests.append(_PartialRequest())

    def on_url(self, url: bytes) -> None:
        self.requests[-1].target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.requests[-1].headers.append((name, value))

    def on_headers_complete(self) -> None:
        partial = self.requests[-1]
        if partial.head is None:
            partial.head = _read_head(self.parser, partial)

    def on_body(self, data: bytes) -> None:
        partial = self.requests[-1]
        partial.body.append(data)
        partial.body_bytes += len(data)

    def on_message_complete(self) -> None:
        self.requests[-1].done = True


class RequestReader:
    """Reads the requests of a connection in order.

    :param limits: returns the current limits.
    """

    def __init__(self, sock: Socket, limits: Callable[[], SizeLimits]):
        self.sock = sock
        self.limits = limits
        self._callbacks = _ParserCallbacks()
        self._error: ProtocolError | None = None

    @property
    def has_partial(self) -> bool:
        """Whether a part of a request has been received."""
        return bool(self._callbacks.requests)

    async def read(self) -> Request | None:
        """Return the next request, or None if the connection ends or stays idle before it.

        :raises ProtocolError: if the bytes are not a valid request within the limits.
        :raises IncompleteError: if the connection ends within a request.
        """
        limits = self.limits()
        if not self._callbacks.requests and self._error is None:
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    data = await self.sock.read()
            except (TimeoutError, ConnectionError):
                return None
            if not data:
                return None
            self._feed(data)
        try:
            async with asyncio.timeout(None) as timeout:
                return await self._receive_request(limits, timeout)
        except TimeoutError as exc:
            raise ProtocolError("request was not received in time", 408) from exc

    async def _receive_request(self, limits: SizeLimits, timeout: asyncio.Timeout) -> Request:
        loop = asyncio.get_running_loop()
        timeout.reschedule(loop.time() + limits.header_timeout_s)
        requests, continue_sent = self._callbacks.requests, False
        while not (requests and requests[0].done):
            if self._error is not None:
                raise self._error
            if requests:
                partial = requests[0]
                _check_sizes(partial, limits)
                if partial.head is not None:
                    timeout.reschedule(loop.time() + limits.header_timeout_s)
                    if (
                        not continue_sent
                        and get_header(partial.head.headers, b"expect") is not None
                    ):
                        self.sock.write(CONTINUE)
                        continue_sent = True
            self._feed(await self._receive())
        partial = requests.popleft()
        _check_head(partial)
        _check_sizes(partial, limits)
        return Request(partial.head, b"".join(partial.body))

    async def _receive(self) -> bytes:
        try:
            data = await self.sock.read()
        except ConnectionError as exc:
            raise IncompleteError(str(exc)) from exc
        if not data:
            raise IncompleteError("connection closed before the end of the request")
        return data

    def _feed(self, data: bytes) -> None:
        if self._callbacks.requests:
            self._callbacks.requests[-1].fed_bytes += len(data)
        try:
            self._callbacks.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error = ProtocolError("upgrades are not supported")
        except httptools.HttpParserError as exc:
            self._error = ProtocolError(f"invalid request: {exc}")


def _read_head(parser: httptools.HttpRequestParser, partial: _PartialRequest) -> RequestHead:
    return RequestHead(
        parser.get_method(),
        partial.target,
        parser.get_http_version(),
        tuple(partial.headers),
        parser.should_keep_alive(),
    )


def _check_head(partial: _PartialRequest) -> None:
    """Reject framing that other HTTP implementations could interpret differently.

    :raises ProtocolError: if the request is ambiguous or of an unsupported version.
    """
    head = partial.head
    if head.version not in ("1.0", "1.1"):
        raise ProtocolError(f"unsupported HTTP version {head.version}")
    names = [name.lower() for name, _ in head.headers]
    if names.count(b"host") != 1:
        raise ProtocolError("request must have exactly one Host header")
    codings = [value for name, value in head.headers if name.lower() == b"transfer-encoding"]
    if codings and (len(codings) > 1 or codings[0].strip().lower() != b"chunked"):
        raise ProtocolError("only the transfer coding chunked is supported")
    if names.count(b"content-length") + len(codings) > 1:
        raise ProtocolError(
            "request must have at most one Content-Length or Transfer-Encoding header"
        )
    if not head.target.startswith(b"/"):
        raise ProtocolError("request target must be a path")


def _check_sizes(partial: _PartialRequest, limits: SizeLimits) -> None:
    size = len(partial.target) + sum(len(name) + len(value) + 4 for name, value in partial.headers)
    if size > limits.header_bytes or (
        partial.head is None and partial.fed_bytes > limits.header_bytes
    ):
        raise ProtocolError("headers too large", 431)
    declared = get_header(tuple(partial.headers), b"content-length")
    too_large = declared is not None and declared.isdigit() and int(declared) > limits.body_bytes
    if too_large or partial.body_bytes > limits.body_bytes:
        raise ProtocolError("body too large", 413)
