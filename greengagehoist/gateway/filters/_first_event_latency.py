"""Latency of the first event of a streamed answer."""

from greengagehoist.deployment import Route

# Estimate before the first answer of a route: prefill of a few thousand tokens.
INITIAL_ESTIMATE_S = 0.15
# Weight of a new sample in the moving average, which covers about the last twenty answers.
SMOOTHING = 0.05


class FirstEventLatency:
    """Exponential moving average of the time from a send to the first event, by route."""

    def __init__(self):
        self._seconds: dict[str, float] = {}

    def observe(self, route: Route, seconds: float) -> None:
        """Add a sample."""
        average = self._seconds.get(route.name, INITIAL_ESTIMATE_S)
        self._seconds[route.name] = average + SMOOTHING * (seconds - average)

    def expected_s(self, route: Route) -> float:
        """Return the expected seconds from the send to the first event."""
        return self._seconds.get(route.name, INITIAL_ESTIMATE_S)
