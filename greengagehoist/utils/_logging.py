"""Structured logging: one line of key=value pairs for each event."""

import asyncio
import os
import select
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

from loguru import logger

_FORMAT = "ts={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level.name} {message}"

# Lines a second that are written in the long run; a daemon at its largest load writes a third.
LINES_PER_S = 1500.0
# Lines that may be written at once after a quiet time.
BURST_LINES = 3000.0
# A pipe that is writable takes this many bytes without blocking (PIPE_BUF).
LONGEST_WRITE_BYTES = 4096


class BoundedWriter:
    """Writes lines to a file descriptor, within a rate and without ever waiting for a reader.

    Lines beyond the rate, and lines that the reader does not take, are dropped and counted; the
    count is written as an event when lines can be written again.

    :param fd: file descriptor.
    :param clock: returns seconds.
    :param writable: whether ``fd`` takes ``LONGEST_WRITE_BYTES`` without blocking.
    """

    def __init__(
        self,
        fd: int,
        clock: Callable[[], float] = time.monotonic,
        writable: Callable[[int], bool] | None = None,
    ):
        self.fd = fd
        self.clock = clock
        self.writable = writable or _is_writable
        self.dropped = 0
        self._level = BURST_LINES
        self._at = clock()
        self._waiting: list[bytes] = []

    def write(self, line: str) -> None:
        """Take a line; it is written at once, or at the end of the event loop's turn."""
        now = self.clock()
        self._level = min(BURST_LINES, self._level + (now - self._at) * LINES_PER_S)
        self._at = now
        if self._level < 1.0:
            self.dropped += 1
            return
        self._level -= 1.0
        self._waiting.append(line.encode("utf-8", "backslashreplace"))
        if len(self._waiting) > 1:
            return
        try:
            asyncio.get_running_loop().call_soon(self.flush)
        except RuntimeError:
            self.flush()

    def flush(self) -> None:
        """Write the waiting lines, as far as the reader takes them."""
        lines, self._waiting = self._waiting, []
        if self.dropped:
            lines.append(f"level=WARNING event=log_lines_dropped count={self.dropped}\n".encode())
            self.dropped = 0
        while lines:
            chunk, count = b"", 0
            for line in lines:
                cut = line if len(line) <= LONGEST_WRITE_BYTES else line[: LONGEST_WRITE_BYTES - 1]
                if count and len(chunk) + len(cut) > LONGEST_WRITE_BYTES:
                    break
                chunk, count = chunk + cut, count + 1
            if not self.writable(self.fd):
                self.dropped += len(lines)
                return
            os.write(self.fd, chunk)
            del lines[:count]


def _is_writable(fd: int) -> bool:
    return bool(select.select((), (fd,), (), 0)[1])


def setup_logging(level: str = "INFO", stream: TextIO | None = None, **fields: Any) -> None:
    """Send log lines to a stream, without waiting for its reader.

    :param level: least severe level that is written.
    :param stream: standard error if None.
    :param fields: pairs that every line carries, for example the VM.
    """
    suffix = _pairs(fields).replace("{", "{{").replace("}", "}}")
    writer = BoundedWriter((stream or sys.stderr).fileno())
    logger.remove()
    logger.add(writer.write, format=f"{_FORMAT} {suffix}", level=level, backtrace=False)


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one event as a line of key=value pairs; empty values are left out."""
    logger.opt(depth=1).log(level, f"event={event} {_pairs(fields)}".rstrip())


def _pairs(fields: dict[str, Any]) -> str:
    return " ".join(
        f"{key}={_quote(value)}" for key, value in fields.items() if value not in ("", None)
    )


def _quote(value: Any) -> str:
    text = str(value)
    if any(char in text for char in " ='\"\n\r\t"):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text


def parse_pairs(line: str) -> dict[str, str]:
    """Return the pairs of a log line; text before the first pair is left out."""
    pairs: dict[str, str] = {}
    rest = line.strip()
    while rest:
        key, separator, rest = rest.partition("=")
        if not separator:
            break
        key = key.rpartition(" ")[2]
        if rest.startswith('"'):
            end = _closing_quote(rest)
            raw, rest = rest[1:end], rest[end + 1 :]
            value = raw.replace('\\"', '"').replace("\\n", "\n").replace("\\\\", "\\")
        else:
            value, _, rest = rest.partition(" ")
        pairs[key] = value
    return pairs


def _closing_quote(text: str) -> int:
    position = 1
    while position < len(text) and text[position] != '"':
        position += 2 if text[position] == "\\" else 1
    return position
