"""Roster of targets and their leave marks at one daemon."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from greengagehoist.membership._lifecycle import TARGET_LIFECYCLE, TargetState

# A single list may come from a source that lags behind that of the previous list.
SUSPECT_AFTER_MISSED_LISTS = 2
RECENT_MARKS_S = 30.0
MAX_MARKS_PER_HEARTBEAT = 64


class Listing(NamedTuple):
    """An entry of the VM list for one target."""

    target: str
    incarnation: int
    leaving: bool


class Mark(NamedTuple):
    """Leave mark: this incarnation of a target and all lower ones take no new work."""

    target: str
    incarnation: int


class TargetStatus(NamedTuple):
    """State of the highest known incarnation of a target.

    :param missing: number of consecutive lists without the target.
    :param since: time at which the state began, in seconds of the daemon's monotonic clock.
    """

    incarnation: int
    state: TargetState
    missing: int
    since: float


class LeaveMarks:
    """Highest marked incarnation of each target; it never decreases.

    Taking the maximum makes the result independent of the order and repetition of messages.
    """

    def __init__(self):
        self._highest: dict[str, int] = {}
        self._received_at: dict[Mark, float] = {}

    def apply(self, mark: Mark, now: float) -> bool:
        """Add a mark and return whether it was new."""
        if self.covers(mark.target, mark.incarnation):
            return False
        self._highest[mark.target] = mark.incarnation
        self._received_at[mark] = now
        return True

    def covers(self, target: str, incarnation: int) -> bool:
        """Return whether this incarnation of a target takes no new work."""
        return incarnation <= self._highest.get(target, -1)

    def recent(self, now: float, within: float = RECENT_MARKS_S) -> tuple[Mark, ...]:
        """Return the marks received within the last ``within`` seconds, newest first.

        At most ``MAX_MARKS_PER_HEARTBEAT`` marks are returned.
        """
        for mark in [
            item for item, at in self._received_at.items() if at < now - 20 * RECENT_MARKS_S
        ]:
            del self._received_at[mark]
        found = [mark for mark, at in reversed(self._received_at.items()) if at >= now - within]
        return tuple(found[:MAX_MARKS_PER_HEARTBEAT])


class TargetRoster:
    """States of all targets that one daemon knows.

    Only the VM list adds targets and incarnations. Rejected requests, load reports and peers add
    marks only, so they can't make a target routable again.
    """

    def __init__(self):
        self.marks = LeaveMarks()
        self._statuses: dict[str, TargetStatus] = {}

    def apply_list(self, listings: Iterable[Listing], now: float) -> tuple[Mark, ...]:
        """Update the roster from a VM list and return the new marks.

        An empty list is ignored, because a platform that has lost its state returns an empty list.
        """
        listed = {item.target: item for item in listings}
        if not listed:
            return ()
        new = []
        for item in listed.values():
            if self._is_unchanged(item):
                continue
            self._update_status(item, now)
            mark = Mark(item.target, item.incarnation)
            if item.leaving and self.apply_mark(mark, now):
                new.append(mark)
        for target, status in self._statuses.items():
            if target not in listed:
                missing = status.missing + 1
                self._statuses[target] = status._replace(missing=missing)
                if missing >= SUSPECT_AFTER_MISSED_LISTS:
                    self._advance(target, "missing", now)
        return tuple(new)

    def apply_mark(self, mark: Mark, now: float) -> bool:
        """Add a mark from any source and return whether it was new."""
        if not self.marks.apply(mark, now):
            return False
        status = self._statuses.get(mark.target)
        if status is not None and status.incarnation <= mark.incarnation:
            self._advance(mark.target, "mark", now)
        return True

    def release(self, target: str, now: float) -> None:
        """Set a leaving or suspect target to gone after its last request has ended."""
        self._advance(target, "released", now)

    def is_routable(self, target: str, incarnation: int) -> bool:
        """Return whether new work may be routed to this incarnation of a target."""
        status = self._statuses.get(target)
        return (
            status is not None
            and status.incarnation == incarnation
            and status.state is TargetState.LIVE
            and not self.marks.covers(target, incarnation)
        )

    def status(self, target: str) -> TargetStatus | None:
        """Return the status of a target, or None if it was never listed."""
        return self._statuses.get(target)

    def count_states(self, roles: Mapping[str, str]) -> dict[str, dict[str, int]]:
        """Return the number of targets by role and state.

        :param roles: role by target; targets without a role are not counted.
        """
        counts: dict[str, dict[str, int]] = {}
        for target, role in sorted(roles.items(), key=lambda item: item[1]):
            status = self._statuses.get(target)
            if status is not None:
                states = counts.setdefault(role, {})
                states[str(status.state)] = states.get(str(status.state), 0) + 1
        return counts

    def _is_unchanged(self, item: Listing) -> bool:
        """Return whether a live target is listed as before, which is the common case."""
        status = self._statuses.get(item.target)
        return (
            status is not None
            and status.state is TargetState.LIVE
            and status.incarnation == item.incarnation
            and status.missing == 0
            and not item.leaving
        )

    def _update_status(self, item: Listing, now: float) -> None:
        status = self._statuses.get(item.target)
        if status is None or item.incarnation > status.incarnation:
            self._statuses[item.target] = TargetStatus(
                item.incarnation, TargetState.JOINING, 0, now
            )
        elif item.incarnation == status.incarnation:
            if status.missing:
                self._statuses[item.target] = status._replace(missing=0)
        else:
            return
        marked = self.marks.covers(item.target, item.incarnation)
        self._advance(item.target, "mark" if marked else "listed", now)

    def _advance(self, target: str, trigger: str, now: float) -> None:
        status = self._statuses[target]
        state = TARGET_LIFECYCLE.advance(status.state, trigger)
        if state is not status.state:
            self._statuses[target] = status._replace(state=state, since=now)
