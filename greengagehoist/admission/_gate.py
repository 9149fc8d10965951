"""Admission gate of one stage: concurrency limit, fair queue and load shedding."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from greengagehoist.admission._limit import AdaptiveLimit
from greengagehoist.admission._queue import FairQueue

MAX_WAIT_FRACTION = 0.5
MIN_QUEUE_CAPACITY = 12
# Customers within their share may exceed a limit filled by another customer, up to this multiple.
OVERCOMMIT_FACTOR = 3.0
# Customers beyond their share start requests only below this fraction of the limit, which leaves
# capacity for the long requests of the others.
CONTENDED_LIMIT_FRACTION = 0.8
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0


class EntryOutcome(enum.Enum):
    """Outcome of an admitted entry; the latency of a failed one is no measure of the load."""

    COMPLETED = "completed"
    MISSED = "missed"
    FAILED = "failed"


class Entry(NamedTuple):
    """A request that asks for admission.

    :param weight: weight of the customer in the fair queue.
    :param cost: expected work, in the same unit for all entries of a gate.
    :param latest_start: monotonic time in seconds after which starting is no longer useful.
    :param item: returned with the verdict.
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
    """The entry is queued."""

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

    The queue holds at most the entries that can start within ``MAX_WAIT_FRACTION`` of the time
    until their latest start, so that an entry is refused on arrival rather than after a wait.
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
        """True while entries are queued."""
        return len(self._queue) > 0

    @property
    def queued(self) -> int:
        """Number of queued entries."""
        return len(self._queue)

    def submit(self, entry: Entry, now: float) -> list[Verdict]:
        """Return the verdict on a new entry, and that on a queued entry shed to make room for it."""
        if entry.latest_start < now:
            return [Refused(entry, self._retry_after())]
        self._queue.observe_demand(entry.customer, entry.weight, entry.cost, now)
        if self._may_start(entry, now):
            self._queue.charge(entry.customer, entry.weight, entry.cost)
            return [self._start(entry, now)]
        self._queue.push(entry.customer, entry.weight, entry.cost, entry)
        if len(self._queue) <= self._queue_capacity(entry, now):
            return [Queued(entry)]
        shed = self._queue.shed(now)
        verdicts: list[Verdict] = [Refused(shed, self._retry_after())]
        if shed is not entry:
            verdicts.append(Queued(entry))
        return verdicts

    def finish(self, latency: float, outcome: EntryOutcome, now: float) -> list[Verdict]:
        """Record the end of an admitted entry and return the verdicts on queued entries.

        :param latency: seconds since the entry was admitted.
        """
        if outcome is not EntryOutcome.FAILED:
            self.limit.observe(latency, self.in_flight, outcome is EntryOutcome.MISSED, now)
        self.in_flight -= 1
        self._update_rate(now)
        return self.admit_queued(now)

    def admit_queued(self, now: float) -> list[Verdict]:
        """Return verdicts on queued entries that start now or have passed their latest start."""
        verdicts: list[Verdict] = []
        while (entry := self._pop_startable(now)) is not None:
            if entry.latest_start < now:
                verdicts.append(Refused(entry, self._retry_after()))
            else:
                verdicts.append(self._start(entry, now))
        return verdicts

    def withdraw(self, is_withdrawn: Callable[[Entry], bool]) -> list[Entry]:
        """Remove and return the queued entries for which the function returns True."""
        return self._queue.remove(is_withdrawn)

    def _pop_startable(self, now: float) -> Entry | None:
        if not self._queue or self.in_flight >= OVERCOMMIT_FACTOR * self.limit.limit:
            return None
        entry = self._queue.pop_within_share(now)
        if entry is None and self.in_flight < self._limit_beyond_share(now):
            entry = self._queue.pop()
        return entry

    def _limit_beyond_share(self, now: float) -> float:
        """Return the limit that applies to entries of customers beyond their share."""
        contended = self._queue.is_contended(now)
        return self.limit.limit * (CONTENDED_LIMIT_FRACTION if contended else 1.0)

    def _may_start(self, entry: Entry, now: float) -> bool:
        """Return whether an entry starts without queueing.

        A limit lowered during one customer's burst would hold back the others as well, so
        customers within their share may exceed it, up to ``OVERCOMMIT_FACTOR`` times the limit.
        """
        if not self._queue and self.in_flight < self._limit_beyond_share(now):
            return True
        if self.in_flight >= OVERCOMMIT_FACTOR * self.limit.limit:
            return False
        return self._queue.is_within_share(entry.customer, now)

    def _start(self, entry: Entry, now: float) -> Admitted:
        self.in_flight += 1
        self._queue.observe_served(entry.customer, entry.cost, now)
        return Admitted(entry)

    def _update_rate(self, now: float) -> None:
        self._finished += 1
        elapsed = now - self._window_start
        if elapsed >= 1.0:
            rate = self._finished / elapsed
            self._rate = rate if self._rate == 0.0 else 0.5 * (self._rate + rate)
            self._window_start, self._finished = now, 0

    def _queue_capacity(self, entry: Entry, now: float) -> float:
        wait = MAX_WAIT_FRACTION * (entry.latest_start - now)
        return max(MIN_QUEUE_CAPACITY, self._rate * wait)

    def _retry_after(self) -> float:
        wait = len(self._queue) / self._rate if self._rate > 0.0 else MIN_RETRY_AFTER_S
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
