"""Bounded prefix cache of the engine stand-in and its late, gapped events."""

from collections import OrderedDict, deque
from typing import Any

from greengagehoist.routing import hash_prefix

MOST_EVENTS = 10_000


class PrefixCache:
    """Least recently used cache of prompt blocks.

    :param blocks: capacity in blocks.
    :param lag_s: seconds by which events are published late.
    :param gap_every: every event with a sequence number divisible by it is never published, 0 for
        no gaps.
    """

    def __init__(self, blocks: int, lag_s: float = 0.0, gap_every: int = 0):
        self.blocks = blocks
        self.lag_s = lag_s
        self.gap_every = gap_every
        self._kept: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, dict[str, Any]]] = deque(maxlen=MOST_EVENTS)
        self._seq = 0

    def use(self, text: str, now: float) -> int:
        """Look up a prompt and keep its blocks.

        :returns: blocks of the prompt that were not cached.
        """
        hashes = hash_prefix(text)
        missing = len(hashes)
        for block in hashes:
            if block not in self._kept:
                break
            missing -= 1
        for block in hashes:
            if block not in self._kept:
                self._publish("stored", block, now)
            self._kept[block] = None
            self._kept.move_to_end(block)
        while len(self._kept) > self.blocks:
            removed, _ = self._kept.popitem(last=False)
            self._publish("removed", removed, now)
        return missing

    def events(self, after: int, now: float) -> list[dict[str, Any]]:
        """Return the events after a sequence number that are published at ``now``."""
        return [e for at, e in self._events if e["seq"] > after and at + self.lag_s <= now]

    def _publish(self, kind: str, block: int, now: float) -> None:
        self._seq += 1
        if self.gap_every == 0 or self._seq % self.gap_every:
            self._events.append((now, {"seq": self._seq, "kind": kind, "block": block}))
