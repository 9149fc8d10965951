"""Controller that limits the memory of large answers which are buffered at the same time."""

from collections import Counter
from typing import Any, NamedTuple

from greengagehoist.utils import Controller, Reply, log_event

# Part of the memory of a process that large answers may take.
BUFFER_FRACTION = 0.25


class ReserveBuffer(NamedTuple):
    """Ask for memory; replied by True when it is free.

    :param origin: id of the replica that sends the answer.
    :param key: holds the memory until :class:`ReleaseBuffer`, whether or not it still waits for it.
    :param size: bytes.
    """

    origin: str
    key: object
    size: int


class ReleaseBuffer(NamedTuple):
    """Give back what a key holds, or waits for."""

    key: object


class _Waiting(NamedTuple):
    origin: str
    size: int
    reply: Reply


class _Held(NamedTuple):
    origin: str
    size: int


class BufferController(Controller):
    """Grants memory for large answers up to a limit, and lets the others wait.

    Whoever waits does not read from its replica, so the replica is slowed down by the flow control
    of its connection. A key asks once for all that it may need: with answers that hold a part and
    wait for more, none could end. Memory goes to the replica whose answers hold the least, and there
    to the request that has waited longest, so that a faulty replica does not hold up the others.

    :param limit: bytes that may be held at the same time; a larger request is granted alone.
    """

    def __init__(self, limit: int):
        super().__init__("buffers")
        self.limit = limit
        self._held: dict[object, _Held] = {}
        self._waiting: dict[object, _Waiting] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now."""
        return sum(item.size for item in self._held.values())

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case ReserveBuffer(origin, key, size):
                self._waiting[key] = _Waiting(origin, min(size, self.limit), reply)
                self._grant()
                if key in self._waiting:
                    log_event(
                        "answer_buffers_full",
                        "WARNING",
                        replica=origin,
                        held_kb=self.held_bytes // 1024,
                        asked_kb=size // 1024,
                        waiting=len(self._waiting),
                    )
            case ReleaseBuffer(key):
                self._held.pop(key, None)
                self._waiting.pop(key, None)
                self._grant()

    def _grant(self) -> None:
        while self._waiting:
            held = Counter()
            for item in self._held.values():
                held[item.origin] += item.size
            # The first of several minima is the one that has waited longest.
            key = min(self._waiting, key=lambda item: held[self._waiting[item].origin])
            origin, size, reply = self._waiting[key]
            if self.held_bytes + size > self.limit:
                # No smaller request overtakes it, as it might wait without end.
                return
            del self._waiting[key]
            self._held[key] = _Held(origin, size)
            reply(True)
