"""Decision which daemon owns each stage pool."""

from greengagehoist.gateway.controllers._reach import Reach
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.replicas import rendezvous_rank
from greengagehoist.utils import Clock

# A peer that could not be sent to, or that has said that it stops, owns no pools for this long. By
# then its heartbeat or the loss of its link shows its state.
EXCLUDE_S = 1.0
# A daemon that is no hub, or does not know the hubs yet, waits this long for a link to one before it
# runs its stage work alone, so that the daemons do not all call the replicas of a pool after a common
# restart.
HUB_WAIT_S = 1.0


class PoolOwners:
    """Chooses the owner of each pool among the daemons that reach each other.

    The owner is the daemon with the highest rendezvous hash, so that daemons with the same view
    choose the same one.

    :param vm: name of the own VM.
    :param topology: the hubs, which own all pools where there are any.
    :ivar leaving: whether this daemon stops, so that other daemons own the pools.
    """

    def __init__(self, vm: str, topology: Topology, clock: Clock):
        self.vm = vm
        self.topology = topology
        self.clock = clock
        self.leaving = False
        self._reach = Reach()
        self._excluded_until: dict[str, float] = {}
        self._without_hub_since = clock.monotonic()

    def set_reach(self, reach: Reach) -> frozenset[str]:
        """Apply a change of the links; returns the daemons whose links were lost."""
        lost, had_hub = self._reach.linked - reach.linked, self._reaches_hub()
        self._reach = reach
        if had_hub and not self._reaches_hub():
            self._without_hub_since = self.clock.monotonic()
        for vm in lost:
            self._excluded_until.pop(vm, None)
        return lost

    def _reaches_hub(self) -> bool:
        return bool(self._reach.ready & self.topology.hubs.value)

    def exclude(self, vm: str) -> None:
        """Choose other owners than ``vm`` for ``EXCLUDE_S``."""
        self._excluded_until[vm] = self.clock.monotonic() + EXCLUDE_S

    def hub_wait_s(self) -> float:
        """Return the seconds until this daemon runs its stage work without a hub."""
        return max(0.0, self._without_hub_since + HUB_WAIT_S - self.clock.monotonic())

    def owner_of(self, service: str) -> str:
        """Return the owner of a pool, or an empty string while this daemon waits for a hub."""
        now, topology = self.clock.monotonic(), self.topology
        names = {vm for vm in self._reach.ready if self._excluded_until.get(vm, now) <= now}
        may_own = topology.is_hub(self.vm) or not topology.shared.value
        if not topology.known.value:
            names = set()
        elif topology.shared.value:
            names &= topology.hubs.value
        waits = not topology.known.value or not may_own
        if waits and not names and self.hub_wait_s():
            return ""
        if not names or (may_own and not self.leaving):
            names |= {self.vm}
        return max(names, key=lambda name: rendezvous_rank(service, name))
