"""Observed times from the send of a request to the beginning of its answer."""

from greengagehoist.deployment import Route

# Expected before the first answer of a route: prefill of a few thousand tokens.
FIRST_GUESS_S = 0.15
# Part of a new sample in the running average; about the last twenty answers count.
SMOOTHING = 0.05


class FirstEventLatency:
    """Running average of the times to the first event, by route."""

    def __init__(self):
        self._seconds: dict[str, float] = {}

    def observe(self, route: Route, seconds: float) -> None:
        """Take the time from a send to the first event of its answer."""
        before = self._seconds.get(route.name, FIRST_GUESS_S)
        self._seconds[route.name] = before + SMOOTHING * (seconds - before)

    def expected_s(self, route: Route) -> float:
        """Return the expected seconds from the send to the first event."""
        return self._seconds.get(route.name, FIRST_GUESS_S)
