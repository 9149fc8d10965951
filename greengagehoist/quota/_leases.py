"""Leases of slots as one daemon knows them, and the writes that it wants to make."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from greengagehoist.quota._slots import (
    LEASE_MARGIN_S,
    SLOTS,
    Instant,
    fair_counts,
    is_standing,
    order_slots,
    slot_times,
)

MOST_WRITES = 16
_KINDS = tuple(
    [slot for slot in range(SLOTS) if is_standing(slot) is kind] for kind in (False, True)
)


class SlotRow(NamedTuple):
    """Content of the table row of a slot; the table's own time of the write starts the ttl.

    :param vm: holder, empty if the slot was released.
    :param fence: number of the holder, rises with each change of holder.
    :param ttl: seconds, 0 if the slot was released.
    :param opens_from: the holder may open windows that start at or after this instant.
    :param units_from: the holder may use concurrency units from this instant on.
    """

    vm: str
    data_centre: str
    incarnation: int
    fence: int
    ttl: float
    opens_from: float
    units_from: float


class SlotWrite(NamedTuple):
    """A conditional write that the daemon wants to make.

    :param expect: version that the row must have, 0 if it must not exist.
    """

    slot: int
    row: SlotRow
    expect: int


class Seen(NamedTuple):
    """A row as last seen, with its version and the table's time of the write."""

    slot: int
    version: int
    row: SlotRow
    written_at: float


class _Held(NamedTuple):
    """A slot that this daemon holds.

    :param start: own clocks at or before the last confirmed write.
    :param opened: start of the latest window that was opened, -1 if none.
    :param releasing: set for good when a release was attempted, because it may take effect late.
    """

    seen: Seen
    start: Instant
    opened: int = -1
    releasing: bool = False


