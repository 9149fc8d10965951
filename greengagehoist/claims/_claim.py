"""State machine of a claim on an idempotency key, and the decisions on its stored row."""

import enum
from dataclasses import dataclass
from typing import Any, NamedTuple

from greengagehoist.base import Outcome, build_machine, next_state


class ClaimState(enum.StrEnum):
    """States of a claim.

    ``sending`` means that the owner may have sent the request; ``unknown`` means that the owner
    sent it and no answer proved whether the operation ran.
    """

    SENDING = "sending"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimEvent(enum.StrEnum):
    """Events that change the state of a claim.

    ``found`` means that the target's record shows that the operation ran.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    FOUND = "found"
    RECLAIMED = "reclaimed"


MACHINE = build_machine(
    ClaimState,
    [
        (ClaimEvent.ANSWERED, ClaimState.SENDING, ClaimState.DONE),
        (ClaimEvent.REFUSED, ClaimState.SENDING, ClaimState.NOT_RUN),
        (ClaimEvent.LOST, ClaimState.SENDING, ClaimState.UNKNOWN),
        (ClaimEvent.FOUND, ClaimState.SENDING, ClaimState.DONE),
        (ClaimEvent.FOUND, ClaimState.UNKNOWN, ClaimState.DONE),
        (ClaimEvent.RECLAIMED, ClaimState.NOT_RUN, ClaimState.SENDING),
    ],
)


class Claim(NamedTuple):
    """Content of a claim row.

    :param owner: identifier of the only operation that may send the request.
    :param digest: lower-case hex SHA-256 of the service, the operation and the arguments.
    :param target: name of the target that the request is or was sent to.
    :param result: result of the first answer, once the claim is done.
    """

    owner: str
    digest: str
    target: str
    state: ClaimState = ClaimState.SENDING
    result: Any = None


class StoredClaim(NamedTuple):
    """A claim with the version of its table row."""

    version: int
    claim: Claim


@dataclass(frozen=True, slots=True)
class Insert:
    """No row exists: insert the claim with expected version 0."""


@dataclass(frozen=True, slots=True)
class Replace:
    """Nothing ran under the claim at row version ``version``: replace the row."""

    version: int


@dataclass(frozen=True, slots=True)
class Own:
    """The row at ``version`` holds the caller's own claim: the caller may send."""

    version: int


@dataclass(frozen=True, slots=True)
class Replay:
    """The operation ran: return its first result."""

    result: Any


@dataclass(frozen=True, slots=True)
class Reused:
    """The key was used for another request."""


@dataclass(frozen=True, slots=True)
class Reconcile:
    """Another owner may have sent the request: consult the target's record, and never send."""

    stored: StoredClaim


Decision = Insert | Replace | Own | Replay | Reused | Reconcile


def scoped_key(customer: str, key: str) -> str:
    """Return the idempotency key that is passed to the table and the services.

    Customer names contain no slash, so keys of different customers never coincide.
    """
    return f"{customer}/{key}"


def decide_claim(stored: StoredClaim | None, requested: Claim) -> Decision:
    """Decide what an operation may do, given the stored row of its key.

    :param stored: the row, or None if there is none.
    :param requested: the claim that the operation requests.
    """
    if stored is None:
        return Insert()
    claim = stored.claim
    if claim.digest != requested.digest:
        return Reused()
    match claim.state:
        case ClaimState.DONE:
            return Replay(claim.result)
        case ClaimState.NOT_RUN:
            return Replace(stored.version)
        case ClaimState.SENDING if claim.owner == requested.owner:
            same_target = claim.target == requested.target
            return Own(stored.version) if same_target else Replace(stored.version)
        case _:
            return Reconcile(stored)


def final_write_version(stored: StoredClaim | None, final: Claim) -> int | None:
    """Return the row version that the owner's final claim replaces; None if it is not written.

    The version of a missing row is 0.

    A final ``not_run`` claim also replaces a missing row or another owner's ``not_run`` row, so
    that a delayed write of the owner's first claim is refused when it reaches the table.
    """
    if stored is None:
        return 0
    claim = stored.claim
    if claim.owner == final.owner:
        return stored.version if claim.state is ClaimState.SENDING else None
    fences = final.state is ClaimState.NOT_RUN and claim.state is ClaimState.NOT_RUN
    return stored.version if fences else None


def apply_event(claim: Claim, event: ClaimEvent, result: Any = None) -> Claim:
    """Return the claim after ``event``.

    :param result: result of the operation, if the event proves that it ran.
    :raises ValueError: if the claim's state does not accept the event.
    """
    return claim._replace(state=next_state(MACHINE, claim.state, event), result=result)


def event_of(outcome: Outcome) -> ClaimEvent:
    """Return the claim event of a failed send.

    A failure that proves that the operation ran but carries no result counts as lost, so that the
    result is read from the target's record.
    """
    return ClaimEvent.REFUSED if outcome is Outcome.NOT_RUN else ClaimEvent.LOST
