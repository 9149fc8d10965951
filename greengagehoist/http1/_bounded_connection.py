"""Connections of the HTTP client library with a limit on the bytes of a response."""

import asyncio
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

from aiosonic.connection import Connection

from greengagehoist.http1._limits import (
    MAX_BODY_BYTES,
    MAX_EVENT_BYTES,
    MAX_FRAMING_BYTES,
    exceeds_chunk_framing,
)
from greengagehoist.utils import show_value

CRLF = b"\r\n"
# Lines that are read from the buffer of a connection before other tasks may run.
LINES_PER_TURN = 64
READ_BYTES = 64 * 1024


def _ignore(size: int) -> None:
    """Report of bytes whose reader does not follow the progress."""


# Function that a task calls with the number of bytes of a buffered body that have arrived.
BODY_PROGRESS: ContextVar[Callable[[int], None]] = ContextVar("body_progress", default=_ignore)


class ResponseTooLargeError(ValueError):
    """The peer sent more bytes than a response may have."""


class IncompleteHeadError(EOFError):
    """The head of a response, or another line outside its body, broke off."""


class StreamConnection(Connection):
    """A connection whose responses may be streams of any length.

    The client library ends a head at the first line that is no header, also where the connection
    has ended, so that half a head would pass for a whole response. Such lines are errors here.

    Lines in a row, which are the status line, the headers, a chunk header or trailers, are limited
    to ``MAX_FRAMING_BYTES``, and a chunk to ``MAX_EVENT_BYTES``. Lines after the head are limited in
    proportion to the body. Reads of buffered lines do not wait, so other tasks get a turn in between.
    """

    max_read_bytes = MAX_EVENT_BYTES

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self._framing_bytes = 0
        self._in_head = False
        self._lines = 0
        self._chunk_framing_bytes = 0
        self._body_bytes = 0

    def reuse(self, *args: Any, **kwargs: Any) -> bool:
        """Return whether the next request may use this connection.

        Bytes that followed a response would be read as the response to the next request.
        """
        # asyncio has no public accessor for unread bytes.
        has_unread = self.reader is not None and bool(self.reader._buffer)
        return not has_unread and super().reuse(*args, **kwargs)

    def write(self, data: bytes) -> None:
        """Queue bytes of a request, after which a new response is expected."""
        self._framing_bytes, self._in_head = 0, True
        self._chunk_framing_bytes, self._body_bytes = 0, 0
        super().write(data)

    async def readline(self) -> bytes:
        """Read a line of the head, a chunk header or a trailer.

        :raises ResponseTooLargeError: if the lines in a row are too long.
        :raises IncompleteHeadError: if the connection ends before the end of the line.
        :raises ValueError: if a line of the head is no header.
        """
        await self._yield_turn()
        line = self._count_line(await super().readline())
        if not line.endswith(b"\n"):
            raise IncompleteHeadError("connection closed in the middle of a response")
        if self._in_head and b":" not in line:
            if line.strip():
                raise ValueError(f"line of a response's head is no header: {show_value(line)}")
            self._in_head = False
        return line

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Read up to a separator, like :meth:`readline`."""
        await self._yield_turn()
        return self._count_line(await super().readuntil(separator))

    async def readexactly(self, size: int) -> bytes:
        """Read bytes of the body.

        :raises ResponseTooLargeError: if there are too many.
        """
        self._body_bytes += size
        self._check_read(size)
        self._framing_bytes = 0
        return await super().readexactly(size)

    async def read(self, size: int = -1) -> bytes:
        """Read some bytes of the body."""
        self._framing_bytes = 0
        data = await super().read(size)
        self._body_bytes += len(data)
        return data

    async def _yield_turn(self) -> None:
        self._lines += 1
        if self._lines % LINES_PER_TURN == 0:
            await asyncio.sleep(0)

    def _count_line(self, line: bytes) -> bytes:
        self._framing_bytes += len(line)
        if not self._in_head:
            # The client library reads the end of a chunk's line together with the chunk.
            self._chunk_framing_bytes += len(line) + len(CRLF)
            self._body_bytes -= len(CRLF)
            if exceeds_chunk_framing(self._chunk_framing_bytes, self._body_bytes):
                raise ResponseTooLargeError(
                    "response has too many bytes around the chunks of its body"
                )
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise ResponseTooLargeError(
                f"response has more than {MAX_FRAMING_BYTES} bytes in a row outside its body"
            )
        return line

    def _check_read(self, size: int) -> None:
        if size > self.max_read_bytes:
            raise ResponseTooLargeError(
                f"part of {size} bytes of a response exceeds {self.max_read_bytes} bytes"
            )


class BufferedConnection(StreamConnection):
    """A connection whose responses are buffered, so that the whole body is limited.

    The limit is ``MAX_BODY_BYTES``. The bytes of a body are reported to ``BODY_PROGRESS`` while they
    arrive, as a large one may take longer than the time-out of small ones.
    """

    max_read_bytes = MAX_BODY_BYTES

    async def readexactly(self, size: int) -> bytes:
        """Read bytes of the body.

        :raises ResponseTooLargeError: if there are too many.
        :raises asyncio.IncompleteReadError: if the connection ends before.
        """
        self._body_bytes += size
        self._check_read(size)
        self._framing_bytes = 0
        report, body = BODY_PROGRESS.get(), bytearray()
        while len(body) < size:
            # The method of the base class would count the bytes again.
            data = await Connection.read(self, min(size - len(body), READ_BYTES))
            if not data:
                raise asyncio.IncompleteReadError(bytes(body), size)
            body += data
            report(len(data))
        return bytes(body)

    def _check_read(self, size: int) -> None:
        super()._check_read(self._body_bytes)
