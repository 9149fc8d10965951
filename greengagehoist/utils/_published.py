"""Immutable snapshots that a controller shows to other tasks."""

from typing import Generic, TypeVar

T = TypeVar("T")


class Published(Generic[T]):
    """The newest snapshot of a controller's state; only the owner replaces it.

    Reading it needs no message, so filters can use it for every request.
    """

    def __init__(self, value: T):
        self.value = value
