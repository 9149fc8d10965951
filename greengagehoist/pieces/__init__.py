"""Stage work in pieces: types, order and batches."""

from greengagehoist.pieces._queue import Job, JobKey, PoolQueue
from greengagehoist.pieces._room import Room
from greengagehoist.pieces._types import (
    InputGone,
    Made,
    NotMade,
    Piece,
    PieceEnd,
    StageWork,
    TooLate,
)

__all__ = [
    "InputGone",
    "Job",
    "JobKey",
    "Made",
    "NotMade",
    "Piece",
    "PieceEnd",
    "PoolQueue",
    "Room",
    "StageWork",
    "TooLate",
]
