"""Parsing of list entries into their types."""

import re
from datetime import time, timedelta
from typing import Any
from zoneinfo import ZoneInfo

from greengagehoist.config._types import (
    DEFAULT_ATTAINMENT_WEIGHT,
    EngineStage,
    Holding,
    Idempotent,
    Limits,
    NonIdempotent,
    Operation,
    Pipeline,
    PlanUsage,
    PoolStage,
    QuietHours,
    QuietLimits,
    QuietSpan,
    Service,
    Stage,
)
from greengagehoist.config._validation import Path, Validator

SECTIONS = ("holdings", "usage", "pipelines", "services", "settings")
DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
MAX_LIMIT = 10**9
MAX_DEADLINE_MS = 600_000
MAX_STAGES = 8
MAX_SPANS = 28
MAX_NAMES = 200
MAX_OPERATIONS = 200

_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
_TIME = re.compile(r"([01][0-9]|2[0-3]):[0-5][0-9]")
_TIMEZONE = re.compile(r"[A-Za-z][A-Za-z0-9_+-]*(/[A-Za-z0-9_+-]+){0,2}")


def parse_entry(validator: Validator, section: str, key: str, value: Any) -> Any:
    """Parse an entry of a section; the result is valid only if no problem was recorded."""
    path = (section, key)
    if section not in SECTIONS:
        validator.add((section,), section, f"one of {', '.join(SECTIONS)}")
        return None
    validator.name(path, key)
    match section:
        case "holdings":
            return _parse_holding(validator, path, key, value)
        case "usage":
            return _parse_usage(validator, path, key, value)
        case "pipelines":
            given = validator.fields(path, value, ("stages",))
            return Pipeline(key, _parse_stages(validator, (*path, "stages"), given))
        case "services":
            return _parse_service(validator, path, key, value)
        case _:
            return _parse_setting(validator, path, key, value)


def _parse_holding(validator: Validator, path: Path, key: str, value: Any) -> Holding:
    given = validator.fields(path, value, ("plan", "credential_sha256"))
    plan = validator.name((*path, "plan"), given["plan"]) if "plan" in given else ""
    digest = given.get("credential_sha256", "")
    if "credential_sha256" in given and not _matches(_SHA256_HEX, digest):
        validator.add((*path, "credential_sha256"), digest, "64 lower-case hex digits")
    return Holding(key, plan, digest)


def _parse_usage(validator: Validator, path: Path, key: str, value: Any) -> PlanUsage:
    optional = ("pipelines", "services", "weight", "priority", "quiet")
    given = validator.fields(path, value, ("deadline_ms", "limits"), optional)
    deadline = validator.integer(
        (*path, "deadline_ms"), given.get("deadline_ms", 1), 1, MAX_DEADLINE_MS
    )
    limits = Limits(0, 0, 0)
    if "limits" in given:
        limits = _parse_limits(validator, (*path, "limits"), given["limits"], Limits)
    quiet = given.get("quiet")
    return PlanUsage(
        plan=key,
        pipelines=validator.names((*path, "pipelines"), given.get("pipelines", ()), MAX_NAMES),
        services=validator.names((*path, "services"), given.get("services", ()), MAX_NAMES),
        deadline=timedelta(milliseconds=deadline),
        weight=validator.integer((*path, "weight"), given.get("weight", 1), 1, 1000),
        priority=validator.integer((*path, "priority"), given.get("priority", 0), 0, 9),
        limits=limits,
        quiet=None if quiet is None else _parse_quiet(validator, (*path, "quiet"), quiet),
    )


def _parse_limits(validator: Validator, path: Path, value: Any, limits_type: Any) -> Any:
    given = validator.fields(path, value, limits_type._fields)
    return limits_type(
        *(
            validator.integer((*path, field), given.get(field, 0), 0, MAX_LIMIT)
            for field in limits_type._fields
        )
    )


