"""Stepped clock and event loop of the load model."""

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """Runs callbacks in the order of their instants; time passes only from event to event."""

    def __init__(self):
        self.now = 0.0
        self._events: list[tuple] = []
        self._sequence = itertools.count()

    def at(self, instant: float, call: Callable, *args) -> None:
        """Run ``call(*args)`` at an instant in seconds."""
        heapq.heappush(self._events, (instant, next(self._sequence), call, args))

    def after(self, delay: float, call: Callable, *args) -> None:
        """Run ``call(*args)`` after a delay in seconds."""
        heapq.heappush(self._events, (self.now + delay, next(self._sequence), call, args))

    def run(self, until: float) -> None:
        """Run all events up to an instant."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = until
