"""Choice of the one daemon that decides about something, among those that reach each other."""

from greengagehoist.gateway.controllers._reach import Reach
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.replicas import rendezvous_rank


def choose_owner(vm: str, topology: Topology, reach: Reach, key: str) -> str:
    """Return the daemon that decides about ``key``; ``vm`` itself if no other can be reached.

    With hubs, it is one of them: only they have links to all others.

    :param vm: name of the own VM.
    """
    names = set(reach.ready)
    if topology.shared.value:
        names &= topology.hubs.value
    if topology.is_hub(vm) or not topology.shared.value or not names:
        names.add(vm)
    return max(names, key=lambda name: rendezvous_rank(key, name))
