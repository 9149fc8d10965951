"""Messages of the pool controller, and their conversion to and from peers' messages."""

from collections.abc import Sequence
from typing import NamedTuple

from greengagehoist.peers import (
    Goodbye,
    StageCancel,
    StageFree,
    StageReserve,
    StageResult,
    StageSubmit,
    StageWaitTimes,
)
from greengagehoist.pieces import StageWork

# Messages of peers that the pool controller handles.
PEER_MESSAGES = (
    StageReserve,
    StageWaitTimes,
    StageSubmit,
    StageResult,
    StageFree,
    StageCancel,
    Goodbye,
)


class SubmitStage(NamedTuple):
    """Ask for the results of a stage; replied by :class:`StageEnd`."""

    work: StageWork


class StageEnd(NamedTuple):
    """End of a stage.

    :param handles: in the order of the segments; empty if the stage failed.
    :param reason: why it failed: ``""``, ``gone``, ``late`` or ``failed``.
    """

    handles: tuple[str, ...]
    reason: str


class StagePlan(NamedTuple):
    """Work of one request at one service.

    :param due: time by which the results should exist, in seconds on the monotonic clock.
    """

    service: str
    pieces: int
    due: float


class ReserveStages(NamedTuple):
    """Announce the stage work of a request; replied by the wait of each service.

    The reply maps each service to its :class:`PoolWait`. Services whose owner does not answer in
    time are left out.

    :param tenant: holder of the request's key, empty if there is none.
    :param kind: name of the request's route.
    :param size: tokens of the prompt, or pieces of all stages without a prompt.
    :param further: whether the client has sent the request before.
    """

    request_id: str
    rank: int
    plans: tuple[StagePlan, ...]
    tenant: str = ""
    kind: str = ""
    size: int = 0
    further: bool = False


class CancelStages(NamedTuple):
    """Drop the waiting and the reserved stage work of a request that has ended.

    :param reserved: whether some of the reserved work was not submitted.
    :param refused: whether it was refused because the pools are overloaded.
    :param returns_in_s: seconds until its client comes back to the room that it was promised, None
        if it was promised none.
    """

    request_id: str
    reserved: bool
    refused: bool = False
    returns_in_s: float | None = None


class FreeResults(NamedTuple):
    """Free results of a service that no request needs any more."""

    service: str
    handles: tuple[str, ...]


class Leave(NamedTuple):
    """Stop owning pools before a shutdown: new work goes to other daemons."""


def to_submission(work: StageWork, now: float) -> StageSubmit:
    """Convert stage work for a peer, with times relative to now since clocks differ."""
    return StageSubmit(
        work.request_id,
        work.service,
        work.stage,
        work.segments,
        work.key,
        work.inputs,
        work.rank,
        work.due - now,
        work.deadline - now,
        work.zone,
        work.result_bytes,
        work.attempt,
    )


def to_work(sent: StageSubmit, now: float) -> StageWork:
    """Convert the stage work that a peer has sent, with times on the own clock."""
    return StageWork(
        sent.request_id,
        sent.service,
        sent.stage,
        sent.segments,
        sent.key,
        sent.inputs,
        sent.rank,
        now + sent.due_in_s,
        now + sent.left_s,
        sent.zone,
        sent.result_bytes,
        sent.attempt,
    )


def to_reservation(message: ReserveStages, plans: Sequence[StagePlan], now: float) -> StageReserve:
    """Convert a reservation for a peer, with times relative to now since clocks differ.

    :param plans: those of the services that the peer owns.
    """
    return StageReserve(
        message.request_id,
        tuple(plan.service for plan in plans),
        tuple(plan.pieces for plan in plans),
        message.rank,
        tuple(plan.due - now for plan in plans),
        message.tenant,
        message.kind,
        message.size,
        message.further,
    )


def from_reservation(sent: StageReserve, now: float) -> ReserveStages:
    """Convert a peer's reservation, with times on the own clock."""
    found = zip(sent.services, sent.pieces, sent.due_in_s, strict=False)
    plans = tuple(StagePlan(service, pieces, now + due_in) for service, pieces, due_in in found)
    return ReserveStages(
        sent.request_id, sent.rank, plans, sent.tenant, sent.kind, sent.size, sent.further
    )
