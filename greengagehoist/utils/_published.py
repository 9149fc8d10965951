"""Immutable snapshots that a controller publishes to other tasks."""

from typing import Generic, TypeVar

T = TypeVar("T")


class Published(Generic[T]):
    """The latest snapshot of a controller's state; only that controller replaces it.

    Reading it needs no message exchange, so filters can do it for every request.
    """

    def __init__(self, value: T):
        self.value = value
