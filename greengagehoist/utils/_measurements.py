"""Prometheus counters, gauges and latency histograms."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

# Upper bounds of the latency buckets, spread around the latency targets of the routes.
LATENCY_BUCKETS_S = (0.005, 0.025, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.0, 3.0, 5.0, 8.0, 12.0)


class Measurements:
    """The gateway's metrics."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "greengagehoist_requests",
            "Requests by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.latency = Histogram(
            "greengagehoist_request_seconds",
            "Time from arrival to the end of the answer.",
            ["outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.refusals = Counter(
            "greengagehoist_refusals",
            "Connections and requests that were refused before they were served, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.gauges = Gauge(
            "greengagehoist_state", "State of the daemon.", ["name"], registry=self.registry
        )

    def observe_request(self, outcome: str, seconds: float) -> None:
        """Record a finished request."""
        self.requests.labels(outcome).inc()
        self.latency.labels(outcome).observe(seconds)

    def observe_refusal(self, reason: str) -> None:
        """Count a connection or request that was refused before it was served."""
        self.refusals.labels(reason).inc()

    def set_state(self, **values: float) -> None:
        """Set gauges by name."""
        for name, value in values.items():
            self.gauges.labels(name).set(value)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
