"""Messages between the controllers of one daemon and its peer controller."""

from typing import NamedTuple

from greengagehoist.membership import Member
from greengagehoist.peers._messages import Heartbeat, LeaveMark, PeerMessage
from greengagehoist.utils import Controller


class Peer(NamedTuple):
    """A daemon with a working link.

    :param heartbeat: last heartbeat, or None before the first.
    :param silent_for: seconds since the last frame from the peer.
    """

    vm: str
    data_centre: str
    incarnation: int
    heartbeat: Heartbeat | None
    silent_for: float


class SendTo(NamedTuple):
    """Send a message to one peer; replied by True if it was queued on a working link."""

    vm: str
    message: PeerMessage


class SendToEach(NamedTuple):
    """Send a message to some peers, encoded once; replied by the number of links that queued it."""

    vms: tuple[str, ...]
    message: PeerMessage


class Broadcast(NamedTuple):
    """Send a message to all peers with a working link; replied by the number of links that queued it."""

    message: PeerMessage


class Subscribe(NamedTuple):
    """Deliver messages of these types to ``controller`` as :class:`FromPeer`."""

    types: tuple[type, ...]
    controller: Controller


class FromPeer(NamedTuple):
    """A message that a peer has sent.

    :param incarnation: incarnation of the sending daemon.
    """

    vm: str
    data_centre: str
    incarnation: int
    message: PeerMessage


class GetPeers(NamedTuple):
    """Ask for the peers with a working link; replied by ``tuple[Peer, ...]``."""


class UpdateHeartbeat(NamedTuple):
    """Update the heartbeat that this daemon sends; fields that are None stay unchanged."""

    config_version: int | None = None
    ready: bool | None = None
    in_flight: int | None = None
    load: float | None = None
    leave_marks: tuple[LeaveMark, ...] | None = None


class SetMembers(NamedTuple):
    """Replace the known members, which are the entry VMs and their peer addresses."""

    members: tuple[Member, ...]


class CloseLinks(NamedTuple):
    """Send :class:`Goodbye` to all peers, close the links and accept no new ones; replied by None."""

    reason: str