class LeaseBook:
    """Keeps the leases of one daemon.

    Windows are opened by comparison of their start with instants on the table's clock. A holder
    counts only confirmed writes; every other daemon assumes that the last row it saw, or any later
    one, is in force. So at most one holder opens a window for a slot, however long it was paused.

    :param incarnation: of this daemon; leases of an earlier incarnation are not its own.
    """

    def __init__(self, vm: str, data_centre: str, incarnation: int):
        self.vm = vm
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.generation = 0
        self.loaded = False
        self._seen: dict[int, Seen] = {}
        self._held: dict[int, _Held] = {}
        self._pending: set[int] = set()
        self._doubtful: dict[int, float] = {}
        self._table_now = 0.0
        self._table_sent = 0.0
        self._table_received = 0.0

    @property
    def held(self) -> frozenset[int]:
        """Return the slots that are held and not being released."""
        return frozenset(slot for slot, item in self._held.items() if not item.releasing)

    @property
    def holds_any(self) -> bool:
        """Return whether any slot is held, those being released included."""
        return bool(self._held)

    def observe_rows(
        self, rows: Iterable[Seen], table_now: float, sent: Instant, received: Instant
    ) -> None:
        """Take in rows that were read between ``sent`` and ``received``.

        :param table_now: the table's time of the reading.
        """
        if table_now >= self._table_now:
            self._table_now = table_now
            self._table_sent, self._table_received = sent.mono, received.mono
        for seen in rows:
            self._observe(seen, table_now, sent)
        self._doubtful = {s: at for s, at in self._doubtful.items() if at >= sent.mono}
        self.loaded = True

    def _observe(self, seen: Seen, table_now: float, sent: Instant) -> None:
        known = self._seen.get(seen.slot)
        if known is not None and seen.version <= known.version:
            return
        self._seen[seen.slot] = seen
        self.generation += 1
        held = self._held.get(seen.slot)
        if (seen.row.vm, seen.row.incarnation) != (self.vm, self.incarnation):
            self._held.pop(seen.slot, None)
            return
        age = max(0.0, table_now - seen.written_at)
        start = Instant(sent.wall - age, sent.mono - age)
        if held is None or held.seen.row.fence != seen.row.fence:
            self._held[seen.slot] = _Held(seen, start)
        else:
            self._held[seen.slot] = held._replace(seen=seen, start=start)

    def observe_written(
        self, write: SlotWrite, version: int, table_now: float, sent: Instant, received: Instant
    ) -> None:
        """Take in the confirmation of a write that was sent at ``sent``."""
        self._pending.discard(write.slot)
        seen = Seen(write.slot, version, write.row, table_now)
        self._observe(seen, table_now, sent)
        if table_now >= self._table_now:
            self._table_now = table_now
            self._table_sent, self._table_received = sent.mono, received.mono

    def observe_failed(self, write: SlotWrite, now: Instant) -> None:
        """Take in that a write was refused or its answer was lost; the next reading decides."""
        self._pending.discard(write.slot)
        self._doubtful[write.slot] = now.mono

    def open_slots(self, start: int) -> tuple[int, ...]:
        """Return the slots for which a window may be opened and note that it was opened."""
        found = []
        for slot, item in self._held.items():
            row, written_at = item.seen.row, item.seen.written_at
            if item.releasing or start < row.opens_from:
                continue
            if start > written_at + row.ttl - LEASE_MARGIN_S:
                continue
            found.append(slot)
            if start > item.opened:
                self._held[slot] = item._replace(opened=start)
        return tuple(found)

    def unit_slots(self, now: Instant, lasting: float) -> tuple[int, ...]:
        """Return the slots whose lease covers the next ``lasting`` seconds."""
        earliest = self._table_now + now.mono - self._table_received
        found = []
        for slot, item in self._held.items():
            elapsed = max(now.mono - item.start.mono, now.wall - item.start.wall)
            covered = elapsed + lasting + LEASE_MARGIN_S <= item.seen.row.ttl
            if covered and not item.releasing and earliest >= item.seen.row.units_from:
                found.append(slot)
        return tuple(found)

    def members(self, now: Instant, peers: Mapping[str, str]) -> dict[str, str]:
        """Return the data centre of this VM, its linked peers and all holders of short leases."""
        found = {**peers, self.vm: self.data_centre}
        for seen in self._seen.values():
            if seen.row.vm and not is_standing(seen.slot) and not self._expired(seen, now):
                found.setdefault(seen.row.vm, seen.row.data_centre)
        return found

    def plan_writes(
        self, now: Instant, members: Mapping[str, str], *, draining: bool, longest: float
    ) -> list[SlotWrite]:
        """Return the renewals, releases and acquisitions that are due; each is then pending.

        :param longest: seconds until the last unit in use is free again.
        """
        if not self.loaded:
            return []
        found: list[SlotWrite] = []
        for slots in _KINDS:
            fair = 0 if draining else fair_counts(len(slots), members)[self.vm]
            found.extend(self._releases(slots, fair, now, longest))
            found.extend(self._renewals(slots, now))
            if not draining:
                found.extend(self._acquisitions(slots, fair, now, members))
        chosen = found[:MOST_WRITES]
        self._pending.update(write.slot for write in chosen)
        return chosen

    def _ready(self, slot: int) -> bool:
        return slot not in self._pending and slot not in self._doubtful

    def _releases(
        self, slots: list[int], fair: int, now: Instant, longest: float
    ) -> list[SlotWrite]:
        kept = [slot for slot in slots if slot in self._held and not self._held[slot].releasing]
        for slot in [slot for slot in kept if self._ready(slot)][: max(0, len(kept) - fair)]:
            self._held[slot] = self._held[slot]._replace(releasing=True)
            self.generation += 1
        latest = self._table_now + now.mono - self._table_sent
        found = []
        for slot in slots:
            item = self._held.get(slot)
            if item is None or not item.releasing or not self._ready(slot):
                continue
            row = item.seen.row
            opens_from = max(row.opens_from, item.opened + 1)
            units_from = max(row.units_from, latest + longest + LEASE_MARGIN_S)
            free = SlotRow("", "", 0, row.fence, 0.0, opens_from, units_from)
            found.append(SlotWrite(slot, free, item.seen.version))
        return found

    def _renewals(self, slots: list[int], now: Instant) -> list[SlotWrite]:
        found = []
        for slot in slots:
            item = self._held.get(slot)
            if item is None or item.releasing or not self._ready(slot):
                continue
            if now.mono - item.start.mono >= slot_times(slot)[1]:
                found.append(SlotWrite(slot, item.seen.row, item.seen.version))
        return found

    def _acquisitions(
        self, slots: list[int], fair: int, now: Instant, members: Mapping[str, str]
    ) -> list[SlotWrite]:
        kept = sum(slot in self._held or slot in self._pending for slot in slots)
        found: list[SlotWrite] = []
        for slot in order_slots(slots, self.vm, members):
            if kept + len(found) >= fair:
                break
            if slot not in self._held and self._ready(slot):
                write = self._acquisition(slot, now)
                if write is not None:
                    found.append(write)
        return found

    def _acquisition(self, slot: int, now: Instant) -> SlotWrite | None:
        ttl = slot_times(slot)[0]
        seen = self._seen.get(slot)
        if seen is None:
            row = SlotRow(self.vm, self.data_centre, self.incarnation, 1, ttl, 0.0, 0.0)
            return SlotWrite(slot, row, 0)
        opens_from, units_from = seen.row.opens_from, seen.row.units_from
        if seen.row.vm:
            if not self._expired(seen, now):
                return None
            end = seen.written_at + seen.row.ttl + LEASE_MARGIN_S
            opens_from, units_from = max(opens_from, end), max(units_from, end)
        row = SlotRow(
            self.vm,
            self.data_centre,
            self.incarnation,
            seen.row.fence + 1,
            ttl,
            opens_from,
            units_from,
        )
        return SlotWrite(slot, row, seen.version)

    def _expired(self, seen: Seen, now: Instant) -> bool:
        earliest = self._table_now + now.mono - self._table_received
        return earliest >= seen.written_at + seen.row.ttl + LEASE_MARGIN_S
