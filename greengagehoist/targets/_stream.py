"""Reading of an engine's stream in batches."""

import asyncio
from typing import Any

from greengagehoist.targets._progress import ProgressTimes

TRAILER_TIMEOUT_S = 0.05
LONGEST_LINE_BYTES = 1024 * 1024


class StreamReader:
    """Reads the lines of one response body; a task of its own takes what has arrived.

    :param waits: receives the waits for bytes, and gives the progress timeout.
    :param progress: upper bound of the progress timeout in seconds.
    """

    def __init__(self, response: Any, waits: ProgressTimes, progress: float):
        self.response = response
        self.waits = waits
        self.progress = progress
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._pump: asyncio.Task | None = None
        self._watch: asyncio.TimerHandle | None = None
        self._scope = asyncio.timeout(None)
        self._waiting_since: float | None = None
        self._rest = b""

    async def __aenter__(self) -> "StreamReader":
        self._pump = asyncio.create_task(self._read())
        await self._scope.__aenter__()
        return self

    async def __aexit__(self, *exc: Any) -> None:
        if self._watch is not None:
            self._watch.cancel()
        self._pump.cancel()
        await asyncio.wait((self._pump,))
        if not self._pump.cancelled():
            self._pump.exception()
        await self._scope.__aexit__(*exc)

    async def _read(self) -> None:
        try:
            async for data in self.response.read_chunks():
                self._queue.put_nowait(data)
        finally:
            self._queue.put_nowait(None)

    async def lines(self) -> list[bytes]:
        """Wait for bytes and return the complete lines of all bytes that have arrived.

        :raises TimeoutError: after the progress timeout.
        :raises EOFError: if the body ended.
        :raises ValueError: if a line is too long.
        """
        batch = [await self._first()]
        while not self._queue.empty():
            batch.append(self._queue.get_nowait())
        if batch[-1] is None:
            self._queue.put_nowait(batch.pop())
        *lines, self._rest = (self._rest + b"".join(batch)).split(b"\n")
        if len(self._rest) > LONGEST_LINE_BYTES:
            raise ValueError(f"stream line longer than {LONGEST_LINE_BYTES} bytes")
        return lines

    async def _first(self) -> bytes:
        loop = asyncio.get_running_loop()
        self._waiting_since = start = loop.time()
        if self._watch is None:
            self._check()
        try:
            data = await self._queue.get()
        finally:
            self._waiting_since = None
            self.waits.observe(loop.time() - start)
        if data is None:
            await self._pump
            raise EOFError("stream closed before its end")
        return data

    def _check(self) -> None:
        """End the wait if it has lasted for the progress timeout, otherwise check again.

        One timer for each stream is cheaper than one for each read.
        """
        loop = asyncio.get_running_loop()
        now, limit = loop.time(), min(self.progress, self.waits.timeout())
        due = (now if self._waiting_since is None else self._waiting_since) + limit
        if due <= now:
            self._scope.reschedule(now)
        else:
            self._watch = loop.call_at(due, self._check)

    async def pause(self, seconds: float) -> None:
        """Leave arriving bytes in the socket for ``seconds``."""
        connection = self.response._connection  # aiosonic has no public access to it
        if self._pump.done() or connection is None or connection.writer is None:
            return
        transport = connection.writer.transport
        transport.pause_reading()
        try:
            await asyncio.sleep(seconds)
        finally:
            transport.resume_reading()

    async def finish(self) -> None:
        """Read the end of the body, so that the connection can be used again."""
        await asyncio.wait((self._pump,), timeout=TRAILER_TIMEOUT_S)
