"""Prefix cache of the engine stand-in and its event stream, which can lag and have gaps."""

from collections import OrderedDict, deque
from typing import Any

from greengagehoist.routing import hash_prefix

MAX_EVENTS = 10_000


class PrefixCache:
    """LRU cache of prompt blocks.

    :param capacity: number of blocks.
    :param lag_s: delay in seconds before an event is published.
    :param gap_every: events whose sequence number is a multiple of this are never published; 0 for
        no gaps.
    """

    def __init__(self, capacity: int, lag_s: float = 0.0, gap_every: int = 0):
        self.capacity = capacity
        self.lag_s = lag_s
        self.gap_every = gap_every
        self._cached: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, dict[str, Any]]] = deque(maxlen=MAX_EVENTS)
        self._seq = 0

    def use(self, text: str, now: float) -> int:
        """Look up a prompt and cache its blocks.

        :returns: number of blocks after the longest cached prefix.
        """
        hashes = hash_prefix(text)
        missing = len(hashes)
        for block in hashes:
            if block not in self._cached:
                break
            missing -= 1
        for block in hashes:
            if block not in self._cached:
                self._append_event("stored", block, now)
            self._cached[block] = None
            self._cached.move_to_end(block)
        while len(self._cached) > self.capacity:
            evicted, _ = self._cached.popitem(last=False)
            self._append_event("removed", evicted, now)
        return missing

    def events(self, after: int, now: float) -> list[dict[str, Any]]:
        """Return the events after a sequence number that have been published by ``now``."""
        return [e for at, e in self._events if e["seq"] > after and at + self.lag_s <= now]

    def _append_event(self, kind: str, block: int, now: float) -> None:
        self._seq += 1
        if self.gap_every == 0 or self._seq % self.gap_every:
            self._events.append((now, {"seq": self._seq, "kind": kind, "block": block}))
