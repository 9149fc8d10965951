"""Choice of the peers that a daemon links to."""

import hashlib
from typing import NamedTuple

FULL_MESH_UP_TO = 16
LINKS_PER_OTHER_DATA_CENTRE = 2


class Member(NamedTuple):
    """An entry VM.

    :param address: peers' ``ip:port`` of its daemon.
    """

    vm: str
    data_centre: str
    address: str
    incarnation: int


def choose_peers(vm: str, data_centre: str, members: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return the members that the daemon of ``vm`` links to, in order of their names.

    These are all others while the roster has at most ``FULL_MESH_UP_TO`` VMs; in a larger roster,
    all in the own data centre and in each other one the two with the highest rendezvous hash.
    """
    others = sorted({item.vm: item for item in members if item.vm != vm}.values())
    if len(others) + 1 <= FULL_MESH_UP_TO:
        return tuple(others)
    chosen = [item for item in others if item.data_centre == data_centre]
    for other in {item.data_centre for item in others} - {data_centre}:
        there = [item for item in others if item.data_centre == other]
        there.sort(key=lambda item: _rank(vm, item.vm), reverse=True)
        chosen.extend(there[:LINKS_PER_OTHER_DATA_CENTRE])
    return tuple(sorted(chosen))


def _rank(vm: str, other: str) -> bytes:
    return hashlib.blake2b(f"{vm}\n{other}".encode(), digest_size=8).digest()
