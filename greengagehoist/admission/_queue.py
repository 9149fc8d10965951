"""Weighted fair queue by customer."""

from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class _Waiting(NamedTuple, Generic[T]):
    finish: float
    item: T


class FairQueue(Generic[T]):
    """Start-time fair queueing: customers share in proportion to their weights."""

    def __init__(self):
        self._queues: dict[str, list[_Waiting[T]]] = {}
        self._finish: dict[str, float] = {}
        self._now = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, customer: str, weight: float, cost: float, item: T) -> None:
        """Queue an item.

        :param weight: share of the customer, above 0.
        :param cost: expected work of the item.
        """
        start = max(self._now, self._finish.get(customer, 0.0))
        finish = start + cost / weight
        self._finish[customer] = finish
        self._queues.setdefault(customer, []).append(_Waiting(finish, item))
        self._length += 1

    def charge(self, customer: str, weight: float, cost: float) -> None:
        """Count work of a customer that did not have to wait."""
        start = max(self._now, self._finish.get(customer, 0.0))
        self._finish[customer] = start + cost / weight

    def pop(self) -> T | None:
        """Return the next item in fair order, or None if the queue is empty."""
        if not self._length:
            return None
        customer = min(self._queues, key=lambda name: self._queues[name][0].finish)
        found = self._queues[customer].pop(0)
        self._now = max(self._now, found.finish)
        self._forget(customer)
        return found.item

    def pop_least_valuable(self) -> T | None:
        """Remove the last item of the customer that is furthest beyond its share."""
        if not self._length:
            return None
        customer = max(self._queues, key=lambda name: self._queues[name][-1].finish)
        found = self._queues[customer].pop()
        queue = self._queues[customer]
        self._finish[customer] = queue[-1].finish if queue else self._now
        self._forget(customer)
        return found.item

    def _forget(self, customer: str) -> None:
        self._length -= 1
        if not self._queues[customer]:
            del self._queues[customer]
            stale = [name for name, at in self._finish.items() if at <= self._now]
            for name in stale if len(self._finish) > 2 * len(self._queues) + 64 else ():
                del self._finish[name]
