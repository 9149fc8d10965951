"""Selection of the peers that a daemon connects to."""

import hashlib
from typing import NamedTuple

FULL_MESH_MAX_VMS = 16
LINKS_PER_OTHER_DATA_CENTRE = 2
HUBS_PER_DATA_CENTRE = 2


class Member(NamedTuple):
    """An entry VM.

    :param address: ``ip:port`` at which its daemon accepts peer connections.
    :param capacity: relative capacity of the VM; the largest VMs of a data centre become hubs.
    """

    vm: str
    data_centre: str
    address: str
    incarnation: int
    capacity: float = 1.0


def choose_peers(vm: str, data_centre: str, members: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return the members that the daemon of ``vm`` connects to, sorted by VM name.

    With up to ``FULL_MESH_MAX_VMS`` VMs, these are all other members; with more, all others in the
    same data centre and, in each other data centre, the two with the highest rendezvous hash.
    """
    others = sorted({item.vm: item for item in members if item.vm != vm}.values())
    if len(others) + 1 <= FULL_MESH_MAX_VMS:
        return tuple(others)
    chosen = [item for item in others if item.data_centre == data_centre]
    for other in {item.data_centre for item in others} - {data_centre}:
        candidates = [item for item in others if item.data_centre == other]
        candidates.sort(key=lambda item: _rendezvous_hash(vm, item.vm), reverse=True)
        chosen.extend(candidates[:LINKS_PER_OTHER_DATA_CENTRE])
    return tuple(sorted(chosen))


def choose_hubs(members: tuple[Member, ...]) -> frozenset[str]:
    """Return the VMs that all daemons of a deployment connect to and that own shared work.

    With a full mesh, these are all members; otherwise, in each data centre, the two with the
    largest capacity, where the highest rendezvous hash breaks ties.
    """
    if len(members) <= FULL_MESH_MAX_VMS:
        return frozenset(item.vm for item in members)
    hubs: set[str] = set()
    for data_centre in {item.data_centre for item in members}:
        candidates = [item for item in members if item.data_centre == data_centre]
        candidates.sort(
            key=lambda item: (item.capacity, _rendezvous_hash("hub", item.vm)), reverse=True
        )
        hubs.update(item.vm for item in candidates[:HUBS_PER_DATA_CENTRE])
    return frozenset(hubs)


def choose_hub_links(vm: str, data_centre: str, members: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return the hubs that the daemon of ``vm`` connects to in a topology with shared hubs.

    :param data_centre: unused; keeps the signature of :func:`choose_peers`.
    :param members: all members, including ``vm`` itself.
    """
    hubs = choose_hubs(members)
    return tuple(sorted(item for item in members if item.vm in hubs and item.vm != vm))


def _rendezvous_hash(vm: str, other: str) -> bytes:
    return hashlib.blake2b(f"{vm}\n{other}".encode(), digest_size=8).digest()
