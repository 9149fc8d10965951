"""Conversion of the lists to built-in types, as in the list files, and their digest."""

import hashlib
from datetime import time, timedelta
from typing import Any, TypedDict

from greengagehoist.config._parse import DAYS
from greengagehoist.config._types import (
    DEFAULT_ATTAINMENT_WEIGHT,
    Config,
    EngineStage,
    Holding,
    Idempotent,
    Pipeline,
    PlanUsage,
    QuietHours,
    QuietSpan,
    Service,
    Stage,
)

_DIGEST_MODULUS = 1 << 256


class Lists(TypedDict):
    """Both lists as one document of built-in types."""

    holdings: dict[str, Any]
    usage: dict[str, Any]
    pipelines: dict[str, Any]
    services: dict[str, Any]
    settings: dict[str, Any]


def lists_to_dict(cfg: Config) -> Lists:
    """Return the lists of a configuration as one document of built-in types."""
    return {
        "holdings": {key: entry_to_builtins(item) for key, item in cfg.holdings.items()},
        "usage": {key: entry_to_builtins(item) for key, item in cfg.usage.items()},
        "pipelines": {key: entry_to_builtins(item) for key, item in cfg.pipelines.items()},
        "services": {key: entry_to_builtins(item) for key, item in cfg.services.items()},
        "settings": settings_to_dict(cfg),
    }


def settings_to_dict(cfg: Config) -> dict[str, Any]:
    """Return the settings that differ from their defaults."""
    if cfg.attainment_weight == DEFAULT_ATTAINMENT_WEIGHT:
        return {}
    return {"attainment_weight": cfg.attainment_weight}


def entry_to_builtins(entry: Any) -> Any:
    """Return one entry as built-in types.

    Fields with their default value are omitted, so that a release that adds an optional field
    doesn't change the digest of existing lists.
    """
    match entry:
        case Holding():
            return {"plan": entry.plan, "credential_sha256": entry.credential_sha256}
        case PlanUsage():
            return _usage_to_dict(entry)
        case Pipeline():
            return {"stages": [_stage_to_dict(stage) for stage in entry.stages]}
        case Service():
            kinds = {
                name: "idempotent" if isinstance(kind, Idempotent) else "non-idempotent"
                for name, kind in entry.operations.items()
            }
            return {"operations": kinds, **({"keeps_keys": True} if entry.keeps_keys else {})}
        case _:
            return entry


def _usage_to_dict(entry: PlanUsage) -> dict[str, Any]:
    value: dict[str, Any] = {
        "deadline_ms": entry.deadline // timedelta(milliseconds=1),
        "limits": entry.limits._asdict(),
    }
    if entry.pipelines:
        value["pipelines"] = list(entry.pipelines)
    if entry.services:
        value["services"] = list(entry.services)
    if entry.weight != 1:
        value["weight"] = entry.weight
    if entry.priority != 0:
        value["priority"] = entry.priority
    if entry.quiet is not None:
        value["quiet"] = _quiet_hours_to_dict(entry.quiet)
    return value


def _quiet_hours_to_dict(quiet: QuietHours) -> dict[str, Any]:
    return {
        "timezone": quiet.timezone,
        "spans": [_span_to_dict(span) for span in quiet.spans],
        "limits": quiet.limits._asdict(),
    }


def _span_to_dict(span: QuietSpan) -> dict[str, Any]:
    days = [DAYS[day] for day in span.days]
    return {"days": days, "start": _format_time(span.start), "end": _format_time(span.end)}


def _format_time(value: time) -> str:
    return value.isoformat("minutes")


def _stage_to_dict(stage: Stage) -> dict[str, str]:
    value = {"name": stage.name, "role": stage.role}
    return {**value, "model": stage.model} if isinstance(stage, EngineStage) else value


def digest_lists(cfg: Config) -> str:
    """Return the sum of the hashes of all entries modulo 2**256, as 64 hex digits.

    A sum can be updated from the changed entries alone; a hash of the whole document would have
    to be computed over all 12,000 organisations for each change.
    """
    lists = lists_to_dict(cfg)
    total = sum(
        hash_entry(section, key, value)
        for section, entries in lists.items()
        for key, value in entries.items()
    )
    return format_digest(total)


def format_digest(total: int) -> str:
    """Return a sum of entry hashes modulo 2**256 as 64 hex digits."""
    return f"{total % _DIGEST_MODULUS:064x}"


def hash_entry(section: str, key: str, value: Any) -> int:
    """Return the SHA-256 of one entry as an integer."""
    text = f"{section}\0{key}\0{_canonical(value)}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest(), "big")


def _canonical(value: Any) -> str:
    if isinstance(value, dict):
        items = ",".join(f"{key!r}:{_canonical(value[key])}" for key in sorted(value))
        return "{" + items + "}"
    if isinstance(value, list | tuple):
        return "[" + ",".join(_canonical(item) for item in value) + "]"
    return repr(value)
