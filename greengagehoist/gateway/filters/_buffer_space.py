"""Memory of one request for what it buffers of its answer."""

from greengagehoist.gateway import Progress
from greengagehoist.gateway.controllers import ReleaseBuffer, ReserveBuffer
from greengagehoist.utils import Controller

# Copies of an answer that exist at the same time: its parts and the whole, or the whole and the
# bytes that the client's connection has not taken yet.
COPIES = 2


class BufferSpace:
    """Reserves memory for a request; the front end releases it after the answer has been sent.

    :param buffers: controller that limits the memory of all requests together.
    :param origin: id of the replica that sends the answer.
    """

    def __init__(self, buffers: Controller, progress: Progress, origin: str):
        self.buffers = buffers
        self.origin = origin
        self.progress = progress

    async def reserve(self, size: int) -> None:
        """Wait until ``size`` bytes of an answer may be buffered."""
        size *= COPIES
        if self.progress.reserved_bytes >= size:
            return
        self.release()
        self.progress.reserved_bytes = size
        await self.buffers.ask(ReserveBuffer(self.origin, self.progress, size))

    def release(self) -> None:
        """Release what is reserved."""
        if self.progress.reserved_bytes:
            self.progress.reserved_bytes = 0
            self.buffers.tell(ReleaseBuffer(self.progress))
