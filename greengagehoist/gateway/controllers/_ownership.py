"""Since when this daemon owns the limits of a service, and which share of the members it reaches."""

from greengagehoist.gateway.controllers._owners import choose_owner
from greengagehoist.gateway.controllers._reach import Reach
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.utils import Clock, Published

# Within this time, each daemon knows of a lost owner, a partition and its end: three heartbeats and a
# poll, and the time in which a permit is good for a send.
SETTLE_S = 2.0
# A daemon that has not looked for this long was frozen, and others may have taken its place.
MAX_GAP_S = 1.0


class Ownership:
    """Decides when this daemon may grant all of its share, so that two owners never do so at once.

    An owner grants nothing before it has owned a service for ``SETTLE_S``, because the daemons of the
    former one may not know yet that it is lost. Its share of the members counts as the smallest of
    that time, because the owner on the other side of a partition may not know of its end.
    """

    def __init__(self, vm: str, topology: Topology, reach: Published[Reach], clock: Clock):
        self.vm = vm
        self.topology = topology
        self.reach = reach
        self.clock = clock
        self._owned_since: dict[str, float] = {}
        # Share from each time on, oldest first.
        self._shares: list[tuple[float, float]] = []
        self._looked_at = clock.monotonic()
        self._seen: object = None

    def owner_of(self, service: str) -> str:
        """Return the daemon that owns the limits of a service."""
        return choose_owner(self.vm, self.topology, self.reach.value, service)

    @property
    def share(self) -> float:
        """Share of the members that this daemon reaches, 0 while it knows no members."""
        if not self.topology.known.value:
            return 0.0
        return min(1.0, (len(self.reach.value.linked) + 1) / self.topology.count.value)

    def look(self, services: frozenset[str]) -> None:
        """Note what has changed; called at least every ``MAX_GAP_S``.

        :param services: those whose ownership matters.
        """
        now = self.clock.monotonic()
        if now - self._looked_at > MAX_GAP_S:
            self._owned_since.clear()
            self._shares.clear()
            self._seen = None
        self._looked_at = now
        seen = (self.reach.value, self.topology.hubs.value, self.topology.shared.value, services)
        if seen != self._seen:
            self._seen = seen
            owned = {item for item in services if self.owner_of(item) == self.vm}
            self._owned_since = {item: self._owned_since.get(item, now) for item in owned}
        share = self.share
        if not self._shares or self._shares[-1][1] != share:
            self._shares.append((now, share))
        while len(self._shares) > 1 and self._shares[1][0] <= now - SETTLE_S:
            del self._shares[0]

    def settled_share(self, service: str) -> float:
        """Return the share that this daemon may grant of a service, 0 if it may not grant any."""
        now = self.clock.monotonic()
        since = self._owned_since.get(service, now)
        if now - since < SETTLE_S or self._shares[0][0] > now - SETTLE_S:
            return 0.0
        return min(share for _, share in self._shares)
