"""Weighted fair queueing of customers."""

import math
from collections.abc import Callable, Collection
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")
DECAY_TIME_S = 5.0
# Work older than this has decayed to less than a thousandth.
RECENT_WORK_TTL_S = 40.0
FAIR_SHARE_PERIOD_S = 0.25
# Shares are computed from more than the served work, since a lowered limit serves too little.
FAIR_SHARE_GAIN = 1.25


class _RecentWork(NamedTuple):
    """Exponentially decayed work of a customer, with time constant ``DECAY_TIME_S``.

    :param demand: work that was requested.
    :param served: work that was admitted.
    """

    demand: float
    served: float
    weight: float
    at: float

    def decay(self, now: float) -> "_RecentWork":
        """Return the amounts decayed to the time ``now``."""
        factor = math.exp((self.at - now) / DECAY_TIME_S)
        return _RecentWork(self.demand * factor, self.served * factor, self.weight, now)


class _QueuedItem(NamedTuple, Generic[T]):
    start: float
    item: T


class FairQueue(Generic[T]):
    """Start-time fair queueing: customers share in proportion to their weights.

    Items are served in order of their start tags, so that a single item of a customer with a small
    weight does not wait behind the backlog of a customer with a large one.
    """

    def __init__(self):
        self._queues: dict[str, list[_QueuedItem[T]]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._length = 0
        self._recent: dict[str, _RecentWork] = {}
        self._fair_share = math.inf
        self._fair_share_at = -math.inf

    def __len__(self) -> int:
        return self._length

    def observe_demand(self, customer: str, weight: float, cost: float, now: float) -> None:
        """Record the work of an arrival, whether it is queued or not.

        :param now: monotonic time in seconds.
        """
        recent = self._recent.get(customer, _RecentWork(0.0, 0.0, weight, now)).decay(now)
        self._recent[customer] = recent._replace(demand=recent.demand + cost, weight=weight)

    def observe_served(self, customer: str, cost: float, now: float) -> None:
        """Record the work of an admitted item."""
        recent = self._recent.get(customer)
        if recent is not None:
            recent = recent.decay(now)
            self._recent[customer] = recent._replace(served=recent.served + cost)

    def is_within_share(self, customer: str, now: float) -> bool:
        """Return whether a customer demands less than its max-min fair share under contention.

        The shares divide the recently served work by weight; what a customer does not demand is
        divided among the others. False if no customer demands more than its share.
        """
        return self.is_contended(now) and self._demand(customer, now) < self._fair_share

    def is_contended(self, now: float) -> bool:
        """Return whether any customer demands more than its weighted share."""
        if now - self._fair_share_at >= FAIR_SHARE_PERIOD_S:
            self._fair_share, self._fair_share_at = self._compute_fair_share(now), now
        return self._fair_share < math.inf

    def _compute_fair_share(self, now: float) -> float:
        """Return the max-min fair share of work per unit of weight, or infinity if uncontended."""
        stale = [name for name, item in self._recent.items() if now - item.at > RECENT_WORK_TTL_S]
        for name in stale:
            del self._recent[name]
        recent = [item.decay(now) for item in self._recent.values()]
        recent.sort(key=lambda item: item.demand / item.weight)
        remaining = FAIR_SHARE_GAIN * sum(item.served for item in recent)
        weights = sum(item.weight for item in recent)
        for item in recent:
            if item.demand / item.weight > remaining / weights:
                return remaining / weights
            remaining -= item.demand
            weights -= item.weight
        return math.inf

    def _demand(self, customer: str, now: float) -> float:
        """Return the recent demand of a customer per unit of weight."""
        recent = self._recent.get(customer)
        return 0.0 if recent is None else recent.decay(now).demand / recent.weight

    def push(self, customer: str, weight: float, cost: float, item: T) -> None:
        """Queue an item.

        :param weight: weight of the customer, above 0.
        :param cost: expected work of the item.
        """
        start = max(self._virtual_time, self._finish_tags.get(customer, 0.0))
        self._finish_tags[customer] = start + cost / weight
        self._queues.setdefault(customer, []).append(_QueuedItem(start, item))
        self._length += 1

    def charge(self, customer: str, weight: float, cost: float) -> None:
        """Account for work of a customer that starts without queueing.

        The virtual time advances as for queued work. Otherwise the customer's later items would be
        delayed on account of work that kept no other customer waiting.
        """
        start = max(self._virtual_time, self._finish_tags.get(customer, 0.0))
        self._virtual_time = start
        self._finish_tags[customer] = start + cost / weight

    def pop(self) -> T | None:
        """Return the next item in fair order, or None if the queue is empty."""
        return self._pop_from(self._queues)

    def pop_within_share(self, now: float) -> T | None:
        """Return the next item of a customer within its share, or None if there is none."""
        return self._pop_from([name for name in self._queues if self.is_within_share(name, now)])

    def _pop_from(self, customers: Collection[str]) -> T | None:
        if not customers:
            return None
        customer = min(customers, key=lambda name: self._queues[name][0].start)
        found = self._queues[customer].pop(0)
        self._virtual_time = max(self._virtual_time, found.start)
        self._complete_removal(customer)
        return found.item

    def shed(self, now: float) -> T | None:
        """Remove the last item of the customer with the largest recent demand per unit of weight.

        Queue length would be the wrong measure: a customer within its share may have a long queue
        by chance and would be shed in place of one that bursts.
        """
        if not self._length:
            return None
        customer = max(self._queues, key=lambda name: (self._demand(name, now), name))
        found = self._queues[customer].pop()
        self._finish_tags[customer] = found.start
        self._complete_removal(customer)
        return found.item

    def remove(self, is_removed: Callable[[T], bool]) -> list[T]:
        """Remove and return the items for which the function returns True."""
        removed = []
        for customer, queue in list(self._queues.items()):
            marks = [(queued, is_removed(queued.item)) for queued in queue]
            queue[:] = [queued for queued, mark in marks if not mark]
            found = [queued.item for queued, mark in marks if mark]
            self._length -= len(found)
            removed += found
            if not queue:
                self._forget(customer)
        return removed

    def _complete_removal(self, customer: str) -> None:
        self._length -= 1
        if not self._queues[customer]:
            self._forget(customer)

    def _forget(self, customer: str) -> None:
        """Remove the empty queue of a customer, and stale tags if there are many."""
        del self._queues[customer]
        stale = [name for name, at in self._finish_tags.items() if at <= self._virtual_time]
        for name in stale if len(self._finish_tags) > 2 * len(self._queues) + 64 else ():
            del self._finish_tags[name]
