"""Roster of the targets of one role, which balances requests among them."""

import random
from bisect import bisect_left, insort
from collections.abc import Mapping
from hashlib import blake2b
from statistics import median

from greengagehoist.routing._cache import CacheEvents, CacheIndex
from greengagehoist.routing._health import (
    SLOW_START_S,
    SLOWNESS_RATIO,
    Ejected,
    HealthRecord,
    Healthy,
    Probing,
    SlowStart,
    Unreachable,
    compute_medians,
    may_eject,
)
from greengagehoist.routing._policy import (
    ExpectedTime,
    LeastReported,
    Policy,
    PowerOfTwo,
    RandomChoice,
    RoundRobin,
)
from greengagehoist.routing._types import Demand, LoadReport, Member

MAX_CANDIDATES = 64
MAX_LOCAL_CANDIDATES = 48
HEALTH_UPDATE_PERIOD_S = 0.25
REPORT_STALE_S = 5.0
IN_FLIGHT_TTL_S = 300.0
DEFAULT_DISTANCE_S = 0.0012
DEFAULT_CAPACITY = 16
MIN_WORK_S = 0.001
MAX_PREFIX_HOLDERS = 2
# Requests sent since the last report count as this many, since other daemons act on the same
# delayed report.
SENT_LOAD_FACTOR = 4.0
# A target counts as slow once its oldest request exceeds this multiple of the expected latency.
OVERDUE_RATIO = 2.0
SLOW_START_PENALTY = 3.0
# Busy seconds delay later requests, so they have a cost even if only deadline attainment matters.
BASE_COST_WEIGHT = 3.0
COST_WEIGHT = 5.0
_OUT_OF_SERVICE = (Ejected, Probing, Unreachable)


class _TargetState:
    """State of one target.

    :ivar in_flight: time of sending and expected latency of each request, oldest first.
    :ivar sent: requests in flight that were sent after the last load report.
    :ivar done: requests sent before the last load report that have ended since.
    """

    __slots__ = ("distance", "done", "in_flight", "member", "name", "record", "report", "sent")

    def __init__(self, member: Member, record: HealthRecord, distance: float):
        self.member = member
        self.name = member.name
        self.record = record
        self.distance = distance
        self.report: LoadReport | None = None
        self.in_flight: dict[str, tuple[float, float]] = {}
        self.sent = 0
        self.done = 0


