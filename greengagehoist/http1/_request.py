"""Reads requests from a client's connection."""

import asyncio
import sys
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

import httptools

from greengagehoist.http1._limits import (
    HEADER_LINE_BYTES,
    PARSE_BYTES,
    exceeds_request_framing,
)
from greengagehoist.http1._socket import Socket
from greengagehoist.http1._types import (
    IncompleteError,
    ProtocolError,
    RequestHead,
    get_header,
)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REFUSED_RETRY_AFTER_S = 1.0


class SizeLimits(NamedTuple):
    """Limits on the size of a request and on the time to receive it.

    :param body_rate: bytes a second that a body must have on average after ``body_grace_s``.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    body_rate: float = 0.0
    body_grace_s: float = 0.0


class Request(NamedTuple):
    """A complete request."""

    head: RequestHead
    body: bytes


class RequestSpace(Protocol):
    """Memory for the received part of a request.

    :ivar granted: bytes that may be held without a reservation.
    """

    granted: int

    async def reserve(self, size: int, most: int) -> None:
        """Wait until ``size`` bytes may be held.

        :param most: bytes that the whole request may take.
        """


class UnlimitedSpace:
    """Memory without a limit."""

    granted = sys.maxsize

    async def reserve(self, size: int, most: int) -> None:
        """Return at once."""


class _PartialRequest:
    """The received part of a request.

    :ivar head_bytes: bytes of the target and the header lines, trailers included.
    :ivar fed_bytes: received bytes of the head, as long as it is not complete.
    :ivar framing_bytes: received bytes after the head that are not part of the body.
    :ivar lines: header lines that are kept.
    :ivar length: announced length of the body, None for chunks.
    """

    def __init__(self):
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.head_bytes = 0
        self.fed_bytes = 0
        self.framing_bytes = 0
        self.length: int | None = None
        self.head: RequestHead | None = None
        self.head_checked = False
        self.done = False

    @property
    def held_bytes(self) -> int:
        """Approximate memory that it takes."""
        return self.head_bytes + HEADER_LINE_BYTES * len(self.headers) + len(self.body)

    @property
    def missing_bytes(self) -> int:
        """Bytes that are known to be missing from the body."""
        return 0 if self.length is None else self.length - len(self.body)


class _ParserCallbacks:
    """Parser callbacks that collect pipelined requests in the order of their arrival."""

    def __init__(self):
        self.requests: deque[_PartialRequest] = deque()
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self.requests.append(_PartialRequest())

    def on_url(self, url: bytes) -> None:
        partial = self.requests[-1]
        partial.target += url
        partial.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        partial = self.requests[-1]
        partial.head_bytes += len(name) + len(value) + 4
        if partial.head is None:
            partial.headers.append((name, value))

    def on_headers_complete(self) -> None:
        partial = self.requests[-1]
        if partial.head is None:
            partial.head = _read_head(self.parser, partial)
            partial.length = _announced_length(partial.head)

    def on_body(self, data: bytes) -> None:
        self.requests[-1].body += data

    def on_message_complete(self) -> None:
        self.requests[-1].done = True


class RequestReader:
    """Reads the requests of a connection in order.

    Received bytes are parsed in small pieces, and not beyond the request that is read, because a parsed
    request takes far more memory than its bytes.

    :param limits: returns the current limits.
    :param space: memory that the received part of a request takes.
    """

    def __init__(
        self, sock: Socket, limits: Callable[[], SizeLimits], space: RequestSpace | None = None
    ):
        self.sock = sock
        self.limits = limits
        self.space = space or UnlimitedSpace()
        self._callbacks = _ParserCallbacks()
        self._error: ProtocolError | None = None
        self._received = b""
        self._parsed = 0
        self._timeout: asyncio.Timeout | None = None
        self._refusal: ProtocolError | None = None
        self._waits_for_space = False

    @property
    def has_partial(self) -> bool:
        """Whether a part of a request has been received."""
        return bool(self._callbacks.requests) or self._has_unparsed

    @property
    def _has_unparsed(self) -> bool:
        return self._parsed < len(self._received)

    def refuse(self, reason: str) -> None:
        """Make :meth:`read` refuse the request that it receives, and the connection end after it."""
        self._refusal = ProtocolError(reason, 503, REFUSED_RETRY_AFTER_S)
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def read(self) -> Request | None:
        """Return the next request, or None if the connection ends or stays idle before it.

        :raises ProtocolError: if the bytes are not a valid request within the limits, or it is refused.
        :raises IncompleteError: if the connection ends within a request.
        """
        limits = self.limits()
        if not self.has_partial and self._error is None:
            if self._refusal is not None:
                return None
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    data = await self.sock.read()
            except (TimeoutError, ConnectionError):
                return None
            if not data:
                return None
            self._received, self._parsed = data, 0
        try:
            async with asyncio.timeout(None) as self._timeout:
                return await self._receive_request(limits)
        except TimeoutError as exc:
            raise self._late_error() from exc
        finally:
            self._timeout = None

    def _late_error(self) -> ProtocolError:
        if self._refusal is not None:
            return self._refusal
        if self._waits_for_space:
            return ProtocolError("no memory is free", 503, REFUSED_RETRY_AFTER_S)
        return ProtocolError("request was not received in time", 408)

    def discard(self) -> None:
        """Drop what has been received; no request can be read afterwards.

        An error of :meth:`read` may still refer to the incomplete request.
        """
        for partial in self._callbacks.requests:
            partial.body, partial.headers = bytearray(), []
        self._callbacks.requests.clear()
        self._received, self._parsed = b"", 0
        self._error = self._error or ProtocolError("connection ends")

    async def _receive_request(self, limits: SizeLimits) -> Request:
        loop, requests = asyncio.get_running_loop(), self._callbacks.requests
        refused = self._refusal is not None
        self._timeout.reschedule(loop.time() + (0.0 if refused else limits.header_timeout_s))
        body_begun_at: float | None = None
        empty_bytes = 0
        if requests:
            # A part of it was parsed together with the end of the one before.
            self._check(requests[0], limits)
        while not (requests and requests[0].done):
            if self._error is not None:
                raise self._error
            if not self._has_unparsed:
                if requests and requests[0].head is not None:
                    body_begun_at = body_begun_at or loop.time()
                    self._set_deadline(_body_deadline(requests[0], limits, body_begun_at))
                self._received, self._parsed = await self._receive(), 0
            size = self._parse_piece()
            if not requests:
                # Empty lines may precede a request.
                empty_bytes += size
                if empty_bytes > limits.header_bytes and self._error is None:
                    raise ProtocolError("too many empty lines")
            else:
                self._check(requests[0], limits)
                if requests[0].held_bytes > self.space.granted:
                    await self._reserve(requests[0], limits)
            if self._has_unparsed:
                # A body of tiny chunks takes long to parse; other connections get their turn.
                await asyncio.sleep(0)
        partial = requests.popleft()
        body, partial.body = bytes(partial.body), bytearray()
        return Request(partial.head, body)

    def _check(self, partial: _PartialRequest, limits: SizeLimits) -> None:
        """Check what has been received of a request, and answer an expectation after its head.

        :raises ProtocolError: if it is invalid or too large.
        """
        _check_sizes(partial, limits)
        if partial.head_checked or partial.head is None:
            return
        _check_head(partial)
        partial.head_checked = True
        expects = get_header(partial.head.headers, b"expect") is not None
        if expects and not partial.done and self._error is None:
            self.sock.write(CONTINUE)

    async def _reserve(self, partial: _PartialRequest, limits: SizeLimits) -> None:
        """Wait for memory, for as long as the next bytes of a request may take to arrive."""
        held, now = partial.held_bytes, asyncio.get_running_loop().time
        body_bytes = limits.body_bytes if partial.length is None else partial.length
        deadline, asked_at = self._timeout.when(), now()
        self._set_deadline(asked_at + limits.header_timeout_s)
        self._waits_for_space = True
        await self.space.reserve(held, held - len(partial.body) + body_bytes)
        self._waits_for_space = False
        self._set_deadline(deadline + now() - asked_at)

    def _set_deadline(self, deadline: float) -> None:
        if self._refusal is None and not self._timeout.expired():
            self._timeout.reschedule(deadline)

    async def _receive(self) -> bytes:
        try:
            data = await self.sock.read()
        except ConnectionError as exc:
            raise IncompleteError(str(exc)) from exc
        if not data:
            raise IncompleteError("connection closed before the end of the request")
        return data

    def _parse_piece(self) -> int:
        """Parse received bytes, the missing ones of a body or a few; returns how many."""
        requests = self._callbacks.requests
        partial = requests[0] if requests else None
        size = PARSE_BYTES
        if partial is not None and partial.head is not None:
            size = max(size, partial.missing_bytes)
        data = self._received[self._parsed : self._parsed + size]
        self._parsed += len(data)
        if not self._has_unparsed:
            self._received, self._parsed = b"", 0
        in_body, body_bytes = partial is not None and partial.head is not None, 0
        if in_body:
            body_bytes = len(partial.body)
        elif partial is not None:
            partial.fed_bytes += len(data)
        self._feed(data)
        if in_body and not partial.done:
            partial.framing_bytes += len(data) - (len(partial.body) - body_bytes)
        return len(data)

    def _feed(self, data: bytes) -> None:
        try:
            self._callbacks.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error = ProtocolError("upgrades are not supported")
        except httptools.HttpParserError as exc:
            self._error = ProtocolError(f"invalid request: {exc}")


def _body_deadline(partial: _PartialRequest, limits: SizeLimits, begun_at: float) -> float:
    """Return the time by which more of a body must have arrived."""
    deadline = asyncio.get_running_loop().time() + limits.header_timeout_s
    if not limits.body_rate:
        return deadline
    return min(deadline, begun_at + limits.body_grace_s + len(partial.body) / limits.body_rate)


def _read_head(parser: httptools.HttpRequestParser, partial: _PartialRequest) -> RequestHead:
    return RequestHead(
        parser.get_method(),
        partial.target,
        parser.get_http_version(),
        tuple(partial.headers),
        parser.should_keep_alive(),
    )


def _announced_length(head: RequestHead) -> int | None:
    value = get_header(head.headers, b"content-length")
    if value is not None:
        return int(value) if value.isdigit() else 0
    return None if get_header(head.headers, b"transfer-encoding") is not None else 0


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
    if partial.head_bytes > limits.header_bytes or (
        partial.head is None and partial.fed_bytes > limits.header_bytes
    ):
        raise ProtocolError("headers too large", 431)
    if max(partial.length or 0, len(partial.body)) > limits.body_bytes:
        raise ProtocolError("body too large", 413)
    if exceeds_request_framing(partial.framing_bytes, len(partial.body)):
        raise ProtocolError("too many bytes around the chunks of the body")
