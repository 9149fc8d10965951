"""Conversion of plain list entries to their types."""

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
MOST = 10**9
LONGEST_DEADLINE_MS = 600_000
MOST_STAGES = 8
MOST_SPANS = 28
MOST_NAMES = 200
MOST_OPERATIONS = 200

_DIGEST = re.compile(r"[0-9a-f]{64}")
_TIME = re.compile(r"([01][0-9]|2[0-3]):[0-5][0-9]")
_ZONE = re.compile(r"[A-Za-z][A-Za-z0-9_+-]*(/[A-Za-z0-9_+-]+){0,2}")


def parse_entry(problems: Validator, section: str, key: str, value: Any) -> Any:
    """Return the typed entry of a section; it is usable only if no problem was added."""
    path = (section, key)
    if section not in SECTIONS:
        problems.add((section,), section, f"one of {', '.join(SECTIONS)}")
        return None
    problems.name(path, key)
    match section:
        case "holdings":
            return _read_holding(problems, path, key, value)
        case "usage":
            return _read_usage(problems, path, key, value)
        case "pipelines":
            given = problems.fields(path, value, ("stages",))
            return Pipeline(key, _read_stages(problems, (*path, "stages"), given))
        case "services":
            return _read_service(problems, path, key, value)
        case _:
            return _read_setting(problems, path, key, value)


def _read_holding(problems: Validator, path: Path, key: str, value: Any) -> Holding:
    given = problems.fields(path, value, ("plan", "credential_sha256"))
    plan = problems.name((*path, "plan"), given["plan"]) if "plan" in given else ""
    digest = given.get("credential_sha256", "")
    if "credential_sha256" in given and not _matches(_DIGEST, digest):
        problems.add((*path, "credential_sha256"), digest, "64 lower-case hex digits")
    return Holding(key, plan, digest)


def _read_usage(problems: Validator, path: Path, key: str, value: Any) -> PlanUsage:
    optional = ("pipelines", "services", "weight", "priority", "quiet")
    given = problems.fields(path, value, ("deadline_ms", "limits"), optional)
    deadline = problems.integer(
        (*path, "deadline_ms"), given.get("deadline_ms", 1), 1, LONGEST_DEADLINE_MS
    )
    limits = Limits(0, 0, 0)
    if "limits" in given:
        limits = _read_limits(problems, (*path, "limits"), given["limits"], Limits)
    quiet = given.get("quiet")
    return PlanUsage(
        plan=key,
        pipelines=problems.names((*path, "pipelines"), given.get("pipelines", ()), MOST_NAMES),
        services=problems.names((*path, "services"), given.get("services", ()), MOST_NAMES),
        deadline=timedelta(milliseconds=deadline),
        weight=problems.integer((*path, "weight"), given.get("weight", 1), 1, 1000),
        priority=problems.integer((*path, "priority"), given.get("priority", 0), 0, 9),
        limits=limits,
        quiet=None if quiet is None else _read_quiet(problems, (*path, "quiet"), quiet),
    )


def _read_limits(problems: Validator, path: Path, value: Any, kind: Any) -> Any:
    given = problems.fields(path, value, kind._fields)
    return kind(
        *(problems.integer((*path, field), given.get(field, 0), 0, MOST) for field in kind._fields)
    )


def _read_quiet(problems: Validator, path: Path, value: Any) -> QuietHours:
    given = problems.fields(path, value, ("timezone", "spans", "limits"))
    zone = given.get("timezone", "UTC")
    if not _is_zone(zone):
        problems.add((*path, "timezone"), zone, "an IANA time zone, for example Europe/Sofia")
    limits = QuietLimits(0, 0, 0)
    if "limits" in given:
        limits = _read_limits(problems, (*path, "limits"), given["limits"], QuietLimits)
    spans: list[Any] = []
    if "spans" in given:
        spans = problems.sequence((*path, "spans"), given["spans"], 1, MOST_SPANS)
    return QuietHours(
        zone,
        tuple(_read_span(problems, (*path, "spans", i), span) for i, span in enumerate(spans)),
        limits,
    )


