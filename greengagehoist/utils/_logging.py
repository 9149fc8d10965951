"""Structured logging: one line of key=value pairs for each event."""

import asyncio
import os
import select
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, TextIO

from loguru import logger

from greengagehoist.utils._clock import Clock

_FORMAT = "ts={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level.name} {message}"

# Sustained rate limit; a daemon at peak load writes a third of it.
LINES_PER_S = 1500.0
# Burst size, the capacity of the token bucket in lines.
BURST_LINES = 3000.0
# Once a pipe polls writable, a write of up to PIPE_BUF bytes does not block.
MAX_WRITE_BYTES = 4096
# Period in which a limited event is logged once for each reason.
LIMITED_PERIOD_S = 1.0


class BoundedWriter:
    """Writes lines to a file descriptor at a limited rate and without blocking on the reader.

    Lines over the rate limit, and lines that would block on a slow reader, are dropped and counted;
    the count is logged as an event once lines can be written again.

    :param fd: file descriptor.
    :param clock: returns monotonic seconds.
    :param writable: returns whether a write of ``MAX_WRITE_BYTES`` to ``fd`` would not block.
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
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._pending: list[bytes] = []

    def write(self, line: str) -> None:
        """Queue a line until the next event loop iteration; without a loop, write it at once."""
        now = self.clock()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return
        self._tokens -= 1.0
        self._pending.append(line.encode("utf-8", "backslashreplace"))
        if len(self._pending) > 1:
            return
        try:
            asyncio.get_running_loop().call_soon(self.flush)
        except RuntimeError:
            self.flush()

    def flush(self) -> None:
        """Write the pending lines; drop the rest once a write would block."""
        lines, self._pending = self._pending, []
        if self.dropped:
            lines.append(f"level=WARNING event=log_lines_dropped count={self.dropped}\n".encode())
            self.dropped = 0
        while lines:
            chunk, count = b"", 0
            for line in lines:
                cut = line
                if len(line) > MAX_WRITE_BYTES:
                    cut = line[: MAX_WRITE_BYTES - 2] + b"\n"
                if count and len(chunk) + len(cut) > MAX_WRITE_BYTES:
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
    """Write log lines to a stream without blocking on its reader.

    :param level: minimum level.
    :param stream: output stream, standard error if None.
    :param fields: fields added to every line, for example the VM.
    """
    suffix = _format_pairs(fields).replace("{", "{{").replace("}", "}}")
    writer = BoundedWriter((stream or sys.stderr).fileno())
    logger.remove()
    logger.add(writer.write, format=f"{_FORMAT} {suffix}", level=level, backtrace=False)


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Log one event as a line of key=value pairs; empty values are omitted."""
    logger.opt(depth=1).log(level, f"event={event} {_format_pairs(fields)}".rstrip())


def _format_pairs(fields: dict[str, Any]) -> str:
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
    """Parse the pairs of a log line; text before the first pair is ignored."""
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


class EventLimiter:
    """Logs each kind of event at most once a second.

    :param clock: time source.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._logged_at: dict[tuple[str, Any], float] = {}
        self._skipped: Counter[tuple[str, Any]] = Counter()

    def log(self, event: str, level: str = "INFO", *, kind: Any = "", **fields: Any) -> None:
        """Log an event, unless one of the same kind was logged within a second.

        The next one that is logged states how many were left out.

        :param kind: one of a few values, never text that a client has sent.
        :param fields: as of :func:`log_event`.
        """
        key, now = (event, kind), self.clock.monotonic()
        if now - self._logged_at.get(key, -LIMITED_PERIOD_S) < LIMITED_PERIOD_S:
            self._skipped[key] += 1
            return
        self._logged_at[key] = now
        log_event(event, level, **fields, skipped=self._skipped.pop(key, 0) or None)
