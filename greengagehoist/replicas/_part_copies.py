"""Replicas that hold shared parts of prompts besides their homes."""

# A copy that no request has used for this long may have been evicted.
COPY_KEPT_S = 10.0
MAX_COPIES = 2048

# Key of a part and id of a replica.
PartCopy = tuple[int, str]


class PartCopies:
    """Copies of shared parts, as requests that left the homes have made them."""

    def __init__(self):
        # Time until which each replica counts as a holder, by part.
        self._until: dict[int, dict[str, float]] = {}
        self._count = 0

    def note(self, key: int, replica_id: str, now: float) -> bool:
        """Note a request with a part at a replica; return whether other daemons should know."""
        held = self._until.setdefault(key, {})
        known_until = held.get(replica_id)
        held[replica_id] = now + COPY_KEPT_S
        if known_until is None:
            self._count += 1
            if self._count > MAX_COPIES:
                self._drop_expired(now)
        return known_until is None or known_until - now < COPY_KEPT_S / 2

    def of(self, key: int, now: float) -> frozenset[str]:
        """Return the ids of the replicas that hold copies of a part."""
        held = self._until.get(key)
        if not held:
            return frozenset()
        return frozenset(replica_id for replica_id, until in held.items() if until > now)

    def _drop_expired(self, now: float) -> None:
        """Drop what has expired, and all if that is not enough."""
        kept = {
            key: {replica_id: until for replica_id, until in held.items() if until > now}
            for key, held in self._until.items()
        }
        self._until = {key: held for key, held in kept.items() if held}
        self._count = sum(len(held) for held in self._until.values())
        if self._count > MAX_COPIES:
            self._until, self._count = {}, 0