def _read_span(problems: Validator, path: Path, value: Any) -> QuietSpan:
    given = problems.fields(path, value, ("days", "start", "end"))
    days = []
    if "days" in given:
        for index, day in enumerate(problems.sequence((*path, "days"), given["days"], 1, 7)):
            if day not in DAYS or DAYS.index(day) in days:
                accepted = f"a day that is not repeated, one of {', '.join(DAYS)}"
                problems.add((*path, "days", index), day, accepted)
            else:
                days.append(DAYS.index(day))
    before = len(problems.found)
    start = _read_time(problems, (*path, "start"), given.get("start", "00:00"))
    end = _read_time(problems, (*path, "end"), given.get("end", "00:00"))
    whole = len(problems.found) == before and "start" in given and "end" in given
    if whole and start == end:
        problems.add((*path, "end"), given["end"], "a time other than the start")
    return QuietSpan(tuple(sorted(days)), start, end)


def _read_time(problems: Validator, path: Path, value: Any) -> time:
    if not _matches(_TIME, value):
        problems.add(path, value, "a local time from 00:00 to 23:59")
        return time()
    return time.fromisoformat(value)


def _read_stages(problems: Validator, path: Path, given: dict[str, Any]) -> tuple[Stage, ...]:
    if "stages" not in given:
        return ()
    stages = []
    for index, item in enumerate(problems.sequence(path, given["stages"], 1, MOST_STAGES)):
        stage = _read_stage(problems, (*path, index), item)
        if any(stage.name == other.name for other in stages):
            problems.add((*path, index, "name"), stage.name, "a name that is not repeated")
        stages.append(stage)
    return tuple(stages)


def _read_stage(problems: Validator, path: Path, value: Any) -> Stage:
    given = problems.fields(path, value, ("name", "role"), ("model",))
    texts = {key: problems.name((*path, key), item) for key, item in given.items() if key in _STAGE}
    name, role = texts.get("name", f"invalid-{path[-1]}"), texts.get("role", "")
    return EngineStage(name, role, texts["model"]) if "model" in texts else PoolStage(name, role)


def _read_service(problems: Validator, path: Path, key: str, value: Any) -> Service:
    given = problems.fields(path, value, ("operations",), ("keeps_keys",))
    keeps_keys = problems.boolean((*path, "keeps_keys"), given.get("keeps_keys", False))
    inner = (*path, "operations")
    operations: dict[str, Operation] = {}
    if "operations" in given:
        listed = problems.mapping(inner, given["operations"])
        if not listed or len(listed) > MOST_OPERATIONS:
            problems.add(inner, given["operations"], f"1 to {MOST_OPERATIONS} operations")
        for name, kind in listed.items():
            problems.name((*inner, name), name)
            match kind:
                case "idempotent":
                    operations[name] = Idempotent(name)
                case "non-idempotent":
                    operations[name] = NonIdempotent(name)
                case _:
                    problems.add((*inner, name), kind, "idempotent or non-idempotent")
    return Service(key, keeps_keys, operations)


def _read_setting(problems: Validator, path: Path, key: str, value: Any) -> float:
    if key != "attainment_weight":
        problems.add(path, key, "no such setting; the settings are attainment_weight")
        return DEFAULT_ATTAINMENT_WEIGHT
    return problems.number(path, value, 0.0, 1.0)


def _matches(pattern: re.Pattern, value: Any) -> bool:
    return isinstance(value, str) and pattern.fullmatch(value) is not None


def _is_zone(value: Any) -> bool:
    if not _matches(_ZONE, value):
        return False
    try:
        ZoneInfo(value)
    except (ValueError, OSError, KeyError):
        return False
    return True


_STAGE = ("name", "role", "model")
