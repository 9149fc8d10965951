"""Published views of the daemons of a deployment."""

from typing import NamedTuple

from greengagehoist.membership import Member
from greengagehoist.utils import Published


class Topology(NamedTuple):
    """Views of the list of members, published by the members controller.

    :param known: whether the list has been read.
    :param count: number of members, at least 1.
    :param links: members that this daemon links to.
    :param hubs: names of the members that all others link to.
    :param shared: whether hubs read the platform for other members.
    """

    known: Published[bool]
    count: Published[int]
    links: Published[tuple[Member, ...]]
    hubs: Published[frozenset[str]]
    shared: Published[bool]

    def is_hub(self, vm: str) -> bool:
        """Return whether other daemons link to ``vm`` and may ask its daemon."""
        return vm in self.hubs.value


def topology_of(own: Member) -> Topology:
    """Return the topology of a daemon that has not read the list yet."""
    return Topology(
        Published(False),
        Published(1),
        Published(()),
        Published(frozenset({own.vm})),
        Published(False),
    )
