"""Validation of operators' requests and construction of response bodies."""

import random
from collections.abc import Mapping
from datetime import datetime
from typing import Any

from starlette.requests import Request

from greengagehoist.base import StepError
from greengagehoist.config import (
    MAX_AUTHOR_CHARS,
    Problem,
    Version,
    parse_changes,
    version_to_dict,
)
from greengagehoist.controllers import HistoryEntry, Propose, Rejection
from greengagehoist.server import _bodies
from greengagehoist.utils import (
    ValidationError,
    check_int,
    check_name,
    check_text,
    new_id,
    show_value,
)

MAX_BODY_BYTES = 8 * 1024 * 1024
BODY_TIMEOUT_S = 10.0
MAX_BASE_VERSION = 10**12
MAX_HISTORY = 1000
DEFAULT_HISTORY = 20

_PROPOSAL_FIELDS = ("base", "changes", "author", "op_id")
_CHANGE_FIELDS = ("section", "key", "value")


async def read_body(request: Request) -> bytes:
    """Read the request body within the limits on size and time.

    :raises ValidationError: if it is too large or does not arrive in time.
    """
    return await _bodies.collect_body(request, MAX_BODY_BYTES, BODY_TIMEOUT_S)


def parse_object(data: bytes, fields: tuple[str, ...]) -> dict[str, Any]:
    """Parse the JSON object in a body; an empty body is an empty object.

    :raises ValidationError: if it is not a JSON object or has a field not in ``fields``.
    """
    body = _bodies.parse_object(data) if data else {}
    for field in body:
        if field not in fields:
            raise ValidationError("body", field, f"the fields {', '.join(fields) or 'none'}")
    return body


def parse_proposal(data: bytes, rng: random.Random) -> Propose:
    """Parse the body of ``POST /admin/config``.

    :param rng: generates the operation id if the body has none.
    :raises ValidationError: for the first invalid field.
    """
    body = parse_object(data, _PROPOSAL_FIELDS)
    base = check_int("base", body.get("base"), 0, MAX_BASE_VERSION)
    author = check_text("author", body.get("author"), MAX_AUTHOR_CHARS)
    if not author.isprintable():
        raise ValidationError("author", author, "printable text")
    op_id = check_name("op_id", body.get("op_id", new_id(rng)))
    items = body.get("changes")
    if not isinstance(items, list):
        raise ValidationError("changes", type(items).__name__, "a list of changes")
    rows = [_change_row(f"changes[{index}]", item) for index, item in enumerate(items)]
    return Propose(op_id, author, base, parse_changes(rows))


def _change_row(field: str, item: Any) -> list[Any]:
    accepted = f"an object with the fields {', '.join(_CHANGE_FIELDS)}"
    if not isinstance(item, dict) or set(item) != set(_CHANGE_FIELDS):
        raise ValidationError(field, item, accepted)
    return [item[name] for name in _CHANGE_FIELDS]


def parse_history(query: Mapping[str, str]) -> int:
    """Parse the number of versions requested by ``GET /admin/config/history``.

    :raises ValidationError: if it is not in the accepted range.
    """
    text = query.get("limit", str(DEFAULT_HISTORY))
    digits = text.isascii() and text.isdecimal() and len(text) < 8
    return check_int("limit", int(text) if digits else text, 1, MAX_HISTORY)


def parse_report(query: Mapping[str, str]) -> tuple[str, str]:
    """Parse customer and date of ``GET /admin/report``; an empty customer means all.

    :raises ValidationError: for the first invalid field.
    """
    customer, date = query.get("customer", ""), query.get("date", "")
    if customer:
        check_name("customer", customer)
    try:
        datetime.strptime(date, "%Y-%m-%d")
    except ValueError as exc:
        raise ValidationError("date", date, "a UTC date, for example 2026-01-31") from exc
    return customer, date


def version_body(version: Version) -> dict[str, Any]:
    """Return the JSON body of a version, each change as an object."""
    changes = [change._asdict() for change in version.changes]
    return {"version": version.version, **version_to_dict(version), "changes": changes}


def history_body(entry: HistoryEntry) -> dict[str, Any]:
    """Return the JSON body of a history entry."""
    return {**version_body(entry.version), "written_at": entry.written_at}


def error_body(error: StepError, **more: Any) -> dict[str, Any]:
    """Return the JSON body of a failure, in the format of the callers' API."""
    return {
        "error": {
            "outcome": error.outcome,
            "code": error.code,
            "message": error.message,
            "step": error.step,
            "peer": error.peer,
            "retry_safe": error.retry_safe,
            **more,
        }
    }


def rejection_body(rejection: Rejection) -> dict[str, Any]:
    """Return the JSON body of a rejected proposal."""
    return error_body(
        rejection.error,
        others=[version_body(item) for item in rejection.others],
        problems=[problem_body(problem) for problem in rejection.problems],
    )


def problem_body(problem: Problem) -> dict[str, str]:
    """Return the JSON body of a problem found in the lists."""
    return {
        "path": problem.field,
        "value": show_value(problem.value),
        "accepted": problem.accepted,
    }
