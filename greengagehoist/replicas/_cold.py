"""Replicas that have started lately and take few requests until they are warm."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from greengagehoist.replicas._send_limits import Incarnation, incarnation_of
from greengagehoist.replicas._send_permits import MIN_RATE_PER_S
from greengagehoist.replicas._types import Replica

# Entries that state a longer time count as this long.
MAX_COLD_S = 300.0
# A replica counts down in its entry. An entry whose end is at most this much later than that of an
# earlier one belongs to the same cold period: entries are written up to about a second before a read.
STATEMENT_TOLERANCE_S = 1.0
# An entry may have been written this long before a change of it is seen.
ENTRY_AGE_S = 2.5
# Changes of the end of a cold period below this are not passed on.
NEWS_S = 0.5
# A permit for a cold replica is good for this time, in which a connection is opened.
PERMIT_TTL_S = 0.3
# Time from a permit to the arrival of its request, at most.
JITTER_S = PERMIT_TTL_S + 0.05
# A cold replica gets at least this share of the choices in which it takes part.
MIN_WARM_SHARE = 0.1
# States that are remembered beyond those of listed replicas.
MAX_UNLISTED = 4096


class ColdRule(NamedTuple):
    """Most requests that a cold replica gets in any second, over all daemons.

    They are ``overshoot`` times the allowance of its service, and ``slack``.
    """

    overshoot: float
    slack: float


class Allowance(NamedTuple):
    """Rate and burst of the permits for a cold replica.

    :param per_s: permits a second.
    :param burst: most permits at once, None for those of a second.
    """

    per_s: float
    burst: float | None


def allowance_of(per_s: float, rule: ColdRule) -> Allowance:
    """Return the permits of a cold replica so that no second has more requests than the rule allows.

    Requests arrive up to ``JITTER_S`` after their permits, so those of a longer time may arrive in
    one second. Half of what is left is the burst; the other half is for another owner of the limit,
    whose last permits are still on their way.

    :param per_s: requests a second by the configuration, above 0.
    """
    allowed = per_s * rule.overshoot + rule.slack
    rate = max(MIN_RATE_PER_S, min(per_s, (allowed - 2.0) / (1.0 + JITTER_S)))
    left = allowed - rate * (1.0 + JITTER_S)
    return Allowance(rate, max(1.0, min(rate, left / 2)))


class ColdState(NamedTuple):
    """The newest statement on whether an incarnation of a replica is cold.

    :param until: time from which it is warm.
    :param stated_at: time of the statement.
    :param by_entry: whether its entry in the list of replicas states it.
    """

    until: float
    stated_at: float
    by_entry: bool = False

    def merge(self, other: "ColdState") -> "ColdState":
        """Return the newer of both, in whichever order they were learnt."""
        return max(self, other, key=lambda item: (item.stated_at, item.until))

    @property
    def has_begun(self) -> bool:
        """Whether the end is known; it is not during an evacuation."""
        return self.until < math.inf

    def warm_share(self, now: float) -> float:
        """Return the part of the cold period that is over, at least ``MIN_WARM_SHARE``."""
        left = (self.until - now) / max(0.001, self.until - self.stated_at)
        return max(MIN_WARM_SHARE, min(1.0, 1.0 - left))


class ColdReplicas:
    """Which incarnations of replicas are cold, by their own statements and by estimates.

    An incarnation that is new in the list or has returned to it, or whose data centre is not evacuated
    any more, counts as cold for the time of its service, unless it states otherwise. Replicas of an
    evacuated data centre count as cold all the while, so that nothing is sent to them before their
    time has begun. What the first list of this process shows is not new.

    :param start_s: returns the seconds for which a replica of a service is cold, 0 for no rule.
    """

    def __init__(self, start_s: Callable[[str], float]):
        self.start_s = start_s
        self._states: dict[Incarnation, ColdState] = {}
        self._listed: Mapping[str, Replica] | None = None
        self._evacuated: frozenset[str] = frozenset()

    def state_of(self, incarnation: Incarnation) -> ColdState | None:
        """Return the newest statement, None if there is none."""
        return self._states.get(incarnation)

    def service_of(self, incarnation: Incarnation) -> str:
        """Return the service of a listed incarnation, empty for others."""
        replica = (self._listed or {}).get(incarnation[0])
        return replica.service if replica and incarnation_of(replica) == incarnation else ""

    def is_cold(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether a listed incarnation is cold."""
        replica = (self._listed or {}).get(incarnation[0])
        if replica is None or incarnation_of(replica) != incarnation:
            return False
        state = self._states.get(incarnation)
        return replica.zone in self._evacuated or (state is not None and state.until > now)

    def cold(self, now: float) -> dict[Incarnation, ColdState]:
        """Return the listed incarnations that are cold."""
        found = {}
        for replica in (self._listed or {}).values():
            key = incarnation_of(replica)
            state = self._states.get(key)
            if replica.zone in self._evacuated:
                found[key] = ColdState(math.inf, 0.0)
            elif state is not None and state.until > now:
                found[key] = state
        return found

    def observe_list(self, listed: Mapping[str, Replica], now: float) -> None:
        """Apply the list of replicas."""
        before, self._listed = self._listed, listed
        for replica in listed.values():
            key = incarnation_of(replica)
            old = before.get(replica.replica_id) if before is not None else None
            is_known = old is not None and old.born_ms == replica.born_ms
            if is_known and (old.cold_s, old.cold_row) == (replica.cold_s, replica.cold_row):
                continue
            if replica.cold_s is not None:
                self._apply_entry(key, replica.cold_s, now)
            elif before is not None and not is_known:
                self._begin(replica, now)
        if len(self._states) > len(listed) + MAX_UNLISTED:
            listed_keys = {incarnation_of(item) for item in listed.values()}
            self._states = {key: item for key, item in self._states.items() if key in listed_keys}

    def _apply_entry(self, key: Incarnation, cold_s: float, now: float) -> None:
        if cold_s > 0:
            until = now + cold_s + STATEMENT_TOLERANCE_S
            self.merge(key, ColdState(until, now, True))
            return
        state = self._states.get(key)
        if state is not None and (state.by_entry or state.stated_at <= now - ENTRY_AGE_S):
            self._states[key] = ColdState(now, now, True)

    def _begin(self, replica: Replica, now: float) -> None:
        start_s = self.start_s(replica.service)
        if start_s > 0:
            self.merge(incarnation_of(replica), ColdState(now + start_s, now))

    def set_evacuated(self, zones: frozenset[str], now: float) -> None:
        """Apply the data centres that are evacuated."""
        ended, self._evacuated = self._evacuated - zones, zones
        for replica in (self._listed or {}).values() if ended else ():
            if replica.zone in ended:
                self._begin(replica, now)

    def observe_answer(self, incarnation: Incarnation, cold_s: float, now: float) -> bool:
        """Record what a replica states in an answer; return whether that is news to others."""
        return self.merge(incarnation, ColdState(now + cold_s, now))

    def merge(self, incarnation: Incarnation, state: ColdState) -> bool:
        """Apply a statement that may be older or newer; return whether the cold period changed."""
        known = self._states.get(incarnation)
        merged = state if known is None else known.merge(state)
        self._states[incarnation] = merged
        since = state.stated_at
        before = max(known.until, since) if known is not None else since
        return abs(max(merged.until, since) - before) > NEWS_S


