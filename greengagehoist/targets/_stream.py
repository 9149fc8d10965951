"""Reads the token stream of an engine in batches of lines."""

import asyncio
from typing import Any

from greengagehoist.http1 import MAX_EVENT_BYTES
from greengagehoist.targets._adaptive_timeout import AdaptiveTimeout

TRAILER_TIMEOUT_S = 0.05
# Received chunks that may wait for the reader; reading from the socket pauses when there are more.
MAX_QUEUED_CHUNKS = 64


class StreamReader:
    """Reads one response body line by line; a separate task receives the data.

    :param idle_timeout: records how long each wait for data took and provides the idle timeout.
    :param max_idle_s: upper bound of the idle timeout, in seconds.
    """

    def __init__(self, response: Any, idle_timeout: AdaptiveTimeout, max_idle_s: float):
        self.response = response
        self.idle_timeout = idle_timeout
        self.max_idle_s = max_idle_s
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        self._receive_task: asyncio.Task | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._timeout_scope = asyncio.timeout(None)
        self._waiting_since: float | None = None
        self._partial_line = b""

    async def __aenter__(self) -> "StreamReader":
        self._receive_task = asyncio.create_task(self._receive())
        await self._timeout_scope.__aenter__()
        return self

    async def __aexit__(self, *exc: Any) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._receive_task.cancel()
        await asyncio.wait((self._receive_task,))
        if not self._receive_task.cancelled():
            self._receive_task.exception()
        await self._timeout_scope.__aexit__(*exc)

    async def _receive(self) -> None:
        try:
            async for data in self.response.read_chunks():
                await self._queue.put(data)
        finally:
            # After a cancellation nobody reads the queue any more.
            if not asyncio.current_task().cancelling():
                await self._queue.put(None)

    async def read_lines(self) -> list[bytes]:
        """Wait for data and return the complete lines of everything received so far.

        :raises TimeoutError: if no data arrives within the idle timeout.
        :raises EOFError: if the body has ended.
        :raises ValueError: if a line is too long.
        """
        batch = [await self._next_data()]
        while not self._queue.empty():
            batch.append(self._queue.get_nowait())
        if batch[-1] is None:
            self._queue.put_nowait(batch.pop())
        *lines, self._partial_line = (self._partial_line + b"".join(batch)).split(b"\n")
        if len(self._partial_line) > MAX_EVENT_BYTES:
            raise ValueError(f"stream line longer than {MAX_EVENT_BYTES} bytes")
        return lines

    async def _next_data(self) -> bytes:
        loop = asyncio.get_running_loop()
        self._waiting_since = start = loop.time()
        if self._idle_timer is None:
            self._check_idle()
        try:
            data = await self._queue.get()
        finally:
            self._waiting_since = None
            self.idle_timeout.observe(loop.time() - start)
        if data is None:
            await self._receive_task
            raise EOFError("stream closed before its end line")
        return data

    def _check_idle(self) -> None:
        """Time out if the current wait has reached the idle timeout, else reschedule this check.

        One timer per stream is cheaper than one per read.
        """
        loop = asyncio.get_running_loop()
        now, limit = loop.time(), min(self.max_idle_s, self.idle_timeout.current())
        due = (now if self._waiting_since is None else self._waiting_since) + limit
        if due <= now:
            self._timeout_scope.reschedule(now)
        else:
            self._idle_timer = loop.call_at(due, self._check_idle)

    async def pause(self, seconds: float) -> None:
        """Stop reading from the socket for ``seconds``."""
        connection = self.response._connection  # aiosonic has no public accessor
        if self._receive_task.done() or connection is None or connection.writer is None:
            return
        transport = connection.writer.transport
        transport.pause_reading()
        try:
            await asyncio.sleep(seconds)
        finally:
            transport.resume_reading()

    async def finish(self) -> None:
        """Wait for the end of the body, so that the connection can be reused."""
        await asyncio.wait((self._receive_task,), timeout=TRAILER_TIMEOUT_S)
