"""Bound on the transfers that a hub runs at once."""

# Limit on transfers at once. At 5 Mbit/s each they leave a fifth of a link of 100 Mbit/s to others.
MAX_TRANSFERS = 16
# A receiver that has asked for no piece for this long has given up.
IDLE_S = 1.0
# Time after which a daemon that has to wait asks again; it grows with the number of those that wait.
MIN_WAIT_S = 0.1
MAX_WAIT_S = 1.0


class TransferSlots:
    """Transfers that are running, by receiver and topic, and the daemons that wait for one.

    :param limit: maximum number of transfers at once.
    """

    def __init__(self, limit: int = MAX_TRANSFERS):
        self.limit = limit
        self._active: dict[tuple[str, str], float] = {}
        self._waiting: dict[tuple[str, str], float] = {}

    def count(self, now: float) -> int:
        """Return the number of transfers that are running."""
        self._expire(now)
        return len(self._active)

    def admit(self, vm: str, topic: str, now: float) -> float:
        """Begin or continue a transfer; return the seconds to wait, 0 if it may run now."""
        self._expire(now)
        key = (vm, topic)
        if key in self._active or len(self._active) < self.limit:
            self._active[key] = now
            self._waiting.pop(key, None)
            return 0.0
        self._waiting[key] = now
        rounds = len(self._waiting) / self.limit
        return min(MAX_WAIT_S, MIN_WAIT_S * max(1.0, rounds))

    def end(self, vm: str, topic: str) -> None:
        """Free the place of a transfer that has ended."""
        self._active.pop((vm, topic), None)

    def _expire(self, now: float) -> None:
        for key in [item for item, at in self._active.items() if now - at > IDLE_S]:
            del self._active[key]
        for key in [item for item, at in self._waiting.items() if now - at > MAX_WAIT_S + IDLE_S]:
            del self._waiting[key]
