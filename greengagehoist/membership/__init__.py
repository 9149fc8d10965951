"""Life cycles of VMs and targets, leave marks and the selection of peers."""

from greengagehoist.membership._lifecycle import (
    TARGET_LIFECYCLE,
    VM_LIFECYCLE,
    LifeCycle,
    TargetState,
    VmState,
)
from greengagehoist.membership._peer_selection import (
    Member,
    choose_hub_links,
    choose_hubs,
    choose_peers,
)
from greengagehoist.membership._roster import LeaveMarks, Listing, Mark, TargetRoster, TargetStatus
from greengagehoist.membership._validation import check_member

__all__ = [
    "LeaveMarks",
    "LifeCycle",
    "Listing",
    "Mark",
    "Member",
    "TARGET_LIFECYCLE",
    "TargetRoster",
    "TargetState",
    "TargetStatus",
    "VM_LIFECYCLE",
    "VmState",
    "check_member",
    "choose_hub_links",
    "choose_hubs",
    "choose_peers",
]