def _parse_quiet(validator: Validator, path: Path, value: Any) -> QuietHours:
    given = validator.fields(path, value, ("timezone", "spans", "limits"))
    timezone = given.get("timezone", "UTC")
    if not _is_timezone(timezone):
        validator.add((*path, "timezone"), timezone, "an IANA time zone, for example Europe/Sofia")
    limits = QuietLimits(0, 0, 0)
    if "limits" in given:
        limits = _parse_limits(validator, (*path, "limits"), given["limits"], QuietLimits)
    spans: list[Any] = []
    if "spans" in given:
        spans = validator.sequence((*path, "spans"), given["spans"], 1, MAX_SPANS)
    return QuietHours(
        timezone,
        tuple(_parse_span(validator, (*path, "spans", i), span) for i, span in enumerate(spans)),
        limits,
    )


def _parse_span(validator: Validator, path: Path, value: Any) -> QuietSpan:
    given = validator.fields(path, value, ("days", "start", "end"))
    days = []
    if "days" in given:
        for index, day in enumerate(validator.sequence((*path, "days"), given["days"], 1, 7)):
            if day not in DAYS or DAYS.index(day) in days:
                accepted = f"a day that is not repeated, one of {', '.join(DAYS)}"
                validator.add((*path, "days", index), day, accepted)
            else:
                days.append(DAYS.index(day))
    count_before = len(validator.problems)
    start = _parse_time(validator, (*path, "start"), given.get("start", "00:00"))
    end = _parse_time(validator, (*path, "end"), given.get("end", "00:00"))
    complete = len(validator.problems) == count_before and "start" in given and "end" in given
    if complete and start == end:
        validator.add((*path, "end"), given["end"], "a time other than the start")
    return QuietSpan(tuple(sorted(days)), start, end)


def _parse_time(validator: Validator, path: Path, value: Any) -> time:
    if not _matches(_TIME, value):
        validator.add(path, value, "a local time from 00:00 to 23:59")
        return time()
    return time.fromisoformat(value)


def _parse_stages(validator: Validator, path: Path, given: dict[str, Any]) -> tuple[Stage, ...]:
    if "stages" not in given:
        return ()
    stages = []
    for index, item in enumerate(validator.sequence(path, given["stages"], 1, MAX_STAGES)):
        stage = _parse_stage(validator, (*path, index), item)
        if any(stage.name == other.name for other in stages):
            validator.add((*path, index, "name"), stage.name, "a name that is not repeated")
        stages.append(stage)
    return tuple(stages)


def _parse_stage(validator: Validator, path: Path, value: Any) -> Stage:
    given = validator.fields(path, value, ("name", "role"), ("model",))
    texts = {
        key: validator.name((*path, key), item)
        for key, item in given.items()
        if key in _STAGE_FIELDS
    }
    name, role = texts.get("name", f"invalid-{path[-1]}"), texts.get("role", "")
    return EngineStage(name, role, texts["model"]) if "model" in texts else PoolStage(name, role)


def _parse_service(validator: Validator, path: Path, key: str, value: Any) -> Service:
    given = validator.fields(path, value, ("operations",), ("keeps_keys",))
    keeps_keys = validator.boolean((*path, "keeps_keys"), given.get("keeps_keys", False))
    operations_path = (*path, "operations")
    operations: dict[str, Operation] = {}
    if "operations" in given:
        listed = validator.mapping(operations_path, given["operations"])
        if not listed or len(listed) > MAX_OPERATIONS:
            validator.add(operations_path, given["operations"], f"1 to {MAX_OPERATIONS} operations")
        for name, kind in listed.items():
            validator.name((*operations_path, name), name)
            match kind:
                case "idempotent":
                    operations[name] = Idempotent(name)
                case "non-idempotent":
                    operations[name] = NonIdempotent(name)
                case _:
                    validator.add((*operations_path, name), kind, "idempotent or non-idempotent")
    return Service(key, keeps_keys, operations)


def _parse_setting(validator: Validator, path: Path, key: str, value: Any) -> float:
    if key != "attainment_weight":
        validator.add(path, key, "no such setting; the settings are attainment_weight")
        return DEFAULT_ATTAINMENT_WEIGHT
    return validator.number(path, value, 0.0, 1.0)


def _matches(pattern: re.Pattern, value: Any) -> bool:
    return isinstance(value, str) and pattern.fullmatch(value) is not None


def _is_timezone(value: Any) -> bool:
    if not _matches(_TIMEZONE, value):
        return False
    try:
        ZoneInfo(value)
    except (ValueError, OSError, KeyError):
        return False
    return True


_STAGE_FIELDS = ("name", "role", "model")
