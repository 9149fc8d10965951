"""Decoding of the settings file that the platform provides on each VM."""

from typing import Any

import yaml

from greengagehoist.gateway import (
    DEFAULT_MAX_FDS,
    DEFAULT_MEMORY_BYTES,
    Bounds,
    ClientLimits,
    GatewaySettings,
)
from greengagehoist.utils import ValidationError, check_address, check_float, check_int, check_text

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "GREENGAGEHOIST_NODE_FILE"
MAX_BOUND_S = 86_400.0
MAX_RETRY_SETTING = 1e9
MAX_LIMIT = 1e9
MIN_MEMORY_MB = 1.0
MAX_DESCRIPTORS = 10_000_000
# With a larger share, the process itself has too little memory left.
MAX_MEMORY_SHARE = 0.5
MIN_MEMORY_SHARE = 0.1
MAX_BODY_RATE = 1_000_000.0
# Link speed above which a daemon that uses one core is limited by the core, not by the link.
MBPS_PER_CORE = 20.0


def read_settings(text: str) -> GatewaySettings:
    """Decode a settings file; unknown fields are ignored.

    :raises ValidationError: with the first invalid field, its value and the accepted values.
    """
    try:
        raw = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as exc:
        reason = " ".join(str(exc).split())
        raise ValidationError("settings file", reason, "a YAML document") from exc
    ip = check_text("ip", _get(raw, "ip"), 64)
    first_port = check_int("internal_ports.0", _get(raw, "internal_ports", 0), 1, 65535)
    return GatewaySettings(
        vm=check_text("node_name", _get(raw, "node_name"), 200),
        data_centre=check_text("zone", _get(raw, "zone"), 200),
        clients=_address(raw, "listen", "frontend"),
        readiness=_address(raw, "listen", "ready"),
        peers=f"{ip}:{first_port}",
        platform=_address(raw, "platform", "address"),
        capacity=_capacity(raw),
        bounds=_bounds(raw),
        memory_bytes=_memory_bytes(raw),
        data_centres=_data_centres(raw),
        max_fds=_max_fds(raw),
        client_limits=_client_limits(raw),
    )


def _data_centres(raw: Any) -> frozenset[str]:
    """Return the names of all data centres; entries of another form are left out."""
    zones = _get(raw, "zones")
    names = zones if isinstance(zones, list | dict) else ()
    return frozenset(item for item in names if isinstance(item, str))


def _memory_bytes(raw: Any) -> int:
    value = _get(raw, "limits", "memory_mb")
    if value is None:
        return DEFAULT_MEMORY_BYTES
    return int(check_float("limits.memory_mb", value, MIN_MEMORY_MB, MAX_LIMIT) * 1024 * 1024)


def _max_fds(raw: Any) -> int:
    value = _get(raw, "limits", "max_fds")
    if value is None:
        return DEFAULT_MAX_FDS
    return int(check_float("limits.max_fds", value, 1, MAX_DESCRIPTORS))


def _client_limits(raw: Any) -> ClientLimits:
    defaults = ClientLimits()

    def count(name: str) -> int:
        value = _get(raw, "client_limits", name)
        if value is None:
            return getattr(defaults, name)
        return check_int(f"client_limits.{name}", value, 0, MAX_DESCRIPTORS)

    def number(name: str, low: float, high: float) -> float:
        value = _get(raw, "client_limits", name)
        if value is None:
            return getattr(defaults, name)
        return check_float(f"client_limits.{name}", value, low, high)

    return ClientLimits(
        connections=count("connections"),
        connections_per_address=count("connections_per_address"),
        in_progress=count("in_progress"),
        memory_share=number("memory_share", MIN_MEMORY_SHARE, MAX_MEMORY_SHARE),
        body_rate=number("body_rate", 0.0, MAX_BODY_RATE),
        body_grace_s=number("body_grace_s", 1.0, MAX_BOUND_S),
    )


def _capacity(raw: Any) -> float:
    def limit(name: str) -> float:
        return check_float(f"limits.{name}", _get(raw, "limits", name), 0.0, MAX_LIMIT)

    # "cores" is the speed of the VM's core; "cpu_fraction" is the share that the daemon may use.
    return min(limit("cpu_fraction") * limit("cores"), limit("link_mbps") / MBPS_PER_CORE)


def _bounds(raw: Any) -> Bounds:
    def milliseconds(name: str) -> float:
        value = _get(raw, "bounds", name)
        return check_float(f"bounds.{name}", value, 0.0, MAX_BOUND_S * 1000) / 1000

    def optional_milliseconds(name: str) -> float | None:
        return None if _get(raw, "bounds", name) is None else milliseconds(name)

    def seconds(name: str) -> float:
        return check_float(f"bounds.{name}", _get(raw, "bounds", name), 0.0, MAX_BOUND_S)

    def number(name: str) -> float:
        return check_float(f"bounds.{name}", _get(raw, "bounds", name), 0.0, MAX_RETRY_SETTING)

    def optional_number(name: str) -> float | None:
        return None if _get(raw, "bounds", name) is None else number(name)

    return Bounds(
        drain_s=milliseconds("drain_ms"),
        grace_s=seconds("grace_s"),
        apply_s=milliseconds("config_apply_ms"),
        revoke_s=milliseconds("revoke_ms"),
        retry_ratio=number("retry_budget_ratio"),
        retry_slack=number("retry_budget_slack"),
        retry_window_s=seconds("budget_window_s"),
        evacuate_s=optional_milliseconds("evacuate_ms"),
        cold_overshoot=optional_number("cold_overshoot"),
        cold_slack=optional_number("cold_slack"),
    )


def _address(raw: Any, *path: str) -> str:
    value = _get(raw, *path)
    check_address(".".join(path), value)
    return value


def _get(raw: Any, *path: str | int) -> Any:
    """Return a nested value, or None if it is missing."""
    for key in path:
        try:
            raw = raw[key]
        except (KeyError, IndexError, TypeError):
            return None
    return raw
