"""Submission of proposed configuration versions to the table."""

import random
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from greengagehoist.base import ErrorCode, Outcome, StepError, not_run, unknown
from greengagehoist.config import (
    Absent,
    Accepted,
    Change,
    Conflict,
    Effective,
    Insert,
    Log,
    Lost,
    NeverSent,
    NotAccepted,
    Occupied,
    Problem,
    Proposal,
    ReadBack,
    Reused,
    Step,
    TableResponse,
    Undetermined,
    Version,
    begin_proposal,
    next_step,
    parse_version,
    version_to_dict,
)
from greengagehoist.platform_client import ReadRow, Refused, Row, WriteRow, Written
from greengagehoist.utils import Clock, Controller, ValidationError, log_event

PROPOSAL_TIMEOUT_S = 10.0
BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
PREFIX = "config/"


class Propose(NamedTuple):
    """Propose changes on top of version ``base``; replied by ``Result[int, Rejection]``.

    :param op_id: identifier of the operation. If the response of the table was lost, it shows
        whether the proposal was accepted; a repeated proposal must use the same one.
    """

    op_id: str
    author: str
    base: int
    changes: tuple[Change, ...]


class Rejection(NamedTuple):
    """Failure of a proposal; ``error.outcome`` is unknown if it may have been accepted.

    :param others: versions of other operators, if the proposal conflicts with them.
    :param problems: problems of the changes, if they are invalid.
    """

    error: StepError
    others: tuple[Version, ...] = ()
    problems: tuple[Problem, ...] = ()


class ProposalOutcome(NamedTuple):
    """Outcome of a proposal.

    :param row: version found in the table, which this daemon may not have applied yet.
    """

    result: Result[int, Rejection]
    row: Version | None


async def execute_proposal(
    message: Propose, log: Log, platform: Controller, clock: Clock, rng: random.Random
) -> ProposalOutcome:
    """Submit a proposal, retrying until its outcome is known or the time-out has passed.

    :param log: versions that this daemon knows.
    :raises ListsError: if the changes do not result in valid lists.
    """
    deadline = clock.monotonic() + PROPOSAL_TIMEOUT_S
    proposal, step = begin_proposal(log, *message)
    backoff = BACKOFF_S
    while isinstance(step, Insert | ReadBack):
        reading = isinstance(step, ReadBack)
        response = await _call_table(platform, proposal, reading)
        in_time = clock.monotonic() < deadline
        proposal, step = next_step(proposal, response, reading=reading, in_time=in_time)
        if isinstance(step, Insert | ReadBack):
            await clock.sleep(rng.uniform(0, backoff))
            backoff = min(2 * backoff, MAX_BACKOFF_S)
    log_event(
        "config_proposal",
        op_id=message.op_id,
        author=message.author,
        base=message.base,
        outcome=type(step).__name__,
    )
    return _make_outcome(message, log, step)


async def _call_table(platform: Controller, proposal: Proposal, reading: bool) -> TableResponse:
    key = row_key(proposal.row.version)
    call = ReadRow(key) if reading else WriteRow(key, version_to_dict(proposal.row), 0)
    match await platform.ask(call):
        case Success(Written()):
            return Effective()
        case Success(Refused(row=Row() as row)):
            return Occupied(_version_or_none(row))
        case Success(found) if reading:
            return Occupied(_version_or_none(found.rows[0])) if found.rows else Absent()
        case Failure(StepError(outcome=Outcome.NOT_RUN)):
            return NeverSent()
        case _:
            return Lost()


def _make_outcome(message: Propose, log: Log, step: Step) -> ProposalOutcome:
    match step:
        case Accepted(version, row):
            return ProposalOutcome(Success(version), row)
        case Conflict(version, others):
            authors = ", ".join(sorted({item.author for item in others})) or "another operator"
            text = f"version {version} was accepted before, from {authors}"
            error = not_run("config", ErrorCode.CONFLICT, text, peer="table")
            return ProposalOutcome(Failure(Rejection(error, others)), others[0] if others else None)
        case Reused(version):
            text = f"op_id: got {message.op_id!r}, accepted: an id not used by version {version}"
            return ProposalOutcome(Failure(invalid_proposal(text)), None)
        case Undetermined():
            text = f"the table did not show the outcome within {PROPOSAL_TIMEOUT_S:g} s"
            error = unknown("config", ErrorCode.PLATFORM, text, peer="table")
        case NotAccepted():
            text = f"the table was not reachable within {PROPOSAL_TIMEOUT_S:g} s"
            error = not_run("config", ErrorCode.UNAVAILABLE, text, peer="table")
        case _:
            text = f"this daemon has version {log.cfg.version}, the base is {message.base}"
            error = not_run("config", ErrorCode.UNAVAILABLE, text)
    return ProposalOutcome(Failure(Rejection(error)), None)


def invalid_proposal(message: str, problems: tuple[Problem, ...] = ()) -> Rejection:
    """Return the rejection of an invalid proposal."""
    return Rejection(not_run("config", ErrorCode.INVALID, message), (), problems)


def row_key(version: int) -> str:
    """Return the table key of a version; the order of keys is the order of versions."""
    return f"{PREFIX}{version:012d}"


def read_row(row: Row) -> Version | ValidationError:
    """Decode a table row; return the error if its key or value is invalid."""
    digits = row.key.removeprefix(PREFIX)
    if not (digits.isascii() and digits.isdecimal()) or row.key != row_key(int(digits)):
        return ValidationError("key", row.key, f"{PREFIX} and 12 digits")
    try:
        return parse_version(int(digits), row.value)
    except ValidationError as exc:
        return exc


def _version_or_none(row: Row) -> Version | None:
    parsed: Any = read_row(row)
    return parsed if isinstance(parsed, Version) else None
