"""Units of concurrency: use, lending, return and expiry."""

from typing import NamedTuple

from greengagehoist.quota._leases import LeaseBook
from greengagehoist.quota._slots import LEASE_MARGIN_S, Instant, apportion


class _Use(NamedTuple):
    """A unit in use.

    :param until: monotonic time at which the unit expires if it is not released earlier.
    """

    pool: tuple[str, str]
    until: float


class Units:
    """Units of one daemon that are in use, by its own requests or lent to peers."""

    def __init__(self, leases: LeaseBook):
        self.leases = leases
        self._uses: dict[str, _Use] = {}
        self._counts: dict[tuple[str, str], int] = {}

    def acquire(
        self, unit_id: str, customer: str, resource: str, limit: int, now: Instant, lasting: float
    ) -> bool:
        """Acquire a unit for a request that ends within ``lasting`` seconds.

        All units in use are counted against the shares of the slots whose leases cover the whole
        request, so that at no later time more units are in use than the held slots allow.

        :returns: True if the unit was acquired now or, under the same id, before.
        """
        if unit_id in self._uses:
            return True
        pool = (customer, resource)
        self._expire(now.mono)
        slots = self.leases.unit_slots(now, lasting)
        share = sum(apportion(limit, slot, customer) for slot in slots)
        if self._counts.get(pool, 0) >= share:
            return False
        self._uses[unit_id] = _Use(pool, now.mono + lasting + LEASE_MARGIN_S)
        self._counts[pool] = self._counts.get(pool, 0) + 1
        return True

    def release(self, unit_id: str) -> bool:
        """Release a unit; return False if it was not in use."""
        use = self._uses.pop(unit_id, None)
        if use is None:
            return False
        self._counts[use.pool] -= 1
        if not self._counts[use.pool]:
            del self._counts[use.pool]
        return True

    def longest_remaining(self, now: Instant) -> float:
        """Return the seconds until the last unit in use expires."""
        self._expire(now.mono)
        return max((use.until - now.mono for use in self._uses.values()), default=0.0)

    def _expire(self, mono: float) -> None:
        for unit_id in [uid for uid, use in self._uses.items() if use.until <= mono]:
            self.release(unit_id)
