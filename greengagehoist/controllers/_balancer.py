"""Rosters of all roles as seen by this daemon, and the polling order of load reports."""

import random
from collections import deque
from typing import NamedTuple

from greengagehoist.deadlines import StageEstimates, StageTimes
from greengagehoist.routing import Demand, LoadReport, Member, Roster
from greengagehoist.targets import LoadWire, Target

# Seconds assumed for a run of a role of which none has ended yet.
INITIAL_WORK_S = 0.05
# Share of a generation that a wholly cached prefix saves.
PREFIX_SHARE = 0.5


class Pick(NamedTuple):
    """A choice that was made.

    :param ticket: identifies the call when it ends.
    """

    name: str
    ticket: str


class Balancer:
    """Chooses among the targets of each role; owned by the target controller.

    :param daemon: name that selects this daemon's subset of targets.
    """

    def __init__(self, daemon: str, data_centre: str, rng: random.Random):
        self.daemon = daemon
        self.data_centre = data_centre
        self.rng = rng
        self._rosters: dict[str, Roster] = {}
        self._times: dict[str, StageEstimates] = {}
        self._to_poll: deque[str] = deque()
        self._sequence = 0
        self._weight: float | None = None

    def has(self, target: Target) -> bool:
        """Return whether a target is in service."""
        return target.role in self._rosters and self._rosters[target.role].has(target.name)

    def add(self, target: Target, now: float, *, slow_start: bool) -> None:
        """Take a target into service."""
        roster = self._rosters.get(target.role)
        if roster is None:
            roster = Roster(self.daemon, self.data_centre, {})
            if self._weight is not None:
                roster.attainment_weight = self._weight
            self._rosters[target.role] = roster
            initial = StageTimes(INITIAL_WORK_S, INITIAL_WORK_S, INITIAL_WORK_S)
            self._times[target.role] = StageEstimates(initial)
        roster.add(Member(target.name, target.data_centre), now, slow_start=slow_start)

    def remove(self, role: str, name: str) -> None:
        """Take a target out of service."""
        if role in self._rosters:
            self._rosters[role].remove(name)

    def set_weight(self, attainment_weight: float) -> None:
        """Apply the operator's weight of attainment against cost."""
        self._weight = attainment_weight
        for roster in self._rosters.values():
            roster.attainment_weight = attainment_weight

    def choose(
        self, role: str, prefix: tuple[int, ...], exclude: tuple[str, ...], now: float
    ) -> Pick | None:
        """Choose a target and count the call as sent, or return None if there is no target."""
        roster = self._rosters.get(role)
        if roster is None:
            return None
        work = self._times[role].snapshot(role).p50
        block_cost = PREFIX_SHARE * work / len(prefix) if prefix else 0.0
        self._sequence += 1
        demand = Demand(f"{self._sequence}", work, prefix, block_cost, exclude)
        name = roster.choose(demand, now, self.rng)
        if name is None:
            return None
        roster.observe_sent(name, demand, now)
        return Pick(name, demand.request_id)

    def complete(self, target: Target, ticket: str, latency: float, ok: bool, now: float) -> None:
        """Take note of the end of a call."""
        roster = self._rosters.get(target.role)
        if roster is None:
            return
        roster.observe_done(target.name, ticket, latency, ok, now)
        if ok and ticket:
            self._times[target.role].observe(target.role, latency)

    def cancel(self, target: Target, ticket: str, now: float) -> None:
        """Take note of a call that was cancelled."""
        roster = self._rosters.get(target.role)
        if roster is not None:
            roster.observe_cancelled(target.name, ticket, now)

    def note_unreachable(self, target: Target, ticket: str, now: float) -> None:
        """Take note of a call that did not reach its target."""
        roster = self._rosters.get(target.role)
        if roster is not None:
            roster.observe_unreachable(target.name, ticket, now)

    def apply_report(self, target: Target, load: LoadWire, now: float) -> None:
        """Take a load report that has just been read."""
        roster = self._rosters.get(target.role)
        if roster is not None:
            capacity = max(1, load.get("capacity", 1))
            report = LoadReport(load.get("queue", 0), load.get("running", 0), capacity, now)
            roster.observe_report(target.name, report)

    def next_to_poll(self, count: int) -> list[str]:
        """Return the names of up to ``count`` targets whose load is to be read now, in turn."""
        if not self._to_poll:
            for roster in self._rosters.values():
                self._to_poll.extend(roster.candidates())
        return [self._to_poll.popleft() for _ in range(min(count, len(self._to_poll)))]
