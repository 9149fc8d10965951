"""Limits on requests that replicas have named for all daemons together."""

import math
from typing import NamedTuple

from greengagehoist.replicas._types import (
    Limited,
    Replica,
    SendLimit,
    Unlimited,
    UnreadableLimit,
)

# Incarnations whose limits are remembered.
MAX_REMEMBERED = 20_000

Incarnation = tuple[str, int]


class LimitState(NamedTuple):
    """What answers have said about the limit of one incarnation of a replica.

    :param per_s: requests a second that the newest answer with a limit named.
    :param named_at: time at which that answer was received.
    :param ended_at: send time of the newest request whose answer named no limit.
    """

    per_s: float
    named_at: float
    ended_at: float = -math.inf

    @property
    def in_force(self) -> bool:
        """Whether the limit holds.

        Answers overtake each other, so a limit ends only with the answer to a request that was sent
        after the limit had been received.
        """
        return self.named_at >= self.ended_at

    def merge(self, other: "LimitState") -> "LimitState":
        """Return the state that follows from both, in whichever order they were learnt."""
        newer = max(self, other, key=lambda item: (item.named_at, -item.per_s))
        return newer._replace(ended_at=max(self.ended_at, other.ended_at))


class SendLimits:
    """Limits of replicas, from the answers of this daemon and the reports of others."""

    def __init__(self):
        self._states: dict[Incarnation, LimitState] = {}
        self._unreadable: set[Incarnation] = set()

    def state_of(self, incarnation: Incarnation) -> LimitState | None:
        """Return what is known of a limit, None if no answer has named one."""
        return self._states.get(incarnation)

    def in_force(self) -> dict[Incarnation, float]:
        """Return the limits that hold, in requests a second."""
        return {key: item.per_s for key, item in self._states.items() if item.in_force}

    def states(self) -> dict[Incarnation, LimitState]:
        """Return all that is known, also of limits that have ended."""
        return dict(self._states)

    def observe(
        self, incarnation: Incarnation, limit: SendLimit, sent_at: float, now: float
    ) -> bool:
        """Record what an answer says; return whether that is news to log or to pass on.

        :param sent_at: time at which the request was sent.
        """
        known = self._states.get(incarnation)
        match limit:
            case Limited(per_s):
                return self.merge(incarnation, LimitState(per_s, now))
            case Unlimited():
                if known is None:
                    return False
                return self.merge(incarnation, known._replace(ended_at=sent_at))
            case UnreadableLimit():
                is_first = incarnation not in self._unreadable
                if len(self._unreadable) < MAX_REMEMBERED:
                    self._unreadable.add(incarnation)
                return is_first

    def merge(self, incarnation: Incarnation, state: LimitState) -> bool:
        """Apply a state that may be older or newer; return whether the limit in force changed."""
        known = self._states.get(incarnation)
        merged = state if known is None else known.merge(state)
        self._states[incarnation] = merged
        if len(self._states) > MAX_REMEMBERED:
            del self._states[next(iter(self._states))]
        before = known.per_s if known is not None and known.in_force else None
        return before != (merged.per_s if merged.in_force else None)


def incarnation_of(replica: Replica) -> Incarnation:
    """Return the key of an incarnation of a replica."""
    return replica.replica_id, replica.born_ms
