"""Reservations of stage work that wait for the answers of the pools' owners."""

from collections.abc import Iterable

from greengagehoist.utils import Reply


class _Open:
    __slots__ = ("missing", "reply", "waits")

    def __init__(self, missing: set[str], reply: Reply):
        self.missing = missing
        self.waits: dict[str, float] = {}
        self.reply = reply


class Reservations:
    """Collects the waiting times of the services of each request; state of the pool controller.

    :ivar owners: by request: the other daemons that hold a reservation.
    """

    def __init__(self):
        self.owners: dict[str, set[str]] = {}
        self._open: dict[str, _Open] = {}

    def open(self, request_id: str, services: Iterable[str], reply: Reply) -> None:
        """Wait for the answers for ``services``; ``reply`` gets seconds by service."""
        self._open[request_id] = _Open(set(services), reply)

    def is_open(self, request_id: str) -> bool:
        """Return whether answers for a request are missing."""
        return request_id in self._open

    def note_sent(self, request_id: str, owner: str) -> None:
        """Note that another daemon may hold a reservation."""
        self.owners.setdefault(request_id, set()).add(owner)

    def answer(self, request_id: str, waits: Iterable[tuple[str, float]]) -> None:
        """Take the waiting times of some services."""
        found = self._open.get(request_id)
        if found is None:
            return
        for service, seconds in waits:
            found.waits[service] = seconds
            found.missing.discard(service)
        if not found.missing:
            self.close(request_id)

    def close(self, request_id: str) -> set[str]:
        """Reply with what is known; returns the services that have not answered."""
        found = self._open.pop(request_id, None)
        if found is None:
            return set()
        found.reply(found.waits)
        return found.missing

    def drop(self, request_id: str) -> set[str]:
        """Forget a request; returns the other daemons that may hold a reservation of it."""
        self.close(request_id)
        return self.owners.pop(request_id, set())
