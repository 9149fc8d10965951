"""Discrete-event loop of the load model."""

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """Runs callbacks in time order; simulated time advances only from event to event."""

    def __init__(self):
        self.now = 0.0
        self._events: list[tuple] = []
        self._sequence = itertools.count()

    def at(self, instant: float, call: Callable, *args) -> None:
        """Schedule ``call(*args)`` at a simulated time in seconds."""
        heapq.heappush(self._events, (instant, next(self._sequence), call, args))

    def after(self, delay: float, call: Callable, *args) -> None:
        """Schedule ``call(*args)`` after a delay in seconds."""
        heapq.heappush(self._events, (self.now + delay, next(self._sequence), call, args))

    def run(self, until: float) -> None:
        """Run all events up to a simulated time and advance the clock to it."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = until
