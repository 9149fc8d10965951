"""Validation of members that rows and other daemons describe."""

from greengagehoist.membership._peer_selection import Member
from greengagehoist.utils._validation import (
    ValidationError,
    check_float,
    check_int,
    check_label,
    parse_port,
)

MAX_NAME_BYTES = 200
MAX_INCARNATION = 2**63 - 1
MAX_CAPACITY = 1e9


def check_member(member: Member) -> Member:
    """Return ``member`` if it can be dialled and ordered among the others.

    :raises ValidationError: if a field is out of range.
    """
    check_label("vm", member.vm, MAX_NAME_BYTES)
    check_label("data_centre", member.data_centre, MAX_NAME_BYTES)
    host, _, port = check_label("address", member.address, MAX_NAME_BYTES).rpartition(":")
    if parse_port(port) == 0 or not host or "/" in host:
        raise ValidationError("address", member.address, "ip:port")
    check_int("incarnation", member.incarnation, 0, MAX_INCARNATION)
    check_float("capacity", member.capacity, 0.0, MAX_CAPACITY)
    return member
