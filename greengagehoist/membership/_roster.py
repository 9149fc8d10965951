"""Leave marks and the roster of targets that one daemon keeps."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from greengagehoist.membership._lifecycle import TARGET_LIFE, TargetState

# A target is suspect when it is missing from this many lists in a row; a single list may come
# from a source that lags behind the one before.
MISSING_LISTS = 2
RECENT_MARKS_S = 30.0
MOST_MARKS_PER_HEARTBEAT = 64


class Listing(NamedTuple):
    """A target as the VM list shows it."""

    target: str
    incarnation: int
    leaving: bool


class Mark(NamedTuple):
    """A target's incarnation that takes no new work, and neither does any lower one."""

    target: str
    incarnation: int


class TargetStatus(NamedTuple):
    """What a daemon knows of a target's highest known incarnation.

    :param missing: lists in a row in which the target was missing.
    :param since: start of the state on the daemon's monotonic clock, in seconds.
    """

    incarnation: int
    state: TargetState
    missing: int
    since: float


class LeaveMarks:
    """Marks that only grow: for each target the highest marked incarnation.

    Taking the maximum makes the result independent of the order and the repetition of messages.
    """

    def __init__(self):
        self._highest: dict[str, int] = {}
        self._learned: dict[Mark, float] = {}

    def apply(self, mark: Mark, now: float) -> bool:
        """Add a mark and return whether it was new."""
        if self.covers(mark.target, mark.incarnation):
            return False
        self._highest[mark.target] = mark.incarnation
        self._learned[mark] = now
        return True

    def covers(self, target: str, incarnation: int) -> bool:
        """Return whether this incarnation of a target takes no new work."""
        return incarnation <= self._highest.get(target, -1)

    def recent(self, now: float, within: float = RECENT_MARKS_S) -> tuple[Mark, ...]:
        """Return the marks learned within the last seconds, the latest first, bounded in number."""
        for mark in [item for item, at in self._learned.items() if at < now - 20 * RECENT_MARKS_S]:
            del self._learned[mark]
        found = [mark for mark, at in reversed(self._learned.items()) if at >= now - within]
        return tuple(found[:MOST_MARKS_PER_HEARTBEAT])


class TargetRoster:
    """States of all targets that one daemon knows.

    The VM list alone adds targets and incarnations. Refusals, load reports and peers only add
    marks, so that no message from elsewhere makes a target routable again.
    """

    def __init__(self):
        self.marks = LeaveMarks()
        self._standings: dict[str, TargetStatus] = {}

    def apply_list(self, listings: Iterable[Listing], now: float) -> tuple[Mark, ...]:
        """Take in a VM list and return the marks that are new.

        An empty list is ignored, because a platform that has lost its state returns one.
        """
        listed = {item.target: item for item in listings}
        if not listed:
            return ()
        new = []
        for item in listed.values():
            if self._is_unchanged(item):
                continue
            self._observe(item, now)
            mark = Mark(item.target, item.incarnation)
            if item.leaving and self.apply_mark(mark, now):
                new.append(mark)
        for target, standing in self._standings.items():
            if target not in listed:
                missing = standing.missing + 1
                self._standings[target] = standing._replace(missing=missing)
                if missing >= MISSING_LISTS:
                    self._advance(target, "missing", now)
        return tuple(new)

    def apply_mark(self, mark: Mark, now: float) -> bool:
        """Add a mark from any source and return whether it was new."""
        if not self.marks.apply(mark, now):
            return False
        standing = self._standings.get(mark.target)
        if standing is not None and standing.incarnation <= mark.incarnation:
            self._advance(mark.target, "mark", now)
        return True

    def release(self, target: str, now: float) -> None:
        """Tell that nothing runs any more on a target that is leaving or missing."""
        self._advance(target, "released", now)

    def is_routable(self, target: str, incarnation: int) -> bool:
        """Return whether new work may go to this incarnation of a target."""
        standing = self._standings.get(target)
        return (
            standing is not None
            and standing.incarnation == incarnation
            and standing.state is TargetState.LIVE
            and not self.marks.covers(target, incarnation)
        )

    def status(self, target: str) -> TargetStatus | None:
        """Return what is known of a target, or None if it was never listed."""
        return self._standings.get(target)

    def count_states(self, roles: Mapping[str, str]) -> dict[str, dict[str, int]]:
        """Return the number of targets by role and state.

        :param roles: role by target; other targets are not counted.
        """
        counts: dict[str, dict[str, int]] = {}
        for target, role in sorted(roles.items(), key=lambda item: item[1]):
            standing = self._standings.get(target)
            if standing is not None:
                states = counts.setdefault(role, {})
                states[str(standing.state)] = states.get(str(standing.state), 0) + 1
        return counts

    def _is_unchanged(self, item: Listing) -> bool:
        """Return whether a live target is listed as before; most targets of most lists are."""
        standing = self._standings.get(item.target)
        return (
            standing is not None
            and standing.state is TargetState.LIVE
            and standing.incarnation == item.incarnation
            and standing.missing == 0
            and not item.leaving
        )

    def _observe(self, item: Listing, now: float) -> None:
        standing = self._standings.get(item.target)
        if standing is None or item.incarnation > standing.incarnation:
            self._standings[item.target] = TargetStatus(
                item.incarnation, TargetState.JOINING, 0, now
            )
        elif item.incarnation == standing.incarnation:
            if standing.missing:
                self._standings[item.target] = standing._replace(missing=0)
        else:
            return
        marked = self.marks.covers(item.target, item.incarnation)
        self._advance(item.target, "mark" if marked else "listed", now)

    def _advance(self, target: str, trigger: str, now: float) -> None:
        standing = self._standings[target]
        state = TARGET_LIFE.advance(standing.state, trigger)
        if state is not standing.state:
            self._standings[target] = standing._replace(state=state, since=now)
