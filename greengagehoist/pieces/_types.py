"""Pieces of stage work and their results."""

from dataclasses import dataclass
from typing import NamedTuple


class Piece(NamedTuple):
    """One piece of a stage of one request.

    :param key: key of the pieces of stages that need no results.
    :param inputs: handles of all results that the piece needs.
    :param left_s: seconds after which the result is useless.
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
    """The time of the piece was over when its turn came."""


@dataclass(frozen=True, slots=True)
class NotMade:
    """The replica could not make the result now.

    :param reason: as the replica gave it.
    """

    reason: str


PieceEnd = Made | InputGone | TooLate | NotMade


class StageWork(NamedTuple):
    """All pieces of one stage of one request.

    :param rank: rank of the request, 0 is the most urgent.
    :param due: instant at which the results should exist, so that the request's answer begins in
        time, in seconds.
    :param deadline: instant after which the results are useless, in seconds.
    :param zone: data centre in which the results are read, empty if that is open.
    :param result_bytes: approximate size of the result of one piece.
    :param attempt: counts how often the request began its stages; a later attempt needs new
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
