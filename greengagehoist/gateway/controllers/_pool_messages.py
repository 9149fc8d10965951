"""Messages of the pool controller, and stage work as peers send it."""

from typing import NamedTuple

from greengagehoist.peers import StageSubmit
from greengagehoist.pieces import StageWork


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


class CancelStages(NamedTuple):
    """Drop the waiting stage work of a request that has ended."""

    request_id: str


class FreeResults(NamedTuple):
    """Free results of a service that no request needs any more."""

    service: str
    handles: tuple[str, ...]


class GetBacklogs(NamedTuple):
    """Ask how long new work waits at services; replied by seconds for each of them.

    :param rank: rank of the new work.
    """

    services: tuple[str, ...]
    rank: int


class Leave(NamedTuple):
    """Give the own pools up: new work goes to other daemons."""


def to_submission(work: StageWork, now: float) -> StageSubmit:
    """Return stage work for a peer, whose clock shows another time."""
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
    )


def to_work(sent: StageSubmit, now: float) -> StageWork:
    """Return the stage work that a peer has sent, with instants of the own clock."""
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
    )
