"""Life cycle of a claim on an idempotency key and the decisions on the row that is found."""

import enum
from dataclasses import dataclass
from typing import Any, NamedTuple

from greengagehoist.base import Outcome, advance, build_machine


class ClaimState(enum.StrEnum):
    """States of a claim.

    ``sending`` means that the owner may have sent the request, ``unknown`` that it did and that
    no answer proved whether the operation ran.
    """

    SENDING = "sending"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimEvent(enum.StrEnum):
    """What moves a claim from one state to another.

    ``found`` means that the target's own record shows that the operation ran.
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

    :param owner: identifier of the operation that alone may send.
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
    """A claim with the version of the row that holds it."""

    version: int
    claim: Claim


@dataclass(frozen=True, slots=True)
class Insert:
    """No row exists: insert the claim with expected version 0."""


@dataclass(frozen=True, slots=True)
class Replace:
    """Nothing was run under the row of ``version``: replace it."""

    version: int


@dataclass(frozen=True, slots=True)
class Own:
    """The row in ``version`` is the caller's own claim: it may send."""

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
    """Another owner may have sent: only the target's record can tell; never send."""

    kept: StoredClaim


Decision = Insert | Replace | Own | Replay | Reused | Reconcile


def scoped_key(customer: str, key: str) -> str:
    """Return the idempotency key as the table and the services see it.

    Customers' names contain no slash, so that keys of different customers never coincide.
    """
    return f"{customer}/{key}"


def decide_claim(kept: StoredClaim | None, wanted: Claim) -> Decision:
    """Decide what an operation may do with the row that it found.

    :param kept: the row, or None if there is none.
    :param wanted: the claim that the operation wants to hold.
    """
    if kept is None:
        return Insert()
    claim = kept.claim
    if claim.digest != wanted.digest:
        return Reused()
    match claim.state:
        case ClaimState.DONE:
            return Replay(claim.result)
        case ClaimState.NOT_RUN:
            return Replace(kept.version)
        case ClaimState.SENDING if claim.owner == wanted.owner:
            own = claim.target == wanted.target
            return Own(kept.version) if own else Replace(kept.version)
        case _:
            return Reconcile(kept)


def final_write_version(kept: StoredClaim | None, final: Claim) -> int | None:
    """Return the row version on which the owner writes its final claim, None if it need not.

    A ``not_run`` claim is also written over a missing row and over another ``not_run`` row, so
    that a delayed write of the owner's first claim is refused when it reaches the table.
    """
    if kept is None:
        return 0
    claim = kept.claim
    if claim.owner == final.owner:
        return kept.version if claim.state is ClaimState.SENDING else None
    fences = final.state is ClaimState.NOT_RUN and claim.state is ClaimState.NOT_RUN
    return kept.version if fences else None


def apply_event(claim: Claim, event: ClaimEvent, result: Any = None) -> Claim:
    """Return the claim after ``event``.

    :param result: result of the operation, for events that prove that it ran.
    :raises ValueError: if the claim's state does not accept the event.
    """
    return claim._replace(state=advance(MACHINE, claim.state, event), result=result)


def event_of(outcome: Outcome) -> ClaimEvent:
    """Return the event that a failed send means for its claim.

    A failure that proves that the operation ran but carries no result counts as lost, so that
    the result is taken from the target's record.
    """
    return ClaimEvent.REFUSED if outcome is Outcome.NOT_RUN else ClaimEvent.LOST
