"""Decisions from a proposal to its outcome.

A proposal on top of version n is one conditional insert of row n+1. Rows are never replaced, so
the content of row n+1 determines the outcome of every attempt, including those whose response was
lost and those that are still in flight.
"""

from dataclasses import dataclass
from typing import NamedTuple

from greengagehoist.config._changes import Change
from greengagehoist.config._types import Config
from greengagehoist.config._versions import Log, Version, make_version, versions_after


@dataclass(frozen=True, slots=True)
class Effective:
    """The table confirmed the insert."""


@dataclass(frozen=True, slots=True)
class Occupied:
    """The row exists; the response to a rejected insert or to a read.

    :param row: content of the row, None if it is malformed.
    """

    row: Version | None


@dataclass(frozen=True, slots=True)
class Absent:
    """The read found no row."""


@dataclass(frozen=True, slots=True)
class Lost:
    """No response; an insert may or may not have taken effect."""


@dataclass(frozen=True, slots=True)
class NeverSent:
    """The request was not sent, so it can't have taken effect."""


TableResponse = Effective | Occupied | Absent | Lost | NeverSent


@dataclass(frozen=True, slots=True)
class Insert:
    """Insert the row of the proposal."""


@dataclass(frozen=True, slots=True)
class ReadBack:
    """Read the row of the proposal."""


@dataclass(frozen=True, slots=True)
class CatchUp:
    """This daemon is behind the base version; fetch newer versions, then start again."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The proposal is an accepted version.

    :param row: the version if this daemon may not have applied it yet, else None.
    """

    version: int
    row: Version | None


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another operation created the version; this one was not and will not be accepted.

    :param others: the versions accepted since the base, as far as they are known.
    """

    version: int
    others: tuple[Version, ...]


@dataclass(frozen=True, slots=True)
class Reused:
    """The operation id belongs to an earlier operation with other changes."""

    version: int


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The table could not be reached and no insert was sent."""


@dataclass(frozen=True, slots=True)
class Undetermined:
    """An insert was sent and the row could not be read within the allowed time."""


Step = Insert | ReadBack | CatchUp | Accepted | Conflict | Reused | NotAccepted | Undetermined


class Proposal(NamedTuple):
    """State of one proposal.

    :param row: the version to insert; its digest is empty if it will not be inserted.
    :param uncertain: True if an insert was sent and its effect is unknown.
    """

    row: Version
    uncertain: bool = False


def begin_proposal(
    log: Log, op_id: str, author: str, base: int, changes: tuple[Change, ...]
) -> tuple[Proposal, Step]:
    """Decide the first step of a proposal on top of version ``base``.

    :raises ListsError: if the changes do not result in valid lists.
    """
    proposal = Proposal(Version(base + 1, op_id, author, changes, ""))
    known = log.operations.get(op_id)
    if known is not None:
        return proposal, _resolve_known(log, known, changes)
    if base > log.cfg.version:
        return proposal, CatchUp()
    if base < log.cfg.version:
        others = versions_after(log, base)
        # The log no longer holds that row, which may be an earlier attempt of this operation.
        return proposal, ReadBack() if others is None else Conflict(base + 1, others)
    row, _ = make_version(log.cfg, op_id, author, changes)
    return Proposal(row), Insert()


def _resolve_known(log: Log, known: int, changes: tuple[Change, ...]) -> Step:
    for item in log.recent:
        if item.version == known and item.changes != changes:
            return Reused(known)
    return Accepted(known, None)


def next_step(
    proposal: Proposal, response: TableResponse, *, reading: bool, in_time: bool
) -> tuple[Proposal, Step]:
    """Decide the step after a response of the table.

    :param reading: True if the response is to a read, False if to an insert.
    :param in_time: False if the deadline for determining the outcome has passed.
    """
    match response:
        case Effective():
            return proposal, Accepted(proposal.row.version, proposal.row)
        case Occupied(row):
            return proposal, _resolve_row(proposal, row)
        case Lost() if not reading:
            proposal = proposal._replace(uncertain=True)
            return proposal, ReadBack() if in_time else Undetermined()
    if not proposal.row.digest:
        return proposal, ReadBack() if in_time else Undetermined()
    if not in_time:
        return proposal, Undetermined() if proposal.uncertain else NotAccepted()
    if isinstance(response, Absent) or not proposal.uncertain:
        return proposal, Insert()
    return proposal, ReadBack()


def _resolve_row(proposal: Proposal, row: Version | None) -> Step:
    own = proposal.row
    if row is None:
        return Conflict(own.version, ())
    if row.op_id != own.op_id:
        return Conflict(own.version, (row,))
    if row.changes != own.changes:
        return Reused(own.version)
    return Accepted(own.version, row)


def not_ready_reason(cfg: Config, table_read: bool, max_peer_version: int | None) -> str:
    """Return why a daemon is not ready, or an empty string if it is.

    :param table_read: True if the table was read completely at least once.
    :param max_peer_version: highest version announced by a peer, None if no peer announced one.
    """
    if cfg.version == 0:
        return "no configuration version yet"
    if table_read:
        return ""
    if max_peer_version is None:
        return "neither the table nor a peer confirmed the version"
    if cfg.version < max_peer_version:
        return f"version {cfg.version} is behind a peer's {max_peer_version}"
    return ""
