"""Operator's configuration of a deployment: routes, services and tenants, and how fresh it is."""

from greengagehoist.deployment._routes import choose_service, find_route, index_routes
from greengagehoist.deployment._snapshot import (
    Allowed,
    DeploymentSnapshot,
    KeyDecision,
    Unconfirmed,
    UnknownKey,
    check_key,
    is_fresh,
    merge,
)
from greengagehoist.deployment._types import (
    Backend,
    Deployment,
    Idempotent,
    Limits,
    NonIdempotent,
    PoolLimits,
    Route,
    RouteKind,
    Service,
    Stage,
    Streaming,
    Tenant,
)

__all__ = [
    "Allowed",
    "Backend",
    "Deployment",
    "Idempotent",
    "KeyDecision",
    "DeploymentSnapshot",
    "Limits",
    "NonIdempotent",
    "PoolLimits",
    "Route",
    "RouteKind",
    "Service",
    "Stage",
    "Streaming",
    "Tenant",
    "Unconfirmed",
    "UnknownKey",
    "check_key",
    "choose_service",
    "find_route",
    "index_routes",
    "is_fresh",
    "merge",
]
