"""Clock interface, the system clock and a manually advanced clock for tests."""

import asyncio
import heapq
import itertools
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Time source, injected wherever code depends on time."""

    def now(self) -> datetime:
        """Return the wall-clock time as an aware UTC datetime."""

    def monotonic(self) -> float:
        """Return seconds that never decrease and that include time in which the VM is suspended."""

    async def sleep(self, delay: float) -> None:
        """Suspend the current task for ``delay`` seconds."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time as an aware UTC datetime."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds since boot, including time in which the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, delay: float) -> None:
        """Suspend the current task for ``delay`` seconds."""
        await asyncio.sleep(delay)


class SteppedClock:
    """A clock that advances only by :meth:`advance`.

    :param start: initial wall-clock time.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self.start = start
        self._elapsed = 0.0
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []
        self._sequence = itertools.count()

    def now(self) -> datetime:
        """Return the simulated wall-clock time."""
        return self.start + timedelta(seconds=self._elapsed)

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._elapsed

    async def sleep(self, delay: float) -> None:
        """Suspend the current task until the clock has advanced by ``delay`` seconds."""
        fut = asyncio.get_running_loop().create_future()
        entry = (self._elapsed + max(0.0, delay), next(self._sequence), fut)
        heapq.heappush(self._sleepers, entry)
        await fut

    def set_wall(self, now: datetime) -> None:
        """Set the wall clock without changing the monotonic clock, as a clock correction does."""
        self.start = now - timedelta(seconds=self._elapsed)

    async def advance(self, delay: float) -> None:
        """Advance by ``delay`` seconds, waking each sleeper at its own wake-up time."""
        until = self._elapsed + delay
        await _run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= until:
            wake, _, fut = heapq.heappop(self._sleepers)
            self._elapsed = max(self._elapsed, wake)
            if not fut.done():
                fut.set_result(None)
            await _run_ready_tasks()
        self._elapsed = until
        await _run_ready_tasks()


async def _run_ready_tasks(rounds: int = 20) -> None:
    """Run a bounded number of event loop iterations so that ready tasks can proceed."""
    for _ in range(rounds):
        await asyncio.sleep(0)
