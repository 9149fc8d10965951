"""Weighted fair queue by customer."""

import math
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")
DEMAND_S = 5.0


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
        self._demands: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return self._length

    def observe_demand(self, customer: str, weight: float, cost: float, now: float) -> None:
        """Take note of an arrival, whether it is queued or not.

        :param now: monotonic instant in seconds.
        """
        self._demands[customer] = (self._demand(customer, now) + cost / weight, now)

    def _demand(self, customer: str, now: float) -> float:
        """Return the recent work of a customer relative to its weight."""
        amount, at = self._demands.get(customer, (0.0, now))
        return amount * math.exp((at - now) / DEMAND_S)

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
        if not self._length:
            return None
        customer = min(self._queues, key=lambda name: self._queues[name][0].start)
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
                self._demands.pop(name, None)
