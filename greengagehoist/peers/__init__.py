"""Links between daemons and the messages on them."""

from greengagehoist.peers._messages import (
    ConfigPush,
    ConfigWant,
    Goodbye,
    Heartbeat,
    Hello,
    LeaveMark,
    PeerMessage,
    TraceSpans,
    TraceWant,
    Transfer,
    TransferWant,
    UnitLend,
    UnitReturn,
    UnitWant,
)
from greengagehoist.peers._types import Broadcast, FromPeer, GetPeers, Peer, SendTo, Subscribe

__all__ = [
    "Broadcast",
    "ConfigPush",
    "ConfigWant",
    "FromPeer",
    "GetPeers",
    "Goodbye",
    "Heartbeat",
    "Hello",
    "LeaveMark",
    "Peer",
    "PeerMessage",
    "SendTo",
    "Subscribe",
    "TraceSpans",
    "TraceWant",
    "Transfer",
    "TransferWant",
    "UnitLend",
    "UnitReturn",
    "UnitWant",
]
