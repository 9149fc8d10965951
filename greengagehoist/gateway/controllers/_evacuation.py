"""Controller that tells operators which data centres are evacuated."""

from typing import Any

from greengagehoist.replicas import ReplicaTable
from greengagehoist.utils import (
    Clock,
    Controller,
    Published,
    Reply,
    Tick,
    log_event,
    show_value,
    tick,
)

# Only log lines wait for it.
POLL_PERIOD_S = 1.0
# Operators write the names, so that there may be many.
MAX_NAMED_UNKNOWN = 100


class EvacuationController(Controller):
    """Logs when data centres are evacuated and taken back, and names unknown ones once.

    The components that select replicas read ``evacuated`` themselves, so that they need not wait for
    this controller.

    :param evacuated: published data centres whose replicas get no work.
    :param table: published table of the known replicas.
    :param data_centres: names of all data centres by the settings.
    :ivar known: published evacuated data centres that exist.
    """

    def __init__(
        self,
        evacuated: Published[frozenset[str]],
        table: Published[ReplicaTable],
        data_centres: frozenset[str],
        clock: Clock,
    ):
        super().__init__("evacuations")
        self.evacuated = evacuated
        self.table = table
        self.data_centres = data_centres
        self.clock = clock
        self.known: Published[frozenset[str]] = Published(frozenset())
        self._named_unknown: set[str] = set()

    async def run(self) -> None:
        """Look for changes until cancelled."""
        self.start(tick(self, self.clock, POLL_PERIOD_S))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Tick() if self.evacuated.value or self.known.value:
                self._update()

    def _update(self) -> None:
        replicas = self.table.value.replicas.values()
        existing = self.data_centres | {item.zone for item in replicas}
        asked, before = self.evacuated.value, self.known.value
        # The list of replicas may lapse; what was evacuated is still the same data centre.
        known = asked & (existing | before)
        if self.table.value.read_at is not None:
            self._name_unknown(asked - known)
        self.known.value = known
        for zone in sorted(known - before):
            log_event("data_centre_evacuated", "WARNING", zone=zone, replicas=self._count(zone))
        for zone in sorted(before - known):
            log_event("data_centre_taken_back", zone=zone, replicas=self._count(zone))

    def _count(self, zone: str) -> int:
        return sum(item.zone == zone for item in self.table.value.replicas.values())

    def _name_unknown(self, names: frozenset[str]) -> None:
        for name in sorted(names - self._named_unknown):
            if len(self._named_unknown) < MAX_NAMED_UNKNOWN:
                self._named_unknown.add(name)
                log_event("evacuated_data_centre_unknown", "WARNING", zone=show_value(name))
