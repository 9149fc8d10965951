"""Index of prompt prefixes that targets are expected to have cached.

Cache events arrive late and with gaps, so entries are hints: they lose confidence with age, and all
entries of a target that precede a gap count half.
"""

from collections import OrderedDict
from typing import NamedTuple

MOST_BLOCKS_PER_TARGET = 4096
FORGOTTEN_S = 120.0
GAP_CONFIDENCE = 0.5
SENT_CONFIDENCE = 0.9


class CacheEvents(NamedTuple):
    """A run of events that a target published.

    :param first: sequence number of the first event.
    :param count: events in the run, those that are not about blocks included.
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
    """Expected cache contents of the targets of one role."""

    def __init__(self):
        self._entries: dict[str, OrderedDict[int, _Entry]] = {}
        self._next: dict[str, int] = {}
        self._generation: dict[str, int] = {}
        self._holders: dict[int, dict[str, None]] = {}

    def remove(self, name: str) -> None:
        """Forget a target."""
        for block in list(self._entries.get(name, ())):
            self._drop(name, block)
        for table in (self._entries, self._next, self._generation):
            table.pop(name, None)

    def observe_events(self, name: str, events: CacheEvents, now: float) -> None:
        """Take a run of events; runs that were seen already are ignored."""
        expected = self._next.get(name, events.first)
        end = events.first + events.count
        if end <= expected:
            return
        if events.first > expected:
            self._generation[name] = self._generation.get(name, 0) + 1
        self._next[name] = end
        for block in events.stored:
            self._store(name, block, now, 1.0)
        for block in events.removed:
            self._drop(name, block)

    def observe_sent(self, name: str, prefix: tuple[int, ...], now: float) -> None:
        """Expect a target to cache the prefix of a request that was sent to it."""
        for block in prefix:
            self._store(name, block, now, SENT_CONFIDENCE)

    def expected_blocks(self, name: str, prefix: tuple[int, ...], now: float) -> float:
        """Return how many leading blocks of ``prefix`` the target is expected to reuse."""
        entries = self._entries.get(name)
        if not entries:
            return 0.0
        total, generation = 0.0, self._generation.get(name, 0)
        for block in prefix:
            entry = entries.get(block)
            if entry is None:
                break
            at, confidence, stored_in = entry
            if stored_in != generation:
                confidence *= GAP_CONFIDENCE ** (generation - stored_in)
            fresh = 1.0 - (now - at) / FORGOTTEN_S
            if fresh > 0.0:
                total += confidence * fresh
        return total

    def list_holders(self, prefix: tuple[int, ...]) -> tuple[str, ...]:
        """Return targets that hold the longest known part of ``prefix``."""
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
        if len(entries) > MOST_BLOCKS_PER_TARGET:
            self._drop(name, next(iter(entries)))

    def _drop(self, name: str, block: int) -> None:
        entries = self._entries.get(name)
        if entries is not None and entries.pop(block, None) is not None:
            holders = self._holders[block]
            holders.pop(name, None)
            if not holders:
                del self._holders[block]
