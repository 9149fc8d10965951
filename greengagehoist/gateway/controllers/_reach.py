"""Controller that tracks which daemons and data centres can be reached."""

from typing import Any, NamedTuple

from greengagehoist.membership import Member
from greengagehoist.peers import GetPeers, Peer
from greengagehoist.utils import Clock, Controller, Published, Reply, Tick, log_event, tick

POLL_PERIOD_S = 0.1
# Three missed heartbeats.
SILENT_AFTER_S = 1.2


class Reach(NamedTuple):
    """The daemons and data centres that can be reached.

    :param ready: VMs of the daemons that accept new work.
    :param linked: VMs of the daemons that answer.
    :param silent_zones: data centres in which no daemon answers.
    """

    ready: frozenset[str] = frozenset()
    linked: frozenset[str] = frozenset()
    silent_zones: frozenset[str] = frozenset()


class ReachChanged(NamedTuple):
    """Tell followers that the reachable daemons or data centres have changed."""

    reach: Reach


class _PeersPolled(NamedTuple):
    peers: tuple[Peer, ...]


def find_reach(peers: tuple[Peer, ...], members: tuple[Member, ...], own_zone: str) -> Reach:
    """Return the daemons and data centres that can be reached.

    :param members: all other daemons of the deployment.
    """
    linked = {peer.vm: peer for peer in peers if peer.silent_for < SILENT_AFTER_S}
    ready = {vm for vm, peer in linked.items() if peer.heartbeat and peer.heartbeat.ready}
    answering = {peer.data_centre for peer in linked.values()} | {own_zone}
    silent = {item.data_centre for item in members} - answering
    return Reach(frozenset(ready), frozenset(linked), frozenset(silent))


class ReachController(Controller):
    """Polls the peer links and publishes which daemons and data centres can be reached.

    :param members: published other daemons of the deployment.
    :param zone: own data centre.
    :param followers: controllers that receive :class:`ReachChanged`.
    """

    def __init__(
        self,
        peers: Controller,
        members: Published[tuple[Member, ...]],
        clock: Clock,
        zone: str,
        followers: tuple[Controller, ...] = (),
    ):
        super().__init__("reach")
        self.peers = peers
        self.members = members
        self.clock = clock
        self.zone = zone
        self.followers = followers
        self.reach: Published[Reach] = Published(Reach())

    async def run(self) -> None:
        """Poll until cancelled."""
        self.start(tick(self, self.clock, POLL_PERIOD_S))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Tick():
                self.start(self._poll_peers())
            case _PeersPolled(peers):
                self._apply(find_reach(peers, self.members.value, self.zone))

    async def _poll_peers(self) -> None:
        self.tell(_PeersPolled(await self.peers.ask(GetPeers())))

    def _apply(self, reach: Reach) -> None:
        before = self.reach.value
        if reach == before:
            return
        self.reach.value = reach
        log_event(
            "reach_changed",
            ready=len(reach.ready),
            linked=len(reach.linked),
            lost=",".join(sorted(before.linked - reach.linked)),
            silent_zones=",".join(sorted(reach.silent_zones)),
        )
        for follower in self.followers:
            follower.tell(ReachChanged(reach))
