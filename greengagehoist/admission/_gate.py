"""Gate in front of one stage: a limit, a fair queue behind it and shedding."""

import enum
from dataclasses import dataclass
from typing import Any, NamedTuple

from greengagehoist.admission._limit import AdaptiveLimit
from greengagehoist.admission._queue import FairQueue

LONGEST_WAIT_SHARE = 0.5
FEWEST_QUEUED = 12
# Customers within their share may use up to this multiple of a limit that another one fills.
RESERVE = 3.0
# The part of the limit for customers beyond their share leaves room for the others' long requests.
CONTENDED_ROOM = 0.8
LEAST_RETRY_AFTER_S = 0.05
LONGEST_RETRY_AFTER_S = 5.0


class Ending(enum.Enum):
    """How an admitted entry ended; the latency of a failed one says nothing about the load."""

    WHOLE = "whole"
    MISSED = "missed"
    FAILED = "failed"


class Entry(NamedTuple):
    """A request at the gate.

    :param weight: share of the customer in the fair queue.
    :param cost: expected work, in the same unit for all entries of a gate.
    :param latest_start: instant after which a start is of no use, in monotonic seconds.
    :param item: handed back with the decision.
    """

    customer: str
    weight: float
    cost: float
    latest_start: float
    item: Any


@dataclass(frozen=True, slots=True)
class Admitted:
    """The entry may start now."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Queued:
    """The entry waits for its turn."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Refused:
    """The entry is refused.

    :param retry_after: seconds after which a retry is useful.
    """

    entry: Entry
    retry_after: float


Verdict = Admitted | Queued | Refused


class Gate:
    """Admits entries up to an adaptive limit and queues or refuses the others.

    The queue is bounded by the work that can start in ``LONGEST_WAIT_SHARE`` of the time that the
    entries have left, so an entry is refused at once rather than late.
    """

    def __init__(self, limit: AdaptiveLimit | None = None):
        self.limit = limit or AdaptiveLimit()
        self.in_flight = 0
        self._queue: FairQueue[Entry] = FairQueue()
        self._rate = 0.0
        self._window_start = 0.0
        self._finished = 0

    @property
    def is_overloaded(self) -> bool:
        """True while entries wait."""
        return len(self._queue) > 0

    @property
    def queued(self) -> int:
        """Number of entries that wait."""
        return len(self._queue)

    def apply(self, entry: Entry, now: float) -> list[Verdict]:
        """Take an entry; returns its verdict, and those of the entries that it displaces."""
        if entry.latest_start < now:
            return [Refused(entry, self._retry_after())]
        self._queue.observe_demand(entry.customer, entry.weight, entry.cost, now)
        if self._may_start(entry, now):
            self._queue.charge(entry.customer, entry.weight, entry.cost)
            return [self._start(entry, now)]
        self._queue.push(entry.customer, entry.weight, entry.cost, entry)
        if len(self._queue) <= self._longest_queue(entry, now):
            return [Queued(entry)]
        shed = self._queue.pop_least_valuable(now)
        verdicts: list[Verdict] = [Refused(shed, self._retry_after())]
        if shed is not entry:
            verdicts.append(Queued(entry))
        return verdicts

    def finish(self, latency: float, ending: Ending, now: float) -> list[Verdict]:
        """Take the end of an admitted entry; returns verdicts of entries that waited.

        :param latency: seconds since the entry was admitted.
        """
        if ending is not Ending.FAILED:
            self.limit.observe(latency, self.in_flight, ending is Ending.MISSED, now)
        self.in_flight -= 1
        self._count(now)
        return self.release(now)

    def release(self, now: float) -> list[Verdict]:
        """Return verdicts for waiting entries that may start or have become useless."""
        verdicts: list[Verdict] = []
        while (entry := self._pop(now)) is not None:
            if entry.latest_start < now:
                verdicts.append(Refused(entry, self._retry_after()))
            else:
                verdicts.append(self._start(entry, now))
        return verdicts

    def _pop(self, now: float) -> Entry | None:
        if not self._queue or self.in_flight >= RESERVE * self.limit.limit:
            return None
        entry = self._queue.pop_within_share(now)
        if entry is None and self.in_flight < self._room(now):
            entry = self._queue.pop()
        return entry

    def _room(self, now: float) -> float:
        """Return how many may be in flight while the next entry is beyond its share."""
        contended = self._queue.is_any_beyond_share(now)
        return self.limit.limit * (CONTENDED_ROOM if contended else 1.0)

    def _may_start(self, entry: Entry, now: float) -> bool:
        """Return whether an entry starts without waiting.

        A limit that is lowered while one customer bursts would stop the others as well, so those
        within their share pass it, up to ``RESERVE`` times the limit.
        """
        if not self._queue and self.in_flight < self._room(now):
            return True
        if self.in_flight >= RESERVE * self.limit.limit:
            return False
        return self._queue.is_within_share(entry.customer, now)

    def _start(self, entry: Entry, now: float) -> Admitted:
        self.in_flight += 1
        self._queue.observe_served(entry.customer, entry.cost, now)
        return Admitted(entry)

    def _count(self, now: float) -> None:
        self._finished += 1
        elapsed = now - self._window_start
        if elapsed >= 1.0:
            rate = self._finished / elapsed
            self._rate = rate if self._rate == 0.0 else 0.5 * (self._rate + rate)
            self._window_start, self._finished = now, 0

    def _longest_queue(self, entry: Entry, now: float) -> float:
        wait = LONGEST_WAIT_SHARE * (entry.latest_start - now)
        return max(FEWEST_QUEUED, self._rate * wait)

    def _retry_after(self) -> float:
        wait = len(self._queue) / self._rate if self._rate > 0.0 else LEAST_RETRY_AFTER_S
        return min(LONGEST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wait))
