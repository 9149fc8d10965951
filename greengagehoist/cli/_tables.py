"""Text output: tables, diffs and traces."""

import json
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

from greengagehoist.cli._client import Answered, NoAnswer, Response, error_text
from greengagehoist.config import Change

MAX_VALUE_LENGTH = 120


def format_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows as aligned columns under a header."""
    lines = [tuple(header), *(tuple(_format_cell(value) for value in row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.1f}"
        case _:
            text = " ".join(str(value).split())
            return "".join(char if char.isprintable() else "?" for char in text)


def format_changes(changes: Iterable[Change], old: dict[str, Any] | None = None) -> str:
    """Return one line per change: ``+`` adds, ``~`` replaces and ``-`` removes an entry.

    :param old: lists before the changes; if absent, ``=`` marks added and replaced entries.
    """
    lines = []
    for change in changes:
        before = None if old is None else old.get(change.section, {}).get(change.key)
        sign = "-" if change.value is None else ("=" if old is None else "+~"[before is not None])
        line = f"{sign} {change.section}.{change.key}"
        if before is not None and change.value is not None:
            line += f": {_format_value(before)} -> {_format_value(change.value)}"
        elif change.value is not None:
            line += f": {_format_value(change.value)}"
        lines.append(line)
    return "\n".join(lines)


def _format_value(value: Any) -> str:
    text = json.dumps(value, sort_keys=True)
    return text if len(text) <= MAX_VALUE_LENGTH else f"{text[:MAX_VALUE_LENGTH]}..."


def format_status(responses: dict[str, Response]) -> str:
    """Return a table of the daemons' states, including daemons that did not answer."""
    header = ("ADDRESS", "VM", "DATA CENTRE", "VERSION", "AGE S", "READY", "TARGETS", "STORE")
    return format_table((*header, "NOTE"), [_status_row(*item) for item in responses.items()])


def _status_row(address: str, response: Response) -> tuple[Any, ...]:
    match response:
        case Answered(status=200, body=body):
            reasons = body.get("not_ready") or {}
            note = "; ".join(f"{name}: {reason}" for name, reason in reasons.items())
            return (
                address,
                body.get("vm"),
                body.get("data_centre"),
                body.get("config_version"),
                body.get("config_age_s"),
                body.get("ready"),
                _target_counts(body.get("targets")),
                _summarize(body.get("store")),
                note or body.get("config_blocked"),
            )
        case Answered(status=status, body=body):
            note = error_text(status, body)
        case NoAnswer(reason=reason):
            note = f"unreachable: {reason}"
    return (address, *[None] * 7, note)


def _target_counts(value: Any) -> str | None:
    """Return the number of targets in each state, summed over the roles, on one line."""
    if not isinstance(value, dict):
        return None
    sums: dict[str, int] = {}
    for states in value.values():
        for state, number in states.items():
            sums[state] = sums.get(state, 0) + number
    return " ".join(f"{state}={number}" for state, number in sorted(sums.items()))


def _summarize(value: Any) -> Any:
    """Return one part of a daemon's status on one line."""
    match value:
        case {"state": state}:
            return state
        case dict():
            return " ".join(f"{key}={item}" for key, item in value.items())
        case list():
            return len(value)
        case _:
            return value


def format_history(versions: list[dict[str, Any]]) -> str:
    """Return a table of versions, the newest last."""
    rows = [
        (
            item.get("version"),
            _format_time(item.get("written_at")),
            item.get("author"),
            item.get("op_id"),
            _format_value([f"{c['section']}.{c['key']}" for c in item.get("changes", ())]),
        )
        for item in versions
    ]
    return format_table(("VERSION", "ACCEPTED", "AUTHOR", "OPERATION", "ENTRIES"), rows)


def _format_time(seconds: Any) -> str | None:
    if not isinstance(seconds, int | float):
        return None
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")


def format_trace(spans: list[dict[str, Any]]) -> str:
    """Return the spans of a trace, indented by depth."""
    rows = [
        (
            "  " * span["depth"] + span["name"],
            span["vm"],
            span["peer"],
            f"{span['duration'] * 1000:.1f}",
            span["status"],
        )
        for span in spans
    ]
    width = max((len(row[0]) for row in rows), default=0)
    table = format_table(("VM", "PEER", "MS", "STATUS"), [row[1:] for row in rows]).split("\n")
    names = ["SPAN", *(row[0] for row in rows)]
    width = max(width, len("SPAN"))
    return "\n".join(
        f"{name.ljust(width)}  {line}" for name, line in zip(names, table, strict=True)
    )


def format_conflict(others: list[dict[str, Any]]) -> str:
    """Return the conflicting versions of other operators with their changes."""
    parts = []
    for item in others:
        changes = [Change(c["section"], c["key"], c["value"]) for c in item.get("changes", ())]
        parts.append(f"version {item.get('version')} by {item.get('author')}:")
        parts.append(format_changes(changes))
    return "\n".join(parts)
