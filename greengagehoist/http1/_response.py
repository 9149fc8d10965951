"""Reads a response from a replica's connection."""

from collections.abc import Awaitable, Callable

import httptools

from greengagehoist.http1._limits import (
    MAX_BODY_BYTES,
    MAX_FRAMING_BYTES,
    MAX_HEADER_LINES,
    UNRESERVED_BYTES,
    exceeds_chunk_framing,
)
from greengagehoist.http1._socket import Socket
from greengagehoist.http1._types import (
    IncompleteError,
    ProtocolError,
    ResponseHead,
    get_header,
)

FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)


class ResponseReader:
    """Reads the final response to one request.

    Bytes outside the body are limited to ``MAX_FRAMING_BYTES`` in a row, and in proportion to the
    body. Trailers are ignored, and the body is limited when it is read as a whole.

    :ivar reusable: after the end of the body, whether the connection may carry another request: it
        stays open and no byte has followed the response.
    """

    def __init__(self, sock: Socket, method: bytes = b"GET"):
        self.sock = sock
        self.method = method
        self.reusable = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._reason = b""
        self._head: ResponseHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._framing_bytes = 0
        self._chunk_framing_bytes = 0
        self._header_lines = 0
        self._done = False
        self._has_extra = False
        self._until_close = False
        self._keep_alive = False

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has neither a length nor chunks, so that only a close can end it."""
        return self._until_close

    # Parser callbacks.

    def on_message_begin(self) -> None:
        if self._done:
            self._has_extra = True
            return
        self._headers, self._reason = [], b""

    def on_status(self, status: bytes) -> None:
        if not self._done:
            self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_lines += 1
        if self._header_lines > MAX_HEADER_LINES:
            raise ValueError(f"more than {MAX_HEADER_LINES} header lines")
        if self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if self._done or status < FIRST_FINAL_STATUS:
            return
        headers = tuple(self._headers)
        self._head = ResponseHead(status, self._reason, headers)
        framed = (
            get_header(headers, b"content-length") is not None
            or get_header(headers, b"transfer-encoding") is not None
        )
        self._until_close = not framed and status not in STATUSES_WITHOUT_BODY
        # The parser gives a valid answer only before the end of the message.
        self._keep_alive = self._parser.should_keep_alive()
        if self.method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
            self._done, self._has_extra = True, self.method == b"HEAD"

    def on_body(self, data: bytes) -> None:
        if not self._done:
            self._body.append(data)
            self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        if self._head is not None and not self._until_close:
            self._done = True

    async def head(self) -> ResponseHead:
        """Return the status and headers of the final response.

        :raises IncompleteError: if the connection ends first.
        :raises ProtocolError: if the bytes are not a response.
        """
        while self._head is None:
            await self._receive()
        return self._head

    async def chunk(self) -> bytes:
        """Return received bytes of the body, or empty bytes at its end.

        :raises IncompleteError: if the connection ends first.
        :raises ProtocolError: if the bytes are not a response.
        """
        while not self._body and not self._done:
            await self._receive()
        if self._body:
            data = b"".join(self._body)
            self._body.clear()
            return data
        persistent = self._keep_alive and not self._until_close
        self.reusable = persistent and not self._has_extra and not self.sock.has_unread
        return b""

    async def whole_body(
        self,
        max_bytes: int = MAX_BODY_BYTES,
        reserve: Callable[[int], Awaitable[None]] | None = None,
    ) -> bytes:
        """Return the complete body.

        :param reserve: called once before a body of more than ``UNRESERVED_BYTES`` is buffered, with
            the most bytes that it may have; the read goes on when it returns.
        :raises IncompleteError: if the connection ends before its end.
        :raises ProtocolError: if the bytes are not a response, or the body exceeds ``max_bytes``.
        """
        declared = get_header(self._head.headers, b"content-length") if self._head else None
        if declared is not None and declared.isdigit() and int(declared) > max_bytes:
            raise ProtocolError(f"response body of {int(declared)} bytes exceeds {max_bytes} bytes")
        size = int(declared) if declared is not None and declared.isdigit() else max_bytes
        if declared is not None and size > UNRESERVED_BYTES and reserve is not None:
            await reserve(size)
            reserve = None
        parts = []
        while data := await self.chunk():
            parts.append(data)
            if self._body_bytes > max_bytes:
                raise ProtocolError(f"response body exceeds {max_bytes} bytes")
            if self._body_bytes > UNRESERVED_BYTES and reserve is not None:
                await reserve(size)
                reserve = None
        return b"".join(parts)

    async def _receive(self) -> None:
        try:
            data = await self.sock.read()
        except ConnectionError as exc:
            raise IncompleteError("connection reset before the end of the response") from exc
        if not data:
            if self._until_close and self._head is not None:
                self._done = True
                return
            raise IncompleteError("connection closed before the end of the response")
        body_bytes, in_body = self._body_bytes, self._head is not None
        self._feed(data)
        if self._body_bytes > body_bytes:
            self._framing_bytes = 0
        else:
            self._framing_bytes += len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES and not self._done:
            raise ProtocolError(
                f"response has more than {MAX_FRAMING_BYTES} bytes in a row outside its body"
            )
        if in_body:
            self._chunk_framing_bytes += len(data) - (self._body_bytes - body_bytes)
        if exceeds_chunk_framing(self._chunk_framing_bytes, self._body_bytes) and not self._done:
            raise ProtocolError("response has too many bytes around the chunks of its body")

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # Bytes after the end of the response do not belong to it.
            if not self._done:
                raise ProtocolError(f"invalid response: {exc}") from exc
            self._has_extra = True
