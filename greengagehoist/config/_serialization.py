"""Plain form of the lists, as in the list files, and their digest."""

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
    """Both lists as one plain document."""

    holdings: dict[str, Any]
    usage: dict[str, Any]
    pipelines: dict[str, Any]
    services: dict[str, Any]
    settings: dict[str, Any]


def lists_to_dict(cfg: Config) -> Lists:
    """Return the lists of a configuration as a plain document."""
    return {
        "holdings": {key: plain_entry(item) for key, item in cfg.holdings.items()},
        "usage": {key: plain_entry(item) for key, item in cfg.usage.items()},
        "pipelines": {key: plain_entry(item) for key, item in cfg.pipelines.items()},
        "services": {key: plain_entry(item) for key, item in cfg.services.items()},
        "settings": plain_settings(cfg),
    }


def plain_settings(cfg: Config) -> dict[str, Any]:
    """Return the settings that differ from their defaults."""
    if cfg.attainment_weight == DEFAULT_ATTAINMENT_WEIGHT:
        return {}
    return {"attainment_weight": cfg.attainment_weight}


def plain_entry(entry: Any) -> Any:
    """Return one entry in plain form.

    Fields with their default value are left out, so that the digest of existing lists stays the
    same when a release adds an optional field.
    """
    match entry:
        case Holding():
            return {"plan": entry.plan, "credential_sha256": entry.credential_sha256}
        case PlanUsage():
            return _plain_usage(entry)
        case Pipeline():
            return {"stages": [_plain_stage(stage) for stage in entry.stages]}
        case Service():
            kinds = {
                name: "idempotent" if isinstance(kind, Idempotent) else "non-idempotent"
                for name, kind in entry.operations.items()
            }
            return {"operations": kinds, **({"keeps_keys": True} if entry.keeps_keys else {})}
        case _:
            return entry


def _plain_usage(entry: PlanUsage) -> dict[str, Any]:
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
        value["quiet"] = _plain_quiet(entry.quiet)
    return value


def _plain_quiet(quiet: QuietHours) -> dict[str, Any]:
    return {
        "timezone": quiet.timezone,
        "spans": [_plain_span(span) for span in quiet.spans],
        "limits": quiet.limits._asdict(),
    }


def _plain_span(span: QuietSpan) -> dict[str, Any]:
    days = [DAYS[day] for day in span.days]
    return {"days": days, "start": _plain_time(span.start), "end": _plain_time(span.end)}


def _plain_time(value: time) -> str:
    return value.isoformat("minutes")


def _plain_stage(stage: Stage) -> dict[str, str]:
    value = {"name": stage.name, "role": stage.role}
    return {**value, "model": stage.model} if isinstance(stage, EngineStage) else value


def digest_lists(cfg: Config) -> str:
    """Return the digest of the lists: the sum of the hashes of all entries, as 64 hex digits.

    A sum can be updated for the changed entries alone, while a hash of the whole document would
    have to read all 12,000 organisations for each change.
    """
    lists = lists_to_dict(cfg)
    total = sum(
        entry_hash(section, key, value)
        for section, entries in lists.items()
        for key, value in entries.items()
    )
    return format_digest(total)


def format_digest(total: int) -> str:
    """Return a sum of entry hashes as 64 hex digits."""
    return f"{total % _DIGEST_MODULUS:064x}"


def entry_hash(section: str, key: str, value: Any) -> int:
    """Return the hash of one plain entry."""
    text = f"{section}\0{key}\0{_canonical(value)}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest(), "big")


def _canonical(value: Any) -> str:
    if isinstance(value, dict):
        items = ",".join(f"{key!r}:{_canonical(value[key])}" for key in sorted(value))
        return "{" + items + "}"
    if isinstance(value, list | tuple):
        return "[" + ",".join(_canonical(item) for item in value) + "]"
    return repr(value)
