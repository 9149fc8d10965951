"""Lease that allows one daemon at a time to send orders to a target."""

from dataclasses import dataclass
from typing import NamedTuple

LEASE_TTL_S = 30.0
# Timeout of sending one order.
MAX_SEND_S = 2.0
LEASE_MARGIN_S = 2.0


class LeaseRow(NamedTuple):
    """Content of the table row ``order/{target}``.

    :param fence: fencing number, raised with each change of the holder.
    :param ttl: seconds after ``written_at`` during which the holder may send orders.
    :param written_at: time of the write on the table's clock, in seconds.
    """

    holder: str
    incarnation: int
    fence: int
    ttl: float
    version: int
    written_at: float


class OrderLease(NamedTuple):
    """A lease that this daemon holds.

    :param monotonic: local monotonic time just before the write was sent, in seconds.
    :param wall: local wall-clock time just before the write was sent, in seconds since the Unix
        epoch.
    """

    fence: int
    version: int
    ttl: float
    monotonic: float
    wall: float


@dataclass(frozen=True, slots=True)
class Write:
    """Write the row with this fencing number if its version is still ``expect``."""

    fence: int
    expect: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Another daemon may still send orders for this many seconds."""

    seconds: float


def decide_lease(
    row: LeaseRow | None, holder: str, incarnation: int, table_now: float
) -> Write | Wait:
    """Return how a daemon acquires or renews the lease.

    A new holder waits until the last order that the previous one may have sent has ended, and takes
    a higher fencing number.
    """
    if row is None:
        return Write(1, 0)
    if (row.holder, row.incarnation) == (holder, incarnation):
        return Write(row.fence, row.version)
    available_at = row.written_at + row.ttl + MAX_SEND_S + LEASE_MARGIN_S
    if table_now < available_at:
        return Wait(available_at - table_now)
    return Write(row.fence + 1, row.version)


def covers_send(lease: OrderLease, monotonic: float, wall: float) -> bool:
    """Return whether an order sent now is certain to end before the lease expires.

    The larger elapsed time of the two clocks counts, so that neither a suspended VM nor a clock
    that was set back prolongs the lease.
    """
    elapsed = max(monotonic - lease.monotonic, wall - lease.wall)
    return elapsed + MAX_SEND_S + LEASE_MARGIN_S <= lease.ttl
