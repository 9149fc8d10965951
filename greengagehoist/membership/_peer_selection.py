"""Choice of the peers that a daemon links to."""

import hashlib
from typing import NamedTuple

FULL_MESH_MAX_VMS = 16
LINKS_PER_OTHER_DATA_CENTRE = 2
HUBS_PER_DATA_CENTRE = 2


class Member(NamedTuple):
    """An entry VM.

    :param address: peers' ``ip:port`` of its daemon.
    :param capacity: relative capacity of the VM; daemons on large VMs become hubs.
    """

    vm: str
    data_centre: str
    address: str
    incarnation: int
    capacity: float = 1.0


def choose_peers(vm: str, data_centre: str, members: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return the members that the daemon of ``vm`` links to, in order of their names.

    These are all others while the roster has at most ``FULL_MESH_MAX_VMS`` VMs; in a larger roster,
    all in the own data centre and in each other one the two with the highest rendezvous hash.
    """
    others = sorted({item.vm: item for item in members if item.vm != vm}.values())
    if len(others) + 1 <= FULL_MESH_MAX_VMS:
        return tuple(others)
    chosen = [item for item in others if item.data_centre == data_centre]
    for other in {item.data_centre for item in others} - {data_centre}:
        there = [item for item in others if item.data_centre == other]
        there.sort(key=lambda item: _rank(vm, item.vm), reverse=True)
        chosen.extend(there[:LINKS_PER_OTHER_DATA_CENTRE])
    return tuple(sorted(chosen))


def choose_hubs(members: tuple[Member, ...]) -> frozenset[str]:
    """Return the VMs that all daemons of a deployment link to and that own shared work.

    These are all members while a full mesh is used; in a larger roster, in each data centre the
    two with the largest capacity, and the highest rendezvous hash among equals.
    """
    if len(members) <= FULL_MESH_MAX_VMS:
        return frozenset(item.vm for item in members)
    hubs: set[str] = set()
    for data_centre in {item.data_centre for item in members}:
        there = [item for item in members if item.data_centre == data_centre]
        there.sort(key=lambda item: (item.capacity, _rank("hub", item.vm)), reverse=True)
        hubs.update(item.vm for item in there[:HUBS_PER_DATA_CENTRE])
    return frozenset(hubs)


def choose_hub_links(vm: str, data_centre: str, members: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return the members that the daemon of ``vm`` links to if all daemons share hubs.

    :param data_centre: unused; the signature is that of :func:`choose_peers`.
    :param members: all members, with the own one.
    """
    hubs = choose_hubs(members)
    return tuple(sorted(item for item in members if item.vm in hubs and item.vm != vm))


def _rank(vm: str, other: str) -> bytes:
    return hashlib.blake2b(f"{vm}\n{other}".encode(), digest_size=8).digest()
