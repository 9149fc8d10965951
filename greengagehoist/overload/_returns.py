"""Room that is reserved for refused requests whose clients come back."""

from collections import deque
from typing import NamedTuple

# Share of a pool that is reserved for returns while it is overloaded.
RETURN_SHARE = 0.05
# A return may be this much earlier or later than it was told.
EARLY_S = 0.15
LATE_S = 0.6
# Returns that are remembered.
MAX_RETURNS = 1024


class _Return(NamedTuple):
    at: float
    pieces: int


class ExpectedReturns:
    """Returns that the owner of a pool has promised room, in aggregate.

    A client's next attempt has another id and may reach another daemon, so returns are not told
    apart: a further attempt takes room that is reserved for about now, whoever it was promised to.
    """

    def __init__(self):
        self._returns: deque[_Return] = deque()
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

    def promise(self, pieces: int, pieces_per_s: float, returns_in_s: float, now: float) -> None:
        """Reserve room for a return."""
        self.expire(now)
        if len(self._returns) >= MAX_RETURNS:
            return
        self._next_at = max(self._next_at, now) + pieces / max(1e-9, RETURN_SHARE * pieces_per_s)
        self._returns.append(_Return(now + returns_in_s, pieces))

    def take(self, pieces: int, now: float) -> bool:
        """Take room that is reserved for about now; returns whether there is enough."""
        self.expire(now)
        usable = [item for item in self._returns if item.at <= now + EARLY_S]
        if sum(item.pieces for item in usable) < pieces:
            return False
        missing = pieces
        for item in usable:
            taken = min(missing, item.pieces)
            missing -= taken
            self._returns.remove(item)
            if taken < item.pieces:
                self._returns.appendleft(item._replace(pieces=item.pieces - taken))
            if not missing:
                break
        return True

    def pieces_before(self, time: float) -> int:
        """Return the pieces for which room is reserved before a time."""
        return sum(item.pieces for item in self._returns if item.at < time)

    def expire(self, now: float) -> None:
        """Give up the room of returns that have not come."""
        if any(item.at + LATE_S < now for item in self._returns):
            self._returns = deque(item for item in self._returns if item.at + LATE_S >= now)

    def __len__(self) -> int:
        return len(self._returns)
