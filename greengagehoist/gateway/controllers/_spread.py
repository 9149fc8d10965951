"""Spread of what one daemon has learnt to all others."""

from greengagehoist.gateway.controllers._reach import Reach
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.membership import Member
from greengagehoist.peers import Broadcast, PeerMessage, SendTo
from greengagehoist.utils import Controller, Published


class Spread:
    """Passes reports on: own ones to all peers; with hubs, a hub passes those of others on.

    Every daemon has told all hubs itself, so each hub tells those of its own data centre only.

    :param own: this daemon.
    :param reach: published set of daemons that can be reached.
    """

    def __init__(self, peers: Controller, own: Member, topology: Topology, reach: Published[Reach]):
        self.peers = peers
        self.own = own
        self.topology = topology
        self.reach = reach
        self._near: set[str] = set()

    def add_peer(self, vm: str, data_centre: str) -> None:
        """Note a daemon that has opened a link."""
        if data_centre == self.own.data_centre:
            self._near.add(vm)

    def send(self, message: PeerMessage, origin: str) -> None:
        """Pass a report on.

        :param origin: daemon that has told this one, empty for an own report.
        """
        if not origin:
            self.peers.tell(Broadcast(message))
        elif self.topology.shared.value and self.topology.is_hub(self.own.vm):
            for vm in sorted(self._near & self.reach.value.linked - {origin}):
                self.peers.tell(SendTo(vm, message))
