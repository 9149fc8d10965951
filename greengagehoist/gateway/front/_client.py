"""A client's connection and its limits."""

from collections.abc import Callable
from typing import NamedTuple

from greengagehoist.http1 import RequestReader, SizeLimits, Socket
from greengagehoist.memory import BodySpace, SmallBodies
from greengagehoist.utils import Controller


class ClientSettings(NamedTuple):
    """Limits on what clients take together.

    :param connections: open connections.
    :param connections_per_address: open connections from one address, 0 for no limit of their own.
    :param in_progress: requests that are served at the same time.
    :param small_bytes: memory of requests that are not in the account.
    :param body_rate: bytes a second that a body must have on average after ``body_grace_s``.
    """

    connections: int
    connections_per_address: int
    in_progress: int
    small_bytes: int
    body_rate: float
    body_grace_s: float


class Client:
    """A client's connection, which one task serves.

    :ivar accepted_at: time on the boot clock, in seconds.
    :ivar idle_since: time on the boot clock at which it began to wait for a request.
    :ivar answered: number of requests that have been answered on it.
    """

    def __init__(
        self,
        sock: Socket,
        limits: Callable[[], SizeLimits],
        memory: Controller,
        small: SmallBodies,
        now: float,
    ):
        self.sock = sock
        self.space = BodySpace(memory, small, sock.peer_address, self._give_memory_back)
        self.reader = RequestReader(sock, limits, self.space)
        self.accepted_at = self.idle_since = now
        self.answered = 0

    def is_silent(self) -> bool:
        """Return whether nothing of a request has been received."""
        return not self.reader.has_partial and not self.sock.has_unread

    def may_receive(self, now: float, arrival_s: float) -> bool:
        """Return whether a request may be on its way.

        :param arrival_s: seconds within which a request begins to arrive.
        """
        return self.reader.has_partial or now - self.idle_since < arrival_s

    def give_way(self) -> None:
        """Refuse the request that is received, or close the connection if there is none."""
        if self.is_silent():
            self.sock.close()
        else:
            self.reader.refuse("too many connections")

    def _give_memory_back(self) -> None:
        self.reader.refuse("others wait for the memory of this request")
