"""Fixtures of the gateway's tests."""

import pytest

from greengagehoist.deployment import (
    Deployment,
    DeploymentSnapshot,
    Limits,
    PoolLimits,
    Route,
    Service,
    Stage,
    Streaming,
    Tenant,
)
from greengagehoist.gateway import Exchange, GatewayRequest, Progress

STAGES = (Stage("p1", (), 8e3), Stage("p2", (0,), 60e3))
ROUTE = Route("r", "h", "/", Streaming(True, 0.8), 30.0, 1.5, 1, (), 2, STAGES, False)
SERVICES = {name: Service(name, PoolLimits(8, 0.15, 0.01, 10e6)) for name in ("p1", "p2")}


@pytest.fixture
def make_exchange(clock):
    """Return a function that builds a request of a route with two stages."""

    def make(counts=(2, 4), age_s=0.0, deadline_s=8.0):
        now = clock.monotonic()
        req = GatewayRequest(
            "id", b"POST", b"/", "h", "/", (), b"", None, deadline_s, None, counts, "k", None
        )
        deployment = Deployment(1, {}, SERVICES, {}, False, Limits())
        return Exchange(
            req,
            None,
            now,
            Progress(),
            DeploymentSnapshot(deployment, now),
            ROUTE,
            "s",
            Tenant("t", 1),
            answer_deadline=now + deadline_s,
            due=now - age_s + ROUTE.target_latency_s,
        )

    return make
