"""Reservations of stage work that are not yet answered by all owners of the pools."""

from collections.abc import Iterable

from greengagehoist.overload import PoolWait
from greengagehoist.utils import Reply


class _PendingReservation:
    __slots__ = ("missing", "reply", "waits")

    def __init__(self, missing: set[str], reply: Reply):
        self.missing = missing
        self.waits: dict[str, PoolWait] = {}
        self.reply = reply


class Reservations:
    """Collects the waits of the services of each request, for the pool controller.

    :ivar owners: other daemons that may hold a reservation, by request.
    """

    def __init__(self):
        self.owners: dict[str, set[str]] = {}
        self._pending: dict[str, _PendingReservation] = {}

    def open(self, request_id: str, services: Iterable[str], reply: Reply) -> None:
        """Wait for the answers for ``services``; ``reply`` receives the waits by service."""
        self._pending[request_id] = _PendingReservation(set(services), reply)

    def is_open(self, request_id: str) -> bool:
        """Return whether answers for a request are missing."""
        return request_id in self._pending

    def add_owner(self, request_id: str, owner: str) -> None:
        """Record that another daemon may hold a reservation."""
        self.owners.setdefault(request_id, set()).add(owner)

    def add_waits(self, request_id: str, waits: Iterable[tuple[str, PoolWait]]) -> None:
        """Add the waits of some services; replies when all services have answered."""
        found = self._pending.get(request_id)
        if found is None:
            return
        for service, wait in waits:
            found.waits[service] = wait
            found.missing.discard(service)
        if not found.missing:
            self.close(request_id)

    def close(self, request_id: str) -> set[str]:
        """Reply with the waits so far; returns the services that have not answered."""
        found = self._pending.pop(request_id, None)
        if found is None:
            return set()
        found.reply(found.waits)
        return found.missing

    def drop(self, request_id: str) -> set[str]:
        """Forget a request; returns the other daemons that may hold a reservation of it."""
        self.close(request_id)
        return self.owners.pop(request_id, set())
