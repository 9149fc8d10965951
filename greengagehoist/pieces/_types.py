"""Pieces of stage work and their results."""

from dataclasses import dataclass
from typing import NamedTuple


class Piece(NamedTuple):
    """One piece of a stage of one request.

    :param segment: number of the piece within its stage.
    :param key: key of the request's pieces, for stages that need no results of other stages.
    :param inputs: handles of all results that the piece needs.
    :param left_s: seconds until the deadline, after which the result is useless.
    """

    request_id: str
    stage: int
    segment: int
    key: str
    inputs: tuple[str, ...]
    left_s: float


@dataclass(frozen=True, slots=True)
class Made:
    """The replica holds the result under ``handle``."""

    handle: str


@dataclass(frozen=True, slots=True)
class InputGone:
    """A result that the piece needs no longer exists."""


@dataclass(frozen=True, slots=True)
class TooLate:
    """The deadline of the piece had passed when the replica reached it."""


@dataclass(frozen=True, slots=True)
class NotMade:
    """The replica could not make the result; another attempt may succeed.

    :param reason: as the replica gave it.
    """

    reason: str


PieceOutcome = Made | InputGone | TooLate | NotMade


class StageWork(NamedTuple):
    """All pieces of one stage of one request.

    :param rank: rank of the request, 0 is the most urgent.
    :param due: time by which the results should exist for the answer to begin in time, in seconds
        on the monotonic clock.
    :param deadline: time after which the results are useless, in seconds on the same clock.
    :param zone: data centre in which the results are read, empty if not yet known.
    :param result_bytes: approximate size of the result of one piece.
    :param attempt: number of times the request has restarted its stages; a later attempt needs new
        results because those of the earlier one are gone.
    """

    request_id: str
    service: str
    stage: int
    segments: tuple[int, ...]
    key: str
    inputs: tuple[str, ...]
    rank: int
    due: float
    deadline: float
    zone: str
    result_bytes: float
    attempt: int = 0
