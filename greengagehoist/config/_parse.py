"""Conversion of plain list entries to their types."""

from datetime import time, timedelta
from typing import Any

from greengagehoist.config._types import (
    EngineStage,
    Holding,
    Idempotent,
    Limits,
    NonIdempotent,
    Pipeline,
    PlanUsage,
    PoolStage,
    QuietHours,
    QuietLimits,
    QuietSpan,
    Service,
    Stage,
)
from greengagehoist.utils._validation import ValidationError, check_float, check_int, check_name

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
MOST = 10**9


def parse_entry(section: str, key: str, value: Any) -> Any:
    """Return the typed entry of a section.

    :raises ValidationError: if a field is missing or outside its accepted range.
    """
    path = f"{section}.{key}"
    match section:
        case "holdings":
            check_name(path, key)
            return Holding(key, value["plan"], value["credential_sha256"])
        case "usage":
            return _parse_usage(path, key, value)
        case "pipelines":
            stages = tuple(_parse_stage(f"{path}.stages", stage) for stage in value["stages"])
            return Pipeline(key, stages)
        case "services":
            return _parse_service(path, key, value)
        case "settings":
            return check_float(path, value, 0.0, 1.0)
        case _:
            raise ValidationError("section", section, "holdings, usage, pipelines, services")


def _parse_usage(path: str, key: str, value: dict[str, Any]) -> PlanUsage:
    limits = value["limits"]
    return PlanUsage(
        plan=key,
        pipelines=tuple(value.get("pipelines", ())),
        services=tuple(value.get("services", ())),
        deadline=timedelta(
            milliseconds=check_int(f"{path}.deadline_ms", value["deadline_ms"], 1, 600_000)
        ),
        weight=check_int(f"{path}.weight", value.get("weight", 1), 1, 1000),
        priority=check_int(f"{path}.priority", value.get("priority", 0), 0, 9),
        limits=Limits(
            *(check_int(f"{path}.limits.{f}", limits[f], 0, MOST) for f in Limits._fields)
        ),
        quiet=_parse_quiet(f"{path}.quiet", value["quiet"]) if value.get("quiet") else None,
    )


def _parse_quiet(path: str, value: dict[str, Any]) -> QuietHours:
    limits = value["limits"]
    return QuietHours(
        value["timezone"],
        tuple(
            QuietSpan(
                tuple(DAYS.index(day) for day in span["days"]),
                time.fromisoformat(span["start"]),
                time.fromisoformat(span["end"]),
            )
            for span in value["spans"]
        ),
        QuietLimits(
            *(check_int(f"{path}.limits.{f}", limits[f], 0, MOST) for f in QuietLimits._fields)
        ),
    )


def _parse_stage(path: str, value: dict[str, Any]) -> Stage:
    if "model" in value:
        return EngineStage(value["name"], value["role"], value["model"])
    return PoolStage(value["name"], value["role"])


def _parse_service(path: str, key: str, value: dict[str, Any]) -> Service:
    operations = {
        name: Idempotent(name) if kind == "idempotent" else NonIdempotent(name)
        for name, kind in value["operations"].items()
    }
    return Service(key, bool(value.get("keeps_keys", False)), operations)
