"""Accounting of the result memory of one stage pool replica."""

# Replicas drop a result that was not freed within this time after its call.
RESULT_TTL_S = 5.0
# A replica that reported full memory gets no pieces for this time.
FULL_BACKOFF_S = 0.4
# Key of the results that were made before this daemon owned the pool.
UNTRACKED_KEY = ""
# Result sizes are approximate, so part of a replica's memory stays in reserve.
USABLE_FRACTION = 0.95


class ResultMemory:
    """Estimate of the memory that a replica's results take, kept by the owner of its pool.

    :param limit_bytes: memory of the replica for results.
    """

    def __init__(self, limit_bytes: float):
        self.limit_bytes = limit_bytes
        self._results: dict[str, tuple[float, float]] = {}
        self._used_bytes = 0.0

    def available_bytes(self, now: float) -> float:
        """Drop expired results and return the bytes that new ones may take."""
        expired = [key for key, (_, expires_at) in self._results.items() if expires_at <= now]
        for key in expired:
            self.free(key)
        return USABLE_FRACTION * self.limit_bytes - self._used_bytes

    def add(self, handle: str, size: float, now: float, ttl_s: float = RESULT_TTL_S) -> None:
        """Account for a result that the replica has made."""
        self.free(handle)
        self._results[handle] = (size, now + ttl_s)
        self._used_bytes += size

    def mark_full(self, now: float) -> None:
        """Treat the memory as full: the replica reported so, due to results not tracked here."""
        self.add(UNTRACKED_KEY, max(0.0, self.available_bytes(now)), now, FULL_BACKOFF_S)

    def free(self, handle: str) -> None:
        """Release the memory of a result."""
        size, _ = self._results.pop(handle, (0.0, 0.0))
        self._used_bytes -= size
