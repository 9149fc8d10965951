"""Weighted fair queue by customer."""

import math
from collections.abc import Collection
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")
DEMAND_S = 5.0
# Demands older than this are below a thousandth of their first amount.
FORGOTTEN_S = 40.0
LEVEL_PERIOD_S = 0.25
# The shares may ask for more than was let through, since a lowered limit lets too little through.
LEVEL_GAIN = 1.25


class _Recent(NamedTuple):
    """Work that a customer asked for and got, decaying over ``DEMAND_S``."""

    demand: float
    served: float
    weight: float
    at: float

    def decay(self, now: float) -> "_Recent":
        """Return the amounts that are left at an instant."""
        factor = math.exp((self.at - now) / DEMAND_S)
        return _Recent(self.demand * factor, self.served * factor, self.weight, now)


class _Waiting(NamedTuple, Generic[T]):
    start: float
    item: T


class FairQueue(Generic[T]):
    """Start-time fair queueing: customers share in proportion to their weights.

    Items are ordered by their start tags, so that the single item of a customer with a small weight
    does not wait behind the backlog of a large one.
    """

    def __init__(self):
        self._queues: dict[str, list[_Waiting[T]]] = {}
        self._finish: dict[str, float] = {}
        self._now = 0.0
        self._length = 0
        self._recent: dict[str, _Recent] = {}
        self._level = math.inf
        self._level_at = -math.inf

    def __len__(self) -> int:
        return self._length

    def observe_demand(self, customer: str, weight: float, cost: float, now: float) -> None:
        """Take note of an arrival, whether it is queued or not.

        :param now: monotonic instant in seconds.
        """
        recent = self._recent.get(customer, _Recent(0.0, 0.0, weight, now)).decay(now)
        self._recent[customer] = recent._replace(demand=recent.demand + cost, weight=weight)

    def observe_served(self, customer: str, cost: float, now: float) -> None:
        """Take note of an item that was let through."""
        recent = self._recent.get(customer)
        if recent is not None:
            recent = recent.decay(now)
            self._recent[customer] = recent._replace(served=recent.served + cost)

    def is_within_share(self, customer: str, now: float) -> bool:
        """Return whether a customer asks for no more than its weighted share.

        The shares divide the recent work that was let through: what a customer does not ask for is
        divided among the others. False unless another customer asks for more than its share.
        """
        return self.is_any_beyond_share(now) and self._demand(customer, now) < self._level

    def is_any_beyond_share(self, now: float) -> bool:
        """Return whether some customer asks for more than its weighted share."""
        if now - self._level_at >= LEVEL_PERIOD_S:
            self._level, self._level_at = self._compute_level(now), now
        return self._level < math.inf

    def _compute_level(self, now: float) -> float:
        """Return the work for each unit of weight that the shares allow, or infinity."""
        stale = [name for name, item in self._recent.items() if now - item.at > FORGOTTEN_S]
        for name in stale:
            del self._recent[name]
        recent = [item.decay(now) for item in self._recent.values()]
        recent.sort(key=lambda item: item.demand / item.weight)
        left = LEVEL_GAIN * sum(item.served for item in recent)
        weights = sum(item.weight for item in recent)
        for item in recent:
            if item.demand / item.weight > left / weights:
                return left / weights
            left -= item.demand
            weights -= item.weight
        return math.inf

    def _demand(self, customer: str, now: float) -> float:
        """Return the recent work of a customer relative to its weight."""
        recent = self._recent.get(customer)
        return 0.0 if recent is None else recent.decay(now).demand / recent.weight

    def push(self, customer: str, weight: float, cost: float, item: T) -> None:
        """Queue an item.

        :param weight: share of the customer, above 0.
        :param cost: expected work of the item.
        """
        start = max(self._now, self._finish.get(customer, 0.0))
        self._finish[customer] = start + cost / weight
        self._queues.setdefault(customer, []).append(_Waiting(start, item))
        self._length += 1

    def charge(self, customer: str, weight: float, cost: float) -> None:
        """Count work of a customer that did not have to wait.

        The virtual time advances as for queued work; otherwise a customer would carry a debt into
        the next queue for work that no other customer waited for.
        """
        start = max(self._now, self._finish.get(customer, 0.0))
        self._now = start
        self._finish[customer] = start + cost / weight

    def pop(self) -> T | None:
        """Return the next item in fair order, or None if the queue is empty."""
        return self._pop_of(self._queues)

    def pop_within_share(self, now: float) -> T | None:
        """Return the next item of a customer within its share, or None if there is none."""
        return self._pop_of([name for name in self._queues if self.is_within_share(name, now)])

    def _pop_of(self, customers: Collection[str]) -> T | None:
        if not customers:
            return None
        customer = min(customers, key=lambda name: self._queues[name][0].start)
        found = self._queues[customer].pop(0)
        self._now = max(self._now, found.start)
        self._forget(customer)
        return found.item

    def pop_least_valuable(self, now: float) -> T | None:
        """Remove the last item of the customer with the largest recent demand for its weight.

        The length of the queues is not the measure: a customer within its share has a long queue at
        times, by chance, and would be shed in place of one that bursts.
        """
        if not self._length:
            return None
        customer = max(self._queues, key=lambda name: (self._demand(name, now), name))
        found = self._queues[customer].pop()
        self._finish[customer] = found.start
        self._forget(customer)
        return found.item

    def _forget(self, customer: str) -> None:
        self._length -= 1
        if not self._queues[customer]:
            del self._queues[customer]
            stale = [name for name, at in self._finish.items() if at <= self._now]
            for name in stale if len(self._finish) > 2 * len(self._queues) + 64 else ():
                del self._finish[name]
