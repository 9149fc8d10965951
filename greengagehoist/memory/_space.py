"""Memory of one connection for the request that it receives."""

from collections.abc import Callable

from greengagehoist.memory._account import Arriving
from greengagehoist.memory._controller import KeepMemory, ReleaseMemory, ReserveMemory
from greengagehoist.utils import Controller

# Requests up to this size are held without a message to the account's task.
SMALL_BYTES = 32 * 1024
SMALL_STEP_BYTES = 4 * 1024
# Part of the memory of a process that small requests may take together. When it is used up, they are
# reserved like large ones.
SMALL_FRACTION = 0.05
# Least step of a reservation; later steps are half of what is held.
STEP_BYTES = 64 * 1024
# A body grows in an array with an eighth of spare room.
SPARE_PARTS = 8


class SmallBodies:
    """Memory of the small requests of all connections together, a fixed part of the account.

    :param limit: bytes that they may take.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.held = 0

    def take(self, size: int) -> bool:
        """Take bytes if they are free."""
        if self.held + size > self.limit:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """Give bytes back."""
        self.held -= size


class BodySpace:
    """Memory that a connection holds for one request after the other.

    :param account: controller of the process's memory.
    :param small: shared by all connections.
    :param origin: address of the client.
    :param give_way: called if the connection must give its memory back.
    :ivar granted: bytes that may be held without a reservation.
    """

    def __init__(
        self,
        account: Controller,
        small: SmallBodies,
        origin: str,
        give_way: Callable[[], None],
    ):
        self.account = account
        self.small = small
        self.origin = origin
        self.give_way = give_way
        self.granted = 0
        self._small_bytes = 0
        self._reserved = False
        self._kept = False

    async def reserve(self, size: int, most: int) -> None:
        """Wait until ``size`` bytes of a request may be held.

        :param most: bytes that the whole request may take.
        """
        if not self._reserved and size <= SMALL_BYTES:
            rounded = -(-size // SMALL_STEP_BYTES) * SMALL_STEP_BYTES
            if self.small.take(rounded - self._small_bytes):
                self.granted = self._small_bytes = rounded
                return
        self._reserved = True
        wanted = max(size, min(size + max(STEP_BYTES, size // 2), most))
        memory = wanted + wanted // SPARE_PARTS
        await self.account.ask(ReserveMemory(self, Arriving(), self.origin, memory, self._yield))
        self._give_back_small()
        self.granted = wanted

    def keep(self) -> None:
        """Keep what is held: the request is complete, and cannot give way any more."""
        self._kept = True
        if self._reserved:
            self.account.tell(KeepMemory(self))

    def release(self) -> None:
        """Give back what is held."""
        self.granted, self._kept = 0, False
        self._give_back_small()
        if self._reserved:
            self._reserved = False
            self.account.tell(ReleaseMemory(self))

    def _yield(self) -> None:
        # The account may choose a request before it has heard that it is complete.
        if self._reserved and not self._kept:
            self.give_way()

    def _give_back_small(self) -> None:
        if self._small_bytes:
            self.small.give_back(self._small_bytes)
            self._small_bytes = 0
