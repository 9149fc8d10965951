"""Life cycles of VMs and targets, leave marks and the choice of peers."""

from greengagehoist.membership._choice import Member, choose_peers

__all__ = ["Member", "choose_peers"]
