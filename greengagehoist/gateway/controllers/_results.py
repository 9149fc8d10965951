"""Controller that frees results at the replicas of stage pools."""

from typing import Any, NamedTuple

from greengagehoist.gateway import WireFormat
from greengagehoist.gateway.controllers._pool_worker import ResultFreer
from greengagehoist.utils import (
    Clock,
    Controller,
    Reply,
    ValidationError,
    log_event,
    parse_port,
    show_value,
)


class FreeHandles(NamedTuple):
    """Free results at the replicas that hold them."""

    handles: tuple[str, ...]


class ResultsFreed(NamedTuple):
    """Tell the follower that the replica at ``address`` has freed these results."""

    address: str
    handles: tuple[str, ...]


class _FreeEnded(NamedTuple):
    address: str
    handles: tuple[str, ...]
    ok: bool


class ResultController(Controller):
    """Frees results with one call at a time to each replica.

    :param follower: receives :class:`ResultsFreed`.
    """

    def __init__(self, wire: WireFormat, clock: Clock, follower: Controller):
        super().__init__("results")
        self.wire = wire
        self.clock = clock
        self.follower = follower
        self._queued: dict[str, list[str]] = {}
        self._freers: dict[str, ResultFreer] = {}

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            await super().run()
        finally:
            for freer in self._freers.values():
                freer.close()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case FreeHandles(handles):
                for handle in handles:
                    self._free_handle(handle)
            case _FreeEnded():
                self._handle_freed(message)

    def _free_handle(self, handle: str) -> None:
        address, _, _ = handle.partition("/")
        if address not in self._freers:
            host, _, port = address.rpartition(":")
            try:
                freer = ResultFreer(host, parse_port(port), self.wire, self.clock)
            except ValidationError:
                log_event("results_not_freed", "WARNING", peer=show_value(address), results=1)
                return
            self._freers[address] = freer
        self._queued.setdefault(address, []).append(handle)
        self._start_call(address)

    def _start_call(self, address: str) -> None:
        freer = self._freers[address]
        if not freer.busy and address in self._queued:
            freer.busy = True
            self.start(self._free(freer, address))

    async def _free(self, freer: ResultFreer, address: str) -> None:
        handles = tuple(self._queued.pop(address))
        self.tell(_FreeEnded(address, handles, await freer.free(handles)))

    def _handle_freed(self, end: _FreeEnded) -> None:
        if end.ok:
            self.follower.tell(ResultsFreed(end.address, end.handles))
        else:
            # The replica frees the results itself when their lifetime ends.
            log_event("results_not_freed", "WARNING", peer=end.address, results=len(end.handles))
            if end.address not in self._queued:
                self._freers.pop(end.address, None)
        if end.address in self._queued:
            self._start_call(end.address)