class Roster:
    """Targets of one role as seen by one daemon.

    :param daemon: name of the daemon, which determines its subset of targets.
    :param data_centre: data centre of the daemon.
    :param distances: one-way network latency to the other data centres, in seconds.
    :param attainment_weight: 1.0 gives most weight to completion time, 0.0 to cost.
    """

    def __init__(
        self,
        daemon: str,
        data_centre: str,
        distances: Mapping[str, float],
        policy: Policy | None = None,
        attainment_weight: float = 0.5,
    ):
        self.daemon = daemon
        self.data_centre = data_centre
        self.distances = distances
        self.policy = policy or ExpectedTime()
        self.attainment_weight = attainment_weight
        self.cache = CacheIndex()
        self._states: dict[str, _TargetState] = {}
        self._ranks: dict[str, tuple[float, int, str]] = {}
        self._local: list[tuple[float, int, str]] = []
        self._remote: list[tuple[float, int, str]] = []
        self._subset: list[_TargetState] | None = None
        self._health_updated_at = float("-inf")
        self._medians = (1.0, 0.0)
        self._median_load = 0.0
        self._round_robin_index = 0

    def add(self, member: Member, now: float, *, slow_start: bool = False) -> None:
        """Add a target, or replace the one of the same name.

        :param slow_start: whether the target has just started and receives its share gradually.
        """
        self.remove(member.name)
        digest = blake2b(f"{self.daemon}/{member.name}".encode(), digest_size=8).digest()
        rank = (self._distance(member), int.from_bytes(digest), member.name)
        self._ranks[member.name] = rank
        insort(self._local if member.data_centre == self.data_centre else self._remote, rank)
        record = HealthRecord(SlowStart(now) if slow_start else Healthy())
        self._states[member.name] = _TargetState(member, record, rank[0])
        self._subset = None

    def remove(self, name: str) -> None:
        """Remove a target; unknown names are ignored."""
        state = self._states.pop(name, None)
        if state is None:
            return
        rank = self._ranks.pop(name)
        ranks = self._local if state.member.data_centre == self.data_centre else self._remote
        del ranks[bisect_left(ranks, rank)]
        self.cache.remove(name)
        self._subset = None

    def has(self, name: str) -> bool:
        """Return whether a target is in the roster."""
        return name in self._states

    def candidates(self) -> tuple[str, ...]:
        """Return the names of the targets in the subset, whose load should be polled."""
        return tuple(state.member.name for state in self._candidates())

    def health(self, name: str) -> object:
        """Return the health of a target, or None if it is unknown."""
        state = self._states.get(name)
        return None if state is None else state.record.health

    def observe_report(self, name: str, report: LoadReport) -> None:
        """Apply a load report; reports older than the last one are ignored."""
        state = self._states.get(name)
        if state is None or (state.report is not None and report.at < state.report.at):
            return
        if state.report is not None:
            state.record.observe_reachable()
        state.report = report
        state.sent = sum(1 for at, _ in state.in_flight.values() if at > report.at)
        state.done = 0

    def observe_sent(self, name: str, demand: Demand, now: float) -> None:
        """Record a request that was sent."""
        state = self._states.get(name)
        if state is None:
            return
        expected = max(MIN_WORK_S, demand.work) + self._expected_wait(state, demand.work, now)
        state.in_flight[demand.request_id] = (now, expected)
        state.sent += 1
        if demand.prefix:
            self.cache.observe_sent(name, demand.prefix, now)

    def observe_done(
        self, name: str, request_id: str, latency: float, ok: bool, now: float
    ) -> None:
        """Record the end of a request.

        :param latency: seconds from the dispatch to the end.
        :param ok: False if the target failed.
        """
        state = self._states.get(name)
        pending = None if state is None else state.in_flight.pop(request_id, None)
        if pending is None:
            return
        sent_at, expected = pending
        _count_done(state, sent_at)
        slowness = latency / expected
        state.record.observe(ok, slowness)
        if isinstance(state.record.health, Probing):
            state.record.finish_probe(ok, slowness < SLOWNESS_RATIO * self._medians[0], now)
        self._update_health(now)

    def observe_cancelled(self, name: str, request_id: str, now: float) -> None:
        """Record a cancelled request; its elapsed time is a lower bound of its latency."""
        state = self._states.get(name)
        pending = None if state is None else state.in_flight.pop(request_id, None)
        if pending is None:
            return
        sent_at, expected = pending
        _count_done(state, sent_at)
        slowness = (now - sent_at) / expected
        if slowness > state.record.slowness:
            state.record.observe(True, slowness)
        if isinstance(state.record.health, Probing):
            state.record.finish_probe(True, slowness < SLOWNESS_RATIO * self._medians[0], now)
        self._update_health(now)

    def observe_unreachable(self, name: str, request_id: str, now: float) -> None:
        """Record a request that did not reach its target."""
        state = self._states.get(name)
        pending = None if state is None else state.in_flight.pop(request_id, None)
        if pending is not None:
            _count_done(state, pending[0])
            state.record.observe_unreachable(now)

    def observe_cache_events(self, name: str, events: CacheEvents, now: float) -> None:
        """Apply cache events of a target."""
        if name in self._states:
            self.cache.observe_events(name, events, now)

    def choose(self, demand: Demand, now: float, rng: random.Random) -> str | None:
        """Return the name of the chosen target, or None if there is none."""
        states = self._candidates()
        if not states:
            return None
        match self.policy:
            case ExpectedTime(samples):
                self._update_health(now)
                return self._choose_expected(states, demand, now, rng, samples)
            case RandomChoice():
                return _choose_random(_without_excluded(states, demand), rng)
            case RoundRobin():
                self._round_robin_index += 1
                allowed = _without_excluded(states, demand)
                return (
                    allowed[self._round_robin_index % len(allowed)].member.name if allowed else None
                )
            case LeastReported():
                allowed = _without_excluded(states, demand)
                found = min(allowed, key=lambda s: (_reported_load(s), rng.random()), default=None)
                return None if found is None else found.member.name
            case PowerOfTwo():
                allowed = _without_excluded(states, demand)
                pair = [rng.choice(allowed) for _ in range(2)] if allowed else []
                found = min(pair, key=lambda s: len(s.in_flight), default=None)
                return None if found is None else found.member.name

    def _choose_expected(self, states, demand, now, rng, samples) -> str | None:
        chosen, best, found, count = None, float("inf"), 0, len(states)
        for _ in range(4 * samples):
            state = states[int(rng.random() * count)]
            if state is chosen or not _is_available(state, demand, now):
                continue
            found += 1
            score = self._score(state, demand, now)
            if score < best:
                chosen, best = state, score
            if found == samples:
                break
        if demand.prefix:
            for name in self._list_holders(demand, rng):
                state = self._states[name]
                if state is not chosen and _is_available(state, demand, now):
                    score = self._score(state, demand, now)
                    if score < best:
                        chosen, best = state, score
        if chosen is None:
            chosen = self._choose_any(states, demand, now)
        return None if chosen is None else chosen.member.name

    def _list_holders(self, demand: Demand, rng: random.Random) -> tuple[str, ...]:
        holders = self.cache.list_holders(demand.prefix)
        if len(holders) <= MAX_PREFIX_HOLDERS:
            return holders
        first = int(rng.random() * len(holders))
        return (holders[first], holders[first - 1])

    def _choose_any(self, states, demand: Demand, now: float) -> "_TargetState | None":
        allowed = _without_excluded(states, demand)
        available = [state for state in allowed if _is_available(state, demand, now)] or allowed
        return min(available, key=lambda state: self._score(state, demand, now), default=None)

    def _candidates(self) -> list[_TargetState]:
        if self._subset is None:
            local = self._local[:MAX_LOCAL_CANDIDATES]
            remote = self._remote[: MAX_CANDIDATES - len(local)]
            local = self._local[: MAX_CANDIDATES - len(remote)]
            self._subset = [self._states[name] for _, _, name in (*local, *remote)]
        return self._subset

    def _distance(self, member: Member) -> float:
        if member.data_centre == self.data_centre:
            return 0.0
        return self.distances.get(member.data_centre, DEFAULT_DISTANCE_S)

    def _load(self, state: _TargetState, now: float) -> float:
        """Return the expected number of requests at a target."""
        report, own = state.report, len(state.in_flight)
        if report is None:
            return own if own > self._median_load else self._median_load
        load = report.queue + report.running
        stale = (now - report.at) / REPORT_STALE_S
        if stale > 0.0:
            load += (self._median_load - load) * (stale if stale < 1.0 else 1.0)
        load += SENT_LOAD_FACTOR * state.sent - state.done
        return load if load > own else own

    def _expected_wait(self, state: _TargetState, work: float, now: float) -> float:
        """Return the expected queueing time at a target, in seconds."""
        report, load = state.report, self._load(state, now)
        capacity = DEFAULT_CAPACITY if report is None else report.capacity
        if load < capacity:
            return 0.1 * work * load / capacity
        return work * ((load + 1.0 - capacity) / capacity + 0.1)

    def _score(self, state: _TargetState, demand: Demand, now: float) -> float:
        """Return the weighted sum of expected completion time and cost, in seconds."""
        work, record = demand.work, state.record
        wait = self._expected_wait(state, work, now)
        if demand.prefix:
            work -= demand.block_cost * self.cache.expected_blocks(state.name, demand.prefix, now)
            if work < MIN_WORK_S:
                work = MIN_WORK_S
        time = work + wait
        if record.slowness > self._medians[0]:
            time *= record.slowness / self._medians[0]
        if state.in_flight:
            sent_at, expected = next(iter(state.in_flight.values()))
            overdue = (now - sent_at) / (OVERDUE_RATIO * expected)
            if overdue > 1.0:
                time *= overdue
        time += 2.0 * state.distance
        if record.error_rate > 0.01:
            time /= max(0.05, 1.0 - record.error_rate)
        health = record.health
        if isinstance(health, SlowStart):
            ramp = min(1.0, (now - health.since) / SLOW_START_S)
            time *= SLOW_START_PENALTY - (SLOW_START_PENALTY - 1.0) * ramp
        factor = BASE_COST_WEIGHT + COST_WEIGHT * (1.0 - self.attainment_weight)
        return time + factor * state.member.price * work

    def _update_health(self, now: float) -> None:
        """Recompute the medians, advance health states and eject outliers."""
        if now - self._health_updated_at < HEALTH_UPDATE_PERIOD_S:
            return
        self._health_updated_at = now
        states = self._candidates()
        serving = [s for s in states if not isinstance(s.record.health, _OUT_OF_SERVICE)]
        self._medians = compute_medians([s.record for s in serving if s.record.samples])
        reports = [s.report for s in states if s.report and now - s.report.at < REPORT_STALE_S]
        self._median_load = median(r.queue + r.running for r in reports) if reports else 0.0
        ejected = sum(isinstance(s.record.health, Ejected | Probing) for s in states)
        for state in states:
            _expire_in_flight(state, now)
            record = state.record
            match record.health:
                case Unreachable(until) if now >= until:
                    record.health = Probing()
                case Ejected(until) if now >= until:
                    record.health = Probing()
                case SlowStart(since) if now - since >= SLOW_START_S:
                    record.health = Healthy()
                case Healthy() | SlowStart():
                    if record.is_outlier(*self._medians) and may_eject(ejected, len(states)):
                        record.eject(now)
                        ejected += 1


def _count_done(state: _TargetState, sent_at: float) -> None:
    if state.report is None or sent_at <= state.report.at:
        state.done += 1
    else:
        state.sent -= 1


def _expire_in_flight(state: _TargetState, now: float) -> None:
    """Drop requests whose end was never reported, so that they do not count as load for ever."""
    while state.in_flight:
        request_id, (sent_at, _) = next(iter(state.in_flight.items()))
        if now - sent_at < IN_FLIGHT_TTL_S:
            return
        del state.in_flight[request_id]


def _is_available(state: _TargetState, demand: Demand, now: float) -> bool:
    if demand.exclude and state.name in demand.exclude:
        return False
    health = state.record.health
    if type(health) is Healthy:
        return True
    return not (
        isinstance(health, Ejected | Unreachable)
        or (isinstance(health, Probing) and state.in_flight)
    )


def _without_excluded(states: list[_TargetState], demand: Demand) -> list[_TargetState]:
    if not demand.exclude:
        return states
    return [state for state in states if state.name not in demand.exclude]


def _reported_load(state: _TargetState) -> int:
    return 0 if state.report is None else state.report.queue + state.report.running


def _choose_random(states: list[_TargetState], rng: random.Random) -> str | None:
    return rng.choice(states).member.name if states else None
