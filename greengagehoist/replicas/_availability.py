"""What replicas have said about requests that they want to get."""

from typing import Any, NamedTuple

from greengagehoist.replicas._send_limits import Incarnation, incarnation_of
from greengagehoist.replicas._types import Replica

# A replica that asks for a longer pause is tried again after this time, with one request.
MAX_PAUSE_S = 3600.0
# The first request after a pause goes alone; if it has not ended after this time, a second one follows.
PROBE_TIMEOUT_S = 5.0
# Requests that wait for the answer to the first one look again after this time.
PROBE_POLL_S = 0.05
# Incarnations that are remembered; entries of a list may lapse and return, so it does not decide that.
MAX_REMEMBERED = 4096


class _Pause:
    """Time in which a replica wants no requests, and the first request after it."""

    __slots__ = ("probe_until", "until")

    def __init__(self, until: float):
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
    """

    def __init__(self):
        self._leaving: dict[Incarnation, None] = {}
        self._pauses: dict[Incarnation, _Pause] = {}
        self._deferrals: dict[Incarnation, _Deferral] = {}

    def observe_answer(
        self, replica: Replica, leaving: bool, pause_s: float | None, now: float
    ) -> bool:
        """Record what an answer says; return whether the replica has just said that it is leaving.

        :param pause_s: seconds for which the replica wants no requests, None if it did not say.
        """
        key = incarnation_of(replica)
        if pause_s is not None and pause_s > 0:
            until = now + min(pause_s, MAX_PAUSE_S)
            known = self._pauses.get(key)
            self._pauses[key] = _Pause(max(until, known.until) if known is not None else until)
            _drop_oldest(self._pauses)
        if not leaving or key in self._leaving:
            return False
        self._leaving[key] = None
        _drop_oldest(self._leaving)
        return True

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether the replica has said that it is leaving."""
        return incarnation_of(replica) in self._leaving

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
        at = self._pause_ends(replica, now)
        deferral = self._deferrals.get(incarnation_of(replica))
        if deferral is not None and deferral.limit_per_s == limit_per_s:
            return max(at, deferral.until)
        return at

    def _pause_ends(self, replica: Replica, now: float) -> float:
        pause = self._pauses.get(incarnation_of(replica))
        if pause is None:
            return now
        if pause.until > now:
            return pause.until
        return now + PROBE_POLL_S if pause.probe_until > now else now

    def begin_send(self, replica: Replica, now: float) -> None:
        """Record that a request is being sent."""
        pause = self._pauses.get(incarnation_of(replica))
        if pause is not None:
            pause.probe_until = now + PROBE_TIMEOUT_S

    def end_send(self, replica: Replica, answered: bool, now: float) -> None:
        """Record the end of a request; an answer after the pause ends it for all.

        :param answered: whether the replica has answered, in whatever way.
        """
        pause = self._pauses.get(incarnation_of(replica))
        if pause is None or pause.until > now:
            return
        if answered:
            del self._pauses[incarnation_of(replica)]
        else:
            pause.probe_until = 0.0


def _drop_oldest(known: dict[Incarnation, Any]) -> None:
    if len(known) > MAX_REMEMBERED:
        del known[next(iter(known))]
