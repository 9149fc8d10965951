"""Open connections of a listener, and which of them gives way to a new one."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Generic, TypeVar

T = TypeVar("T")

# Connections that are looked at to find one that has sent nothing.
LOOKED_AT = 32


@dataclass(frozen=True, slots=True)
class Admitted:
    """The connection is served."""


@dataclass(frozen=True, slots=True)
class Replacing(Generic[T]):
    """The connection is served once another one is closed."""

    other: T


@dataclass(frozen=True, slots=True)
class Refused:
    """The connection is closed."""

    reason: str


class ConnectionTable(Generic[T]):
    """Connections that are new, idle between requests, or busy with one.

    When the limit is reached, the oldest connection on which no request has been answered and nothing
    received gives way, then the one that is idle for the longest time, then the oldest one whose first
    request is incomplete. Clients that hold connections without requests so close those of each other,
    and not those that are used.

    :param limit: open connections.
    :param per_address: open connections from one address, 0 for no limit of their own.
    :param is_silent: returns whether nothing of a request has been received.
    """

    def __init__(self, limit: int, per_address: int, is_silent: Callable[[T], bool]):
        self.limit = limit
        self.per_address = per_address
        self.is_silent = is_silent
        self._idle: dict[T, None] = {}
        self._new: dict[T, None] = {}
        self._addresses: dict[T, str] = {}
        self._counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._addresses)

    def waiting(self) -> list[T]:
        """Return the connections without a complete request."""
        return [*self._new, *self._idle]

    def admit(self, address: str) -> Admitted | Replacing[T] | Refused:
        """Decide about a new connection."""
        if self.per_address and self._counts[address] >= self.per_address:
            return Refused("connections_of_address")
        if len(self) < self.limit:
            return Admitted()
        other = self._choose()
        return Replacing(other) if other is not None else Refused("connections")

    def add(self, conn: T, address: str) -> None:
        """Add a connection that was admitted."""
        self._addresses[conn] = address
        self._counts[address] += 1
        self._new[conn] = None

    def set_idle(self, conn: T) -> None:
        """A connection waits for its next request."""
        if conn not in self._new:
            self._idle[conn] = None

    def set_busy(self, conn: T) -> None:
        """A request has been received."""
        self._new.pop(conn, None)
        self._idle.pop(conn, None)

    def remove(self, conn: T) -> None:
        """Remove a connection that has ended."""
        self.set_busy(conn)
        address = self._addresses.pop(conn, None)
        if address is not None:
            self._counts[address] -= 1
            if not self._counts[address]:
                del self._counts[address]

    def _choose(self) -> T | None:
        for conns in (self._new, self._idle):
            for conn in islice(conns, LOOKED_AT):
                if self.is_silent(conn):
                    return conn
        # The longest idle one is receiving a request, which has not run.
        return next(iter(self._new), None) or next(iter(self._idle), None)
