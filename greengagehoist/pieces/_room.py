"""Memory for results at one replica of a stage pool."""

# Time after its call for which a result surely exists no longer, if it was not freed.
RESULT_LIFE_S = 5.0
# Time for which a replica that had no room gets no further pieces.
FULL_LIFE_S = 0.4
# Key of results that other daemons had made before this one owned the pool.
UNKNOWN = ""
# Part of a replica's memory that is planned for, because result sizes are approximate.
USED_PART = 0.95


class Room:
    """Results that a replica holds, as far as its pool's owner knows.

    :param limit_bytes: memory of the replica for results.
    """

    def __init__(self, limit_bytes: float):
        self.limit_bytes = limit_bytes
        self._held: dict[str, tuple[float, float]] = {}
        self._held_bytes = 0.0

    def left(self, now: float) -> float:
        """Return the bytes that further results may take."""
        expired = [key for key, (_, until) in self._held.items() if until <= now]
        for key in expired:
            self.free(key)
        return USED_PART * self.limit_bytes - self._held_bytes

    def hold(self, handle: str, size: float, now: float, life_s: float = RESULT_LIFE_S) -> None:
        """Note a result that was made."""
        self.free(handle)
        self._held[handle] = (size, now + life_s)
        self._held_bytes += size

    def fill(self, now: float) -> None:
        """Note that the replica has no room: it holds results that this account does not know."""
        self.hold(UNKNOWN, max(0.0, self.left(now)), now, FULL_LIFE_S)

    def free(self, handle: str) -> None:
        """Note that a result was freed."""
        size, _ = self._held.pop(handle, (0.0, 0.0))
        self._held_bytes -= size
