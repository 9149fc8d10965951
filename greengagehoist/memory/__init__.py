"""Account of the memory that a process holds for others, and the task that owns it."""

from greengagehoist.memory._account import (
    Account,
    Arriving,
    Ask,
    Buffered,
    Holding,
    Kept,
    Purpose,
    Unsent,
)
from greengagehoist.memory._controller import (
    KeepMemory,
    MarkUnsent,
    MemoryController,
    ReleaseMemory,
    ReserveMemory,
)
from greengagehoist.memory._space import SMALL_FRACTION, BodySpace, SmallBodies
from greengagehoist.memory._yielding import choose_yielding

__all__ = [
    "Account",
    "Arriving",
    "Ask",
    "BodySpace",
    "Buffered",
    "Holding",
    "Kept",
    "KeepMemory",
    "MarkUnsent",
    "MemoryController",
    "Purpose",
    "ReleaseMemory",
    "ReserveMemory",
    "SMALL_FRACTION",
    "SmallBodies",
    "Unsent",
    "choose_yielding",
]
