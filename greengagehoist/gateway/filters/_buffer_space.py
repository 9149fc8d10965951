"""Memory of one request for what it buffers of its answer."""

from greengagehoist.gateway import Progress
from greengagehoist.memory import Buffered, ReleaseMemory, ReserveMemory
from greengagehoist.utils import Controller

# Copies of an answer that exist at the same time: its parts and the whole, or the whole and the
# bytes that the client's connection has not taken yet.
COPIES = 2


class BufferSpace:
    """Reserves memory for a request; the front end releases it after the answer has been sent.

    :param memory: account of the memory that requests and answers take.
    :param origin: id of the replica that sends the answer.
    """

    def __init__(self, memory: Controller, progress: Progress, origin: str):
        self.memory = memory
        self.origin = origin
        self.progress = progress

    async def reserve(self, size: int) -> None:
        """Wait until ``size`` bytes of an answer may be buffered."""
        size *= COPIES
        if self.progress.reserved_bytes >= size:
            return
        self.release()
        self.progress.reserved_bytes = size
        await self.memory.ask(ReserveMemory(self.progress, Buffered(), self.origin, size))

    def release(self) -> None:
        """Release what is reserved."""
        if self.progress.reserved_bytes:
            self.progress.reserved_bytes = 0
            self.memory.tell(ReleaseMemory(self.progress))
