"""Selection of targets by role and model, and the order in which their load is polled."""

import random
from collections import deque
from typing import NamedTuple

from greengagehoist.deadlines import StageEstimates, StageTimes
from greengagehoist.routing import Demand, LoadReport, Member, Roster
from greengagehoist.targets import LoadWire, Target

# Duration assumed for the calls of a role or model until one of them has succeeded.
INITIAL_WORK_S = 0.05
# Fraction of the work of a generation that is saved if its whole prefix is cached.
CACHED_PREFIX_SAVING = 0.5


class Pick(NamedTuple):
    """The chosen target.

    :param ticket: identifier of the call, to be passed back when it ends.
    """

    name: str
    ticket: str


class Balancer:
    """Chooses among the targets of each role; owned by the target controller.

    An engine is in the roster of its role, which determines polling, and in one roster for each
    model named in its last load report, from which the targets of generations are chosen.

    :param daemon: name that selects this daemon's subset of targets.
    """

    def __init__(self, daemon: str, data_centre: str, rng: random.Random):
        self.daemon = daemon
        self.data_centre = data_centre
        self.rng = rng
        self._rosters: dict[str, Roster] = {}
        self._estimates: dict[str, StageEstimates] = {}
        self._roles: set[str] = set()
        self._roster_keys: dict[str, str] = {}
        self._poll_queue: deque[str] = deque()
        self._sequence = 0
        self._attainment_weight: float | None = None

    def has(self, target: Target) -> bool:
        """Return whether a target is in the roster of its role."""
        return target.role in self._rosters and self._rosters[target.role].has(target.name)

    def add(self, target: Target, now: float, *, slow_start: bool) -> None:
        """Add a target to the roster of its role."""
        self._roles.add(target.role)
        self._add_to_roster(target.role, target, now, slow_start)

    def _add_to_roster(self, key: str, target: Target, now: float, slow_start: bool) -> None:
        roster = self._rosters.get(key)
        if roster is None:
            roster = Roster(self.daemon, self.data_centre, {})
            if self._attainment_weight is not None:
                roster.attainment_weight = self._attainment_weight
            self._rosters[key] = roster
            initial = StageTimes(INITIAL_WORK_S, INITIAL_WORK_S, INITIAL_WORK_S)
            self._estimates[key] = StageEstimates(initial)
        roster.add(Member(target.name, target.data_centre), now, slow_start=slow_start)

    def remove(self, role: str, name: str) -> None:
        """Remove a target from the rosters of its role and models."""
        for key, roster in self._rosters.items():
            if _role_of(key) == role and roster.has(name):
                roster.remove(name)

    def set_weight(self, attainment_weight: float) -> None:
        """Set the weight of deadline attainment relative to cost, as configured by the operator."""
        self._attainment_weight = attainment_weight
        for roster in self._rosters.values():
            roster.attainment_weight = attainment_weight

    def choose(
        self,
        role: str,
        prefix: tuple[int, ...],
        exclude: tuple[str, ...],
        now: float,
        model: str = "",
    ) -> Pick | None:
        """Choose a target and record the call as sent; return None if there is no target.

        :param model: model that the target must have loaded, empty if none.
        """
        key = _key(role, model)
        roster = self._rosters.get(key)
        if roster is None:
            return None
        work = self._estimates[key].snapshot(key).p50
        block_cost = CACHED_PREFIX_SAVING * work / len(prefix) if prefix else 0.0
        self._sequence += 1
        demand = Demand(f"{self._sequence}", work, prefix, block_cost, exclude)
        name = roster.choose(demand, now, self.rng)
        if name is None:
            return None
        roster.observe_sent(name, demand, now)
        self._roster_keys[demand.request_id] = key
        return Pick(name, demand.request_id)

    def complete(self, target: Target, ticket: str, latency: float, ok: bool, now: float) -> None:
        """Record the end of a call."""
        key = self._roster_keys.pop(ticket, target.role)
        if key not in self._rosters:
            return
        self._rosters[key].observe_done(target.name, ticket, latency, ok, now)
        if ok and ticket:
            self._estimates[key].observe(key, latency)

    def cancel(self, target: Target, ticket: str, now: float) -> None:
        """Record that a call was cancelled."""
        roster = self._rosters.get(self._roster_keys.pop(ticket, target.role))
        if roster is not None:
            roster.observe_cancelled(target.name, ticket, now)

    def record_unreachable(self, target: Target, ticket: str, now: float) -> None:
        """Record that a target could not be reached for a call."""
        roster = self._rosters.get(self._roster_keys.pop(ticket, target.role))
        if roster is not None:
            roster.observe_unreachable(target.name, ticket, now)

    def apply_report(self, target: Target, load: LoadWire, now: float) -> None:
        """Apply a load report that was read at ``now``."""
        if not self.has(target):
            return
        if "models" in load:
            self._apply_models(target, {_key(target.role, name) for name in load["models"]}, now)
        capacity = max(1, load.get("capacity", 1))
        report = LoadReport(load.get("queue", 0), load.get("running", 0), capacity, now)
        for key, roster in self._rosters.items():
            if _role_of(key) == target.role and roster.has(target.name):
                roster.observe_report(target.name, report)

    def _apply_models(self, target: Target, keys: set[str], now: float) -> None:
        for key in keys:
            if key not in self._rosters or not self._rosters[key].has(target.name):
                self._add_to_roster(key, target, now, slow_start=False)
        for key, roster in self._rosters.items():
            known = key == target.role or key in keys or _role_of(key) != target.role
            if not known and roster.has(target.name):
                roster.remove(target.name)

    def next_to_poll(self, count: int) -> list[str]:
        """Return up to ``count`` names of targets to poll next, in round-robin order."""
        if not self._poll_queue:
            for role in sorted(self._roles):
                self._poll_queue.extend(self._rosters[role].candidates())
        return [self._poll_queue.popleft() for _ in range(min(count, len(self._poll_queue)))]


def _key(role: str, model: str) -> str:
    """Return the key of a roster; role and model names contain no slash."""
    return f"{role}/{model}" if model else role


def _role_of(key: str) -> str:
    return key.partition("/")[0]
