"""Metrics sent to a statsd server over UDP."""

from typing import Protocol

import statsd


class Metrics(Protocol):
    """The subset of the statsd client that the system uses."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NullMetrics:
    """Discards all metrics."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a count."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""


def connect_metrics(address: tuple[str, int] | None) -> Metrics:
    """Return a client for the statsd server at ``address``, or one that discards everything."""
    if address is None:
        return NullMetrics()
    return statsd.StatsClient(host=address[0], port=address[1], prefix="greengagehoist")
