"""Index of the prompt prefixes that targets are expected to have cached.

Cache events arrive late and with gaps, so entries are hints: their confidence decreases with age,
and each gap in the events of a target halves the confidence of its earlier entries.
"""

from collections import OrderedDict
from typing import NamedTuple

MAX_BLOCKS_PER_TARGET = 4096
ENTRY_TTL_S = 120.0
GAP_CONFIDENCE_FACTOR = 0.5
SENT_CONFIDENCE = 0.9


class CacheEvents(NamedTuple):
    """Consecutive cache events of a target.

    :param first: sequence number of the first event.
    :param count: number of events, including those that concern no block.
    :param stored: hashes of blocks that were cached.
    :param removed: hashes of blocks that were evicted.
    """

    first: int
    count: int
    stored: tuple[int, ...]
    removed: tuple[int, ...]


class _Entry(NamedTuple):
    at: float
    confidence: float
    generation: int


class CacheIndex:
    """Expected cache contents of the targets of one role.

    The generation of a target counts the gaps in its events.
    """

    def __init__(self):
        self._entries: dict[str, OrderedDict[int, _Entry]] = {}
        self._next_sequence: dict[str, int] = {}
        self._generation: dict[str, int] = {}
        self._holders: dict[int, dict[str, None]] = {}

    def remove(self, name: str) -> None:
        """Remove all entries of a target."""
        for block in list(self._entries.get(name, ())):
            self._discard(name, block)
        for table in (self._entries, self._next_sequence, self._generation):
            table.pop(name, None)

    def observe_events(self, name: str, events: CacheEvents, now: float) -> None:
        """Apply cache events; events that were all applied before are ignored."""
        expected = self._next_sequence.get(name, events.first)
        end = events.first + events.count
        if end <= expected:
            return
        if events.first > expected:
            self._generation[name] = self._generation.get(name, 0) + 1
        self._next_sequence[name] = end
        for block in events.stored:
            self._store(name, block, now, 1.0)
        for block in events.removed:
            self._discard(name, block)

    def observe_sent(self, name: str, prefix: tuple[int, ...], now: float) -> None:
        """Record that a target is expected to cache the prefix of a request sent to it."""
        for block in prefix:
            self._store(name, block, now, SENT_CONFIDENCE)

    def expected_blocks(self, name: str, prefix: tuple[int, ...], now: float) -> float:
        """Return the expected number of leading blocks of ``prefix`` that the target has cached."""
        entries = self._entries.get(name)
        if not entries:
            return 0.0
        total, generation = 0.0, self._generation.get(name, 0)
        for block in prefix:
            entry = entries.get(block)
            if entry is None:
                break
            at, confidence, entry_generation = entry
            if entry_generation != generation:
                confidence *= GAP_CONFIDENCE_FACTOR ** (generation - entry_generation)
            freshness = 1.0 - (now - at) / ENTRY_TTL_S
            if freshness > 0.0:
                total += confidence * freshness
        return total

    def list_holders(self, prefix: tuple[int, ...]) -> tuple[str, ...]:
        """Return the targets with the longest match of ``prefix``."""
        for block in reversed(prefix):
            holders = self._holders.get(block)
            if holders:
                return tuple(holders)
        return ()

    def _store(self, name: str, block: int, now: float, confidence: float) -> None:
        entries = self._entries.setdefault(name, OrderedDict())
        entries[block] = _Entry(now, confidence, self._generation.get(name, 0))
        entries.move_to_end(block)
        self._holders.setdefault(block, {})[name] = None
        if len(entries) > MAX_BLOCKS_PER_TARGET:
            self._discard(name, next(iter(entries)))

    def _discard(self, name: str, block: int) -> None:
        entries = self._entries.get(name)
        if entries is not None and entries.pop(block, None) is not None:
            holders = self._holders[block]
            holders.pop(name, None)
            if not holders:
                del self._holders[block]
