"""What replicas have said about requests that they want to get."""

from collections.abc import Callable
from typing import Any, NamedTuple

from greengagehoist.replicas._send_limits import Incarnation, incarnation_of
from greengagehoist.replicas._table import ReplicaTable
from greengagehoist.replicas._types import Replica

# A replica that asks for a longer pause is tried again after this time, with one request.
MAX_PAUSE_S = 3600.0
# The first request after a pause goes alone; if it has not ended after this time, a second one follows.
PROBE_TIMEOUT_S = 5.0
# Requests that wait for the answer to the first one look again after this time.
PROBE_POLL_S = 0.05
# Within this time a replica writes its entry twice, and the list is read.
REPORT_TIME_S = 3.0
# Replicas that are remembered; entries of a list may lapse and return, so it does not decide that.
MAX_REMEMBERED = 4096


class _Statement:
    """What an answer of a replica has said, and the incarnation that was listed then.

    :ivar at: time at which the answer was received.
    :ivar later: starts of the incarnations that have begun after it.
    """

    __slots__ = ("at", "later", "listed")

    def __init__(self, listed: Replica, at: float):
        self.listed = listed
        self.at = at
        self.later: set[int] = set()


class _Pause(_Statement):
    """Time in which a replica wants no requests, and the first request after it."""

    __slots__ = ("probe_until", "until")

    def __init__(self, listed: Replica, at: float, until: float):
        super().__init__(listed, at)
        self.until = until
        self.probe_until = 0.0


class _Deferral(NamedTuple):
    """Time before which there is no room within a limit."""

    limit_per_s: float
    until: float


class ReplicaAvailability:
    """Decides from when on replicas may be sent requests, by what they have said themselves.

    A replica that has said that it is leaving gets none, whatever the list of replicas says; only a new
    incarnation does. A replica that has asked for a pause gets none until its end, then one alone, and
    the others when that one has been answered. A replica with a limit on its requests gets none
    before the time at which the owner of the limit expects room.

    An answer does not name its incarnation, and the list may show a restart only after the answer of
    the new incarnation. So a statement also holds for another incarnation at the same address, until
    the list was up to date for long enough to show what that one has written after the answer. Starts
    are not compared with times, as clocks differ and may be set back.

    :param table: returns the newest table of the replicas; without it, all other incarnations are later
        ones.
    """

    def __init__(self, table: Callable[[], ReplicaTable] | None = None):
        self.table = table
        self._leaving: dict[str, _Statement] = {}
        self._pauses: dict[str, _Pause] = {}
        self._deferrals: dict[Incarnation, _Deferral] = {}

    def observe_answer(
        self, replica: Replica, leaving: bool, pause_s: float | None, now: float
    ) -> bool:
        """Record what an answer says; return whether the replica has just said that it is leaving.

        :param pause_s: seconds for which the replica wants no requests, None if it did not say.
        """
        key = replica.replica_id
        if pause_s is not None and pause_s > 0:
            until = now + min(pause_s, MAX_PAUSE_S)
            known = self._pause_of(replica)
            until = max(until, known.until) if known is not None else until
            self._pauses[key] = _Pause(replica, now, until)
            _drop_oldest(self._pauses)
        if not leaving or self.is_leaving(replica):
            return False
        self._leaving[key] = _Statement(replica, now)
        _drop_oldest(self._leaving)
        return True

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether the replica has said that it is leaving."""
        statement = self._leaving.get(replica.replica_id)
        return statement is not None and statement.listed.born_ms == replica.born_ms

    def _applies(self, statement: _Statement, replica: Replica) -> bool:
        """Return whether a statement holds, or may hold, for the incarnation that is listed now."""
        listed = statement.listed
        if listed.born_ms == replica.born_ms:
            return True
        if self.table is None or listed.address != replica.address:
            return False
        if replica.born_ms in statement.later:
            return False
        table = self.table()
        if table.fresh_since is None or table.read_at is None:
            return True
        if table.read_at < max(statement.at, table.fresh_since) + REPORT_TIME_S:
            return True
        statement.later.add(replica.born_ms)
        return False

    def _pause_of(self, replica: Replica) -> _Pause | None:
        pause = self._pauses.get(replica.replica_id)
        return pause if pause is not None and self._applies(pause, replica) else None

    def defer(self, replica: Replica, limit_per_s: float, until: float) -> None:
        """Record that the owner of a limit expects no room before ``until``."""
        self._deferrals[incarnation_of(replica)] = _Deferral(limit_per_s, until)
        _drop_oldest(self._deferrals)

    def sends_from(self, replica: Replica, now: float, limit_per_s: float | None = None) -> float:
        """Return the time from which a request may be sent, ``inf`` for a replica that leaves.

        :param limit_per_s: limit in force; what was expected under another one no longer holds.
        """
        if self.is_leaving(replica):
            return float("inf")
        leaving = self._leaving.get(replica.replica_id)
        if leaving is not None and self._applies(leaving, replica):
            return now + PROBE_POLL_S
        at = self._pause_ends(replica, now)
        deferral = self._deferrals.get(incarnation_of(replica))
        if deferral is not None and deferral.limit_per_s == limit_per_s:
            return max(at, deferral.until)
        return at

    def _pause_ends(self, replica: Replica, now: float) -> float:
        pause = self._pause_of(replica)
        if pause is None:
            return now
        if pause.until > now:
            return pause.until
        return now + PROBE_POLL_S if pause.probe_until > now else now

    def begin_send(self, replica: Replica, now: float) -> None:
        """Record that a request is being sent."""
        pause = self._pause_of(replica)
        if pause is not None:
            pause.probe_until = now + PROBE_TIMEOUT_S

    def end_send(self, replica: Replica, answered: bool, now: float) -> None:
        """Record the end of a request; an answer after the pause ends it for all.

        :param answered: whether the replica has answered, in whatever way.
        """
        pause = self._pause_of(replica)
        if pause is None or pause.until > now:
            return
        if answered:
            del self._pauses[replica.replica_id]
        else:
            pause.probe_until = 0.0


def _drop_oldest(known: dict[Any, Any]) -> None:
    if len(known) > MAX_REMEMBERED:
        del known[next(iter(known))]
