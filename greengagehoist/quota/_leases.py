"""A daemon's view of the slot leases, and the lease writes that it plans."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from greengagehoist.quota._slots import (
    LEASE_MARGIN_S,
    SLOTS,
    Instant,
    fair_counts,
    has_long_lease,
    lease_times,
    order_slots,
)

MAX_WRITES = 16
_SLOT_GROUPS = tuple(
    [slot for slot in range(SLOTS) if has_long_lease(slot) is is_long] for is_long in (False, True)
)


class SlotRow(NamedTuple):
    """Content of the table row of a slot; the ttl starts at the table's time of the write.

    :param vm: holder, empty if the slot was released.
    :param fence: fencing number; increases with each change of holder.
    :param ttl: seconds, 0 if the slot was released.
    :param opens_from: the holder may open only windows that start at or after this table time.
    :param units_from: the holder may use concurrency units from this table time on.
    """

    vm: str
    data_centre: str
    incarnation: int
    fence: int
    ttl: float
    opens_from: float
    units_from: float


class SlotWrite(NamedTuple):
    """A conditional write of a slot's row.

    :param expect: version that the row must have; 0 if the row must not exist.
    """

    slot: int
    row: SlotRow
    expect: int


class ObservedRow(NamedTuple):
    """A row as last read or written, with its version and the table's time of the write."""

    slot: int
    version: int
    row: SlotRow
    written_at: float


class _HeldSlot(NamedTuple):
    """A slot that this daemon holds.

    :param start: this daemon's clocks at or before the last confirmed write.
    :param opened: start of the latest window that was opened; -1 if none was.
    :param releasing: set once a release was attempted, and never cleared: the write may still take
        effect later.
    """

    observed: ObservedRow
    start: Instant
    opened: int = -1
    releasing: bool = False


