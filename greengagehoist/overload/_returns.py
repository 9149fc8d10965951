"""Room that is reserved for refused requests whose clients come back."""

from typing import NamedTuple

# Share of a pool that is reserved for returns while it is overloaded.
RETURN_SHARE = 0.05
# A return may be this much earlier or later than it was told.
EARLY_S = 0.15
LATE_S = 0.6
# Returns that are remembered.
MAX_RETURNS = 1024


class ReturnKey(NamedTuple):
    """What both attempts of a client have in common.

    The next attempt has another id and may reach another daemon. A wrong match only swaps requests
    of one tenant and route that need the same work.
    """

    kind: str
    tenant: str
    size: int
    pieces: int


class _Return(NamedTuple):
    at: float
    key: ReturnKey


class ExpectedReturns:
    """Returns to which the owner of a pool has promised room."""

    def __init__(self):
        self._returns: list[_Return] = []
        self._next_at = 0.0

    def room_s(self, pieces: int, pieces_per_s: float, backlog_s: float, now: float) -> float:
        """Return the seconds until there is room for a return.

        :param pieces_per_s: what the pool does.
        :param backlog_s: time in which the pool finishes the work that it has.
        """
        if len(self._returns) >= MAX_RETURNS:
            return float("inf")
        spread_s = pieces / max(1e-9, RETURN_SHARE * pieces_per_s)
        return max(now + backlog_s, self._next_at + spread_s) - now

    def promise(self, key: ReturnKey, pieces_per_s: float, returns_in_s: float, now: float) -> None:
        """Reserve room for a return."""
        self.expire(now)
        if len(self._returns) >= MAX_RETURNS:
            return
        spread_s = key.pieces / max(1e-9, RETURN_SHARE * pieces_per_s)
        self._next_at = max(self._next_at, now) + spread_s
        self._returns.append(_Return(now + returns_in_s, key))

    def take(self, key: ReturnKey, now: float) -> bool:
        """Take the room that is reserved for a request at about this time, if there is any."""
        self.expire(now)
        for item in self._returns:
            if item.key == key and item.at <= now + EARLY_S:
                self._returns.remove(item)
                return True
        return False

    def pieces_before(self, time: float) -> int:
        """Return the pieces for which room is reserved before a time."""
        return sum(item.key.pieces for item in self._returns if item.at < time)

    def expire(self, now: float) -> None:
        """Give up the room of returns that have not come."""
        self._returns = [item for item in self._returns if item.at + LATE_S >= now]

    def __len__(self) -> int:
        return len(self._returns)
