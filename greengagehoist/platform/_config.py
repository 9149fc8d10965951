"""Decoding of the configuration row that the operator writes to the platform's store."""

from typing import Any

from greengagehoist.deployment import (
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
    index_routes,
)
from greengagehoist.replicas import MAX_COLD_S
from greengagehoist.utils import check_float, check_int

BYTES_PER_MB = 1_000_000
MAX_VERSION = 2**63 - 1
MAX_OPTIONAL = 1e9


def decode_deployment(raw: dict[str, Any]) -> Deployment:
    """Decode a configuration.

    :raises KeyError: if a field is missing.
    :raises ValueError: if a field has an unknown value.
    """
    tenants = raw.get("tenants")
    return Deployment(
        version=check_int("version", raw["version"], 0, MAX_VERSION),
        routes=index_routes(_route(item) for item in raw["routes"]),
        services={item["name"]: _service(item) for item in raw["services"]},
        tenants={
            key: Tenant(item["name"], item.get("priority"))
            for item in tenants or ()
            for key in item["api_keys"]
        },
        checks_keys=tenants is not None,
        limits=_limits(raw.get("limits") or {}),
    )


def _route(raw: dict[str, Any]) -> Route:
    # "backends" is present only for routes whose requests are split between several services.
    backends = raw.get("backends") or [{"service": raw["service"], "weight": 1}]
    return Route(
        name=raw["name"],
        host=raw["host"],
        prefix=raw["prefix"],
        kind=_kind(raw),
        timeout_s=raw["timeout_ms"] / 1000,
        target_latency_s=raw.get("target_latency_ms", raw["timeout_ms"]) / 1000,
        priority=raw.get("priority", 0),
        backends=tuple(Backend(item["service"], item["weight"]) for item in backends),
        max_attempts=raw.get("max_attempts", 1),
        stages=tuple(
            Stage(item["service"], tuple(item.get("after") or ()), item.get("bytes", 0))
            for item in raw.get("stages") or ()
        ),
        public=bool(raw.get("public")),
    )


def _kind(raw: dict[str, Any]) -> RouteKind:
    match raw["route_type"]:
        case "idempotent":
            return Idempotent()
        case "non_idempotent":
            return NonIdempotent()
        case "streaming":
            return Streaming(bool(raw.get("resumable")), (raw.get("gap_target_ms") or 0) / 1000)
        case other:
            raise ValueError(f"unknown route type {other!r}")


def _service(raw: dict[str, Any]) -> Service:
    # Only stage pools have "segments", the limits of one replica.
    pool = raw.get("segments")
    limits = pool and PoolLimits(
        batch=pool["batch"],
        call_s=pool["call_ms"] / 1000,
        piece_s=pool["item_ms"] / 1000,
        result_bytes=pool["headroom_mb"] * BYTES_PER_MB,
    )
    return Service(
        raw["name"],
        limits or None,
        cold_start_s=min(_optional(raw, "cold_start_s"), MAX_COLD_S),
        cold_per_s=_optional(raw, "cold_per_s"),
    )


def _optional(raw: dict[str, Any], name: str) -> float:
    value = raw.get(name)
    return 0.0 if value is None else check_float(name, value, 0.0, MAX_OPTIONAL)


def _limits(raw: dict[str, Any]) -> Limits:
    defaults = Limits()
    return Limits(
        header_bytes=raw.get("max_header_bytes") or defaults.header_bytes,
        body_bytes=raw.get("max_body_bytes") or defaults.body_bytes,
        header_timeout_s=(raw.get("header_timeout_ms") or defaults.header_timeout_s * 1000) / 1000,
        idle_timeout_s=(raw.get("idle_timeout_ms") or defaults.idle_timeout_s * 1000) / 1000,
    )
