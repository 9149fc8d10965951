"""Division of limits into slots and of slots among daemons."""

import functools
import hashlib
from collections.abc import Mapping
from typing import NamedTuple

SLOTS = 64
CLOCK_MARGIN_S = 0.25
LEASE_MARGIN_S = 2.0
SHORT_TTL_S = 60.0
SHORT_RENEWAL_S = 15.0
LONG_TTL_S = 4 * 3600.0
LONG_RENEWAL_S = 600.0
# Remainder units go to slots that are STRIDE apart, so that neighbouring slots of one holder do
# not receive all units of a small limit. STRIDE * STRIDE_INVERSE is 1 modulo SLOTS.
STRIDE = 27
STRIDE_INVERSE = 19
STANDING_PATTERN = (0, 3, 6)


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
    """Return the share of ``limit`` that a slot carries.

    The shares of all slots sum to the limit, and no share falls when the limit rises.
    """
    base, rest = divmod(limit, SLOTS)
    position = (slot - _offset(customer)) * STRIDE_INVERSE % SLOTS
    return base + (1 if position < rest else 0)


def is_standing(slot: int) -> bool:
    """Return whether a slot has a long ttl (24 of 64 have)."""
    return slot % 8 in STANDING_PATTERN


def slot_times(slot: int) -> tuple[float, float]:
    """Return the ttl and the renewal period of a slot, in seconds."""
    return (LONG_TTL_S, LONG_RENEWAL_S) if is_standing(slot) else (SHORT_TTL_S, SHORT_RENEWAL_S)


def fair_counts(total: int, members: Mapping[str, str]) -> dict[str, int]:
    """Divide slots evenly over data centres and then over the VMs of each.

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
    """Order the slots of one kind by preference of ``vm``: its own section first.

    The sections of the members don't overlap, so that daemons that start together don't compete.
    """
    counts = fair_counts(len(slots), members)
    ordered = sorted(counts, key=lambda name: (members[name], name))
    first = sum(counts[name] for name in ordered[: ordered.index(vm)])
    return slots[first:] + slots[:first]
