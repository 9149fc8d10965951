"""Decoding of the configuration row that the operator writes to the platform's store."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from greengagehoist.deployment import (
    Backend,
    Deployment,
    EngineLimits,
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
MAX_COUNT = 10**9
MAX_OPTIONAL = 1e9

T = TypeVar("T")


class DeploymentDecoder:
    """Decodes configurations, and keeps the objects of entries that are the same as before.

    Decoding 1,200 routes or 12,000 tenants holds up all requests of a small VM, and most changes
    concern one of them.
    """

    def __init__(self):
        self._routes: dict[bytes, Route] = {}
        self._tenants: dict[bytes, tuple[tuple[str, ...], Tenant]] = {}

    def decode(self, source: str) -> Deployment:
        """Decode a configuration as the operator wrote it.

        :raises KeyError: if a field is missing.
        :raises ValueError: if a field has an unknown value.
        """
        raw = msgspec.json.decode(source, type=dict[str, msgspec.Raw])
        routes, routes_by_text = _decode_entries(raw["routes"], self._routes, _route)
        listed = raw.get("tenants")
        checks_keys = listed is not None and bytes(listed) != b"null"
        entries = listed if checks_keys else msgspec.Raw(b"[]")
        tenants, tenants_by_text = _decode_entries(entries, self._tenants, _tenant)
        rest = {
            name: msgspec.json.decode(value)
            for name, value in raw.items()
            if name not in ("routes", "tenants")
        }
        deployment = Deployment(
            version=check_int("version", rest["version"], 0, MAX_VERSION),
            routes=index_routes(routes),
            services={item["name"]: _service(item) for item in rest["services"]},
            tenants={key: tenant for keys, tenant in tenants for key in keys},
            checks_keys=checks_keys,
            limits=_limits(rest.get("limits") or {}),
        )
        self._routes, self._tenants = routes_by_text, tenants_by_text
        return deployment


def _decode_entries(
    raw: msgspec.Raw, known: dict[bytes, T], decode: Callable[[Any], T]
) -> tuple[list[T], dict[bytes, T]]:
    """Return the entries of a list, decoded unless they are known, and the same by their text."""
    found: list[T] = []
    by_text: dict[bytes, T] = {}
    for item in msgspec.json.decode(raw, type=list[msgspec.Raw]):
        text = bytes(item)
        entry = known.get(text)
        if entry is None:
            entry = decode(msgspec.json.decode(text))
        by_text[text] = entry
        found.append(entry)
    return found, by_text


def _tenant(raw: dict[str, Any]) -> tuple[tuple[str, ...], Tenant]:
    return tuple(raw["api_keys"]), Tenant(raw["name"], raw.get("priority"))


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
        engine=_engine(raw.get("engine")),
        cold_start_s=min(_optional(raw, "cold_start_s"), MAX_COLD_S),
        cold_per_s=_optional(raw, "cold_per_s"),
    )


def _engine(raw: dict[str, Any] | None) -> EngineLimits | None:
    # Services other than engines have no "engine". Its figures only improve the choice of replicas,
    # so that a missing one must not cost the configuration.
    if not isinstance(raw, dict):
        return None
    return EngineLimits(_count(raw.get("slots")), _count(raw.get("kv_capacity")))


def _count(value: Any) -> int:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return int(value) if is_number and 0 < value <= MAX_COUNT else 0


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