class LeaseBook:
    """Keeps the leases of one daemon.

    Whether a window may be opened depends only on its start and on times of the table's clock. A
    holder relies on confirmed writes only; every other daemon assumes that the last row it read, or
    a later one, is in force. At most one holder therefore opens a window for a slot, even if a
    holder was paused for any length of time.

    :param incarnation: incarnation of this daemon; it does not use leases of an earlier one.
    """

    def __init__(self, vm: str, data_centre: str, incarnation: int):
        self.vm = vm
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.generation = 0
        self.loaded = False
        self._rows: dict[int, ObservedRow] = {}
        self._held: dict[int, _HeldSlot] = {}
        self._pending: set[int] = set()
        # Slots whose last write has an unknown result, with the monotonic time of its failure.
        self._uncertain: dict[int, float] = {}
        self._table_now = 0.0
        self._table_sent = 0.0
        self._table_received = 0.0

    @property
    def held(self) -> frozenset[int]:
        """Slots that are held and not being released."""
        return frozenset(slot for slot, item in self._held.items() if not item.releasing)

    @property
    def holds_any(self) -> bool:
        """Whether any slot is held, including slots that are being released."""
        return bool(self._held)

    def observe_rows(
        self, rows: Iterable[ObservedRow], table_now: float, sent: Instant, received: Instant
    ) -> None:
        """Process rows that were read between ``sent`` and ``received``.

        :param table_now: the table's time of the read.
        """
        if table_now >= self._table_now:
            self._table_now = table_now
            self._table_sent, self._table_received = sent.mono, received.mono
        for observed in rows:
            self._observe(observed, table_now, sent)
        self._uncertain = {s: at for s, at in self._uncertain.items() if at >= sent.mono}
        self.loaded = True

    def _observe(self, observed: ObservedRow, table_now: float, sent: Instant) -> None:
        known = self._rows.get(observed.slot)
        if known is not None and observed.version <= known.version:
            return
        self._rows[observed.slot] = observed
        self.generation += 1
        held = self._held.get(observed.slot)
        if (observed.row.vm, observed.row.incarnation) != (self.vm, self.incarnation):
            self._held.pop(observed.slot, None)
            return
        age = max(0.0, table_now - observed.written_at)
        start = Instant(sent.wall - age, sent.mono - age)
        if held is None or held.observed.row.fence != observed.row.fence:
            self._held[observed.slot] = _HeldSlot(observed, start)
        else:
            self._held[observed.slot] = held._replace(observed=observed, start=start)

    def observe_written(
        self, write: SlotWrite, version: int, table_now: float, sent: Instant, received: Instant
    ) -> None:
        """Process the confirmation of a write that was sent at ``sent``."""
        self._pending.discard(write.slot)
        observed = ObservedRow(write.slot, version, write.row, table_now)
        self._observe(observed, table_now, sent)
        if table_now >= self._table_now:
            self._table_now = table_now
            self._table_sent, self._table_received = sent.mono, received.mono

    def observe_failed(self, write: SlotWrite, now: Instant) -> None:
        """Process a write that was refused or whose reply was lost.

        The slot is not written again until a later read shows whether the write took effect.
        """
        self._pending.discard(write.slot)
        self._uncertain[write.slot] = now.mono

    def open_slots(self, start: int) -> tuple[int, ...]:
        """Return the slots for which a window may be opened, and mark it as opened for them."""
        slots = []
        for slot, item in self._held.items():
            row, written_at = item.observed.row, item.observed.written_at
            if item.releasing or start < row.opens_from:
                continue
            if start > written_at + row.ttl - LEASE_MARGIN_S:
                continue
            slots.append(slot)
            if start > item.opened:
                self._held[slot] = item._replace(opened=start)
        return tuple(slots)

    def unit_slots(self, now: Instant, lasting: float) -> tuple[int, ...]:
        """Return the slots whose lease covers the next ``lasting`` seconds."""
        earliest = self._table_now + now.mono - self._table_received
        slots = []
        for slot, item in self._held.items():
            elapsed = max(now.mono - item.start.mono, now.wall - item.start.wall)
            covered = elapsed + lasting + LEASE_MARGIN_S <= item.observed.row.ttl
            if covered and not item.releasing and earliest >= item.observed.row.units_from:
                slots.append(slot)
        return tuple(slots)

    def members(self, now: Instant, peers: Mapping[str, str]) -> dict[str, str]:
        """Return the data centres of this VM, its linked peers and the holders of short leases."""
        members = {**peers, self.vm: self.data_centre}
        for observed in self._rows.values():
            if (
                observed.row.vm
                and not has_long_lease(observed.slot)
                and not self._expired(observed, now)
            ):
                members.setdefault(observed.row.vm, observed.row.data_centre)
        return members

    def plan_writes(
        self, now: Instant, members: Mapping[str, str], *, draining: bool, longest_use: float
    ) -> list[SlotWrite]:
        """Return the renewals, releases and acquisitions that are due, and mark them as pending.

        :param longest_use: seconds until the last unit in use is released or expires.
        """
        if not self.loaded:
            return []
        writes: list[SlotWrite] = []
        for slots in _SLOT_GROUPS:
            fair = 0 if draining else fair_counts(len(slots), members)[self.vm]
            writes.extend(self._releases(slots, fair, now, longest_use))
            writes.extend(self._renewals(slots, now))
            if not draining:
                writes.extend(self._acquisitions(slots, fair, now, members))
        chosen = writes[:MAX_WRITES]
        self._pending.update(write.slot for write in chosen)
        return chosen

    def _can_write(self, slot: int) -> bool:
        return slot not in self._pending and slot not in self._uncertain

    def _releases(
        self, slots: list[int], fair: int, now: Instant, longest_use: float
    ) -> list[SlotWrite]:
        held = [slot for slot in slots if slot in self._held and not self._held[slot].releasing]
        for slot in [slot for slot in held if self._can_write(slot)][: max(0, len(held) - fair)]:
            self._held[slot] = self._held[slot]._replace(releasing=True)
            self.generation += 1
        latest = self._table_now + now.mono - self._table_sent
        writes = []
        for slot in slots:
            item = self._held.get(slot)
            if item is None or not item.releasing or not self._can_write(slot):
                continue
            row = item.observed.row
            opens_from = max(row.opens_from, item.opened + 1)
            units_from = max(row.units_from, latest + longest_use + LEASE_MARGIN_S)
            free = SlotRow("", "", 0, row.fence, 0.0, opens_from, units_from)
            writes.append(SlotWrite(slot, free, item.observed.version))
        return writes

    def _renewals(self, slots: list[int], now: Instant) -> list[SlotWrite]:
        writes = []
        for slot in slots:
            item = self._held.get(slot)
            if item is None or item.releasing or not self._can_write(slot):
                continue
            if now.mono - item.start.mono >= lease_times(slot)[1]:
                writes.append(SlotWrite(slot, item.observed.row, item.observed.version))
        return writes

    def _acquisitions(
        self, slots: list[int], fair: int, now: Instant, members: Mapping[str, str]
    ) -> list[SlotWrite]:
        held_count = sum(slot in self._held or slot in self._pending for slot in slots)
        writes: list[SlotWrite] = []
        for slot in order_slots(slots, self.vm, members):
            if held_count + len(writes) >= fair:
                break
            if slot not in self._held and self._can_write(slot):
                write = self._acquisition(slot, now)
                if write is not None:
                    writes.append(write)
        return writes

    def _acquisition(self, slot: int, now: Instant) -> SlotWrite | None:
        ttl = lease_times(slot)[0]
        observed = self._rows.get(slot)
        if observed is None:
            row = SlotRow(self.vm, self.data_centre, self.incarnation, 1, ttl, 0.0, 0.0)
            return SlotWrite(slot, row, 0)
        opens_from, units_from = observed.row.opens_from, observed.row.units_from
        if observed.row.vm:
            if not self._expired(observed, now):
                return None
            end = observed.written_at + observed.row.ttl + LEASE_MARGIN_S
            opens_from, units_from = max(opens_from, end), max(units_from, end)
        row = SlotRow(
            self.vm,
            self.data_centre,
            self.incarnation,
            observed.row.fence + 1,
            ttl,
            opens_from,
            units_from,
        )
        return SlotWrite(slot, row, observed.version)

    def _expired(self, observed: ObservedRow, now: Instant) -> bool:
        earliest = self._table_now + now.mono - self._table_received
        return earliest >= observed.written_at + observed.row.ttl + LEASE_MARGIN_S
