"""Division of limits into slots and of slots among daemons."""

import functools
import hashlib
from collections.abc import Mapping
from typing import NamedTuple

SLOTS = 64
# Largest supported clock error of a daemon.
CLOCK_MARGIN_S = 0.25
# A holder stops using a lease this long before its end, and others wait this long after it.
LEASE_MARGIN_S = 2.0
SHORT_TTL_S = 60.0
SHORT_RENEWAL_S = 15.0
LONG_TTL_S = 4 * 3600.0
LONG_RENEWAL_S = 600.0
# The remainder of a limit is assigned to slots that are STRIDE apart, so that a holder of adjacent
# slots does not receive all of a small limit. STRIDE * STRIDE_INVERSE is 1 modulo SLOTS.
STRIDE = 27
STRIDE_INVERSE = 19
# Residues modulo 8 of the slots that have a long lease.
LONG_LEASE_RESIDUES = (0, 3, 6)


class Instant(NamedTuple):
    """A reading of both clocks of a daemon.

    :param wall: seconds since the Unix epoch.
    :param mono: monotonic seconds.
    """

    wall: float
    mono: float


@functools.lru_cache(maxsize=65_536)
def _offset(customer: str) -> int:
    return int.from_bytes(hashlib.sha256(customer.encode()).digest()[:4], "big") % SLOTS


def apportion(limit: int, slot: int, customer: str) -> int:
    """Return the share of ``limit`` that is assigned to a slot.

    The shares of all slots sum to the limit, and no share decreases when the limit increases.
    """
    base, rest = divmod(limit, SLOTS)
    position = (slot - _offset(customer)) * STRIDE_INVERSE % SLOTS
    return base + (1 if position < rest else 0)


def has_long_lease(slot: int) -> bool:
    """Return whether a slot is leased for ``LONG_TTL_S``; 24 of the 64 slots are."""
    return slot % 8 in LONG_LEASE_RESIDUES


def lease_times(slot: int) -> tuple[float, float]:
    """Return the ttl and the renewal period of a slot, in seconds."""
    return (LONG_TTL_S, LONG_RENEWAL_S) if has_long_lease(slot) else (SHORT_TTL_S, SHORT_RENEWAL_S)


def fair_counts(total: int, members: Mapping[str, str]) -> dict[str, int]:
    """Divide slots evenly among the data centres and then among the VMs of each.

    :param members: data centre of each live VM.
    """
    centres: dict[str, list[str]] = {}
    for vm, data_centre in sorted(members.items()):
        centres.setdefault(data_centre, []).append(vm)
    counts = {}
    for data_centre, part in zip(sorted(centres), _split(total, len(centres)), strict=True):
        vms = centres[data_centre]
        counts.update(zip(vms, _split(part, len(vms)), strict=True))
    return counts


def _split(total: int, parts: int) -> list[int]:
    return [total * (n + 1) // parts - total * n // parts for n in range(parts)] if parts else []


def order_slots(slots: list[int], vm: str, members: Mapping[str, str]) -> list[int]:
    """Return the slots in the order in which ``vm`` tries to acquire them, its own range first.

    The ranges of the members do not overlap, so that daemons that start at the same time do not
    compete for the same slots.
    """
    counts = fair_counts(len(slots), members)
    ordered = sorted(counts, key=lambda name: (members[name], name))
    range_start = sum(counts[name] for name in ordered[: ordered.index(vm)])
    return slots[range_start:] + slots[:range_start]