class _Held(NamedTuple):
    """The first entry of a cold period.

    :param at: time at which it was read.
    :param last_row: version of the newest row.
    """

    cold_s: float
    row: int
    at: float
    last_row: int


class ColdEntries:
    """Keeps what the list says of a cold period as it was read first.

    Replicas count down in their entries. Daemons pass the list on by content, so that each heartbeat of
    a cold replica would otherwise change the list of all daemons.
    """

    def __init__(self):
        self._held: dict[Incarnation, _Held] = {}

    def hold(self, replicas: Iterable[Replica], now: float) -> tuple[Replica, ...]:
        """Return the list with the first statement of each cold period."""
        before, self._held = self._held, {}
        return tuple(self._hold(item, before, now) for item in replicas)

    def _hold(self, replica: Replica, before: dict[Incarnation, _Held], now: float) -> Replica:
        if not replica.cold_s:
            return replica._replace(cold_row=0)
        key = incarnation_of(replica)
        held = before.get(key)
        if held is None or not self._continues(held, replica, now):
            held = _Held(replica.cold_s, replica.cold_row, now, replica.cold_row)
        self._held[key] = held._replace(last_row=replica.cold_row)
        return replica._replace(cold_s=held.cold_s, cold_row=held.row)

    @staticmethod
    def _continues(held: _Held, replica: Replica, now: float) -> bool:
        """Return whether an entry belongs to the cold period that is held."""
        if held.last_row == replica.cold_row:
            return True
        return now + replica.cold_s <= held.at + held.cold_s + STATEMENT_TOLERANCE_S


class WarmUp:
    """Leaves cold replicas out of a part of the choices, which shrinks as they become warm."""

    def __init__(self):
        self._credits: dict[Incarnation, float] = {}

    def admit(
        self, replicas: list[Replica], cold: Mapping[Incarnation, ColdState], now: float
    ) -> list[Replica]:
        """Return the replicas that take part in a choice; all if there are only cold ones."""
        if not cold:
            return replicas
        if len(self._credits) > MAX_UNLISTED:
            self._credits.clear()
        admitted = [item for item in replicas if self._takes_part(item, cold, now)]
        return admitted or replicas

    def _takes_part(
        self, replica: Replica, cold: Mapping[Incarnation, ColdState], now: float
    ) -> bool:
        key = incarnation_of(replica)
        state = cold.get(key)
        if state is None:
            self._credits.pop(key, None)
            return True
        credit = self._credits.get(key, 0.0) + state.warm_share(now)
        self._credits[key] = credit % 1.0
        return credit >= 1.0
