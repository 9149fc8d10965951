"""Roster of the targets of one role, and the choice among them."""

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
    Healthy,
    Probing,
    Record,
    SlowStart,
    Unreachable,
    may_eject,
    typical,
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

MOST_CANDIDATES = 64
MOST_NEAR = 48
REVIEW_PERIOD_S = 0.25
STALE_S = 5.0
LONGEST_IN_FLIGHT_S = 300.0
UNKNOWN_DISTANCE_S = 0.0012
UNKNOWN_CAPACITY = 16
LEAST_WORK_S = 0.001
PREFIX_HOLDERS = 2
# Own sends count this often: the other daemons act on the same lagged report.
SENT_FACTOR = 4.0
# The oldest request in flight makes its target look slow after this multiple of the expected time.
OVERDUE_RATIO = 2.0
SLOW_START_FACTOR = 3.0
# Busy seconds delay the requests behind, so they count even where attainment alone matters.
SHARED_COST = 3.0
COST_FACTOR = 5.0
_AWAY = (Ejected, Probing, Unreachable)


class _State:
    """What the roster knows of one member."""

    __slots__ = ("distance", "done", "in_flight", "member", "name", "record", "report", "sent")

    def __init__(self, member: Member, record: Record, distance: float):
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

    :param daemon: name of the daemon, which selects its subset of targets.
    :param data_centre: data centre of the daemon.
    :param distances: one-way seconds to the other data centres.
    :param attainment_weight: 1.0 weighs time most, 0.0 cost most.
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
        self._states: dict[str, _State] = {}
        self._ranks: dict[str, tuple[float, int, str]] = {}
        self._near: list[tuple[float, int, str]] = []
        self._far: list[tuple[float, int, str]] = []
        self._subset: list[_State] | None = None
        self._reviewed = float("-inf")
        self._typical = (1.0, 0.0)
        self._usual_load = 0.0
        self._turn = 0

    def add(self, member: Member, now: float, *, slow_start: bool = False) -> None:
        """Add a target, or replace the one of the same name.

        :param slow_start: whether the target has just started and gets its share gradually.
        """
        self.remove(member.name)
        digest = blake2b(f"{self.daemon}/{member.name}".encode(), digest_size=8).digest()
        rank = (self._distance(member), int.from_bytes(digest), member.name)
        self._ranks[member.name] = rank
        insort(self._near if member.data_centre == self.data_centre else self._far, rank)
        record = Record(SlowStart(now) if slow_start else Healthy())
        self._states[member.name] = _State(member, record, rank[0])
        self._subset = None

    def remove(self, name: str) -> None:
        """Remove a target; unknown names are ignored."""
        state = self._states.pop(name, None)
        if state is None:
            return
        rank = self._ranks.pop(name)
        ranks = self._near if state.member.data_centre == self.data_centre else self._far
        del ranks[bisect_left(ranks, rank)]
        self.cache.remove(name)
        self._subset = None

    def has(self, name: str) -> bool:
        """Return whether a target is in the roster."""
        return name in self._states

    def candidates(self) -> tuple[str, ...]:
        """Return the names of the subset, for which load should be polled."""
        return tuple(state.member.name for state in self._candidates())

    def health(self, name: str) -> object:
        """Return the health of a target, or None if it is unknown."""
        state = self._states.get(name)
        return None if state is None else state.record.health

    def observe_report(self, name: str, report: LoadReport) -> None:
        """Take a load report; reports older than the last are ignored."""
        state = self._states.get(name)
        if state is None or (state.report is not None and report.at < state.report.at):
            return
        if state.report is not None:
            state.record.observe_reachable()
        state.report = report
        state.sent = sum(1 for at, _ in state.in_flight.values() if at > report.at)
        state.done = 0

    def observe_sent(self, name: str, demand: Demand, now: float) -> None:
        """Take note of a request that was sent."""
        state = self._states.get(name)
        if state is None:
            return
        expected = max(LEAST_WORK_S, demand.work) + self._wait(state, demand.work, now)
        state.in_flight[demand.request_id] = (now, expected)
        state.sent += 1
        if demand.prefix:
            self.cache.observe_sent(name, demand.prefix, now)

    def observe_done(
        self, name: str, request_id: str, latency: float, ok: bool, now: float
    ) -> None:
        """Take note of the end of a request.

        :param latency: seconds from the dispatch to the end.
        :param ok: False if the target failed.
        """
        state = self._states.get(name)
        flight = None if state is None else state.in_flight.pop(request_id, None)
        if flight is None:
            return
        sent_at, expected = flight
        _count_end(state, sent_at)
        slowness = latency / expected
        state.record.observe(ok, slowness)
        if isinstance(state.record.health, Probing):
            state.record.finish_probe(ok, slowness < SLOWNESS_RATIO * self._typical[0], now)
        self._review(now)

    def observe_cancelled(self, name: str, request_id: str, now: float) -> None:
        """Take note of a request that was cancelled; its time so far bounds the latency below."""
        state = self._states.get(name)
        flight = None if state is None else state.in_flight.pop(request_id, None)
        if flight is None:
            return
        sent_at, expected = flight
        _count_end(state, sent_at)
        slowness = (now - sent_at) / expected
        if slowness > state.record.slowness:
            state.record.observe(True, slowness)
        if isinstance(state.record.health, Probing):
            state.record.finish_probe(True, slowness < SLOWNESS_RATIO * self._typical[0], now)
        self._review(now)

    def observe_unreachable(self, name: str, request_id: str, now: float) -> None:
        """Take note of a request that did not reach its target."""
        state = self._states.get(name)
        flight = None if state is None else state.in_flight.pop(request_id, None)
        if flight is not None:
            _count_end(state, flight[0])
            state.record.observe_unreachable(now)

    def observe_cache_events(self, name: str, events: CacheEvents, now: float) -> None:
        """Take a run of cache events."""
        if name in self._states:
            self.cache.observe_events(name, events, now)

    def choose(self, demand: Demand, now: float, rng: random.Random) -> str | None:
        """Return the name of a target, or None if no target may be chosen."""
        states = self._candidates()
        if not states:
            return None
        match self.policy:
            case ExpectedTime(samples):
                self._review(now)
                return self._choose_expected(states, demand, now, rng, samples)
            case RandomChoice():
                return _pick(_allowed(states, demand), rng)
            case RoundRobin():
                self._turn += 1
                allowed = _allowed(states, demand)
                return allowed[self._turn % len(allowed)].member.name if allowed else None
            case LeastReported():
                allowed = _allowed(states, demand)
                found = min(allowed, key=lambda s: (_reported(s), rng.random()), default=None)
                return None if found is None else found.member.name
            case PowerOfTwo():
                allowed = _allowed(states, demand)
                pair = [rng.choice(allowed) for _ in range(2)] if allowed else []
                found = min(pair, key=lambda s: len(s.in_flight), default=None)
                return None if found is None else found.member.name

    def _choose_expected(self, states, demand, now, rng, samples) -> str | None:
        chosen, best, found, count = None, float("inf"), 0, len(states)
        for _ in range(4 * samples):
            state = states[int(rng.random() * count)]
            if state is chosen or not _usable(state, demand, now):
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
                if state is not chosen and _usable(state, demand, now):
                    score = self._score(state, demand, now)
                    if score < best:
                        chosen, best = state, score
        if chosen is None:
            chosen = self._choose_last_resort(states, demand, now)
        return None if chosen is None else chosen.member.name

    def _list_holders(self, demand: Demand, rng: random.Random) -> tuple[str, ...]:
        holders = self.cache.list_holders(demand.prefix)
        if len(holders) <= PREFIX_HOLDERS:
            return holders
        first = int(rng.random() * len(holders))
        return (holders[first], holders[first - 1])

    def _choose_last_resort(self, states, demand: Demand, now: float) -> "_State | None":
        allowed = _allowed(states, demand)
        usable = [state for state in allowed if _usable(state, demand, now)] or allowed
        return min(usable, key=lambda state: self._score(state, demand, now), default=None)

    def _candidates(self) -> list[_State]:
        if self._subset is None:
            near = self._near[:MOST_NEAR]
            far = self._far[: MOST_CANDIDATES - len(near)]
            near = self._near[: MOST_CANDIDATES - len(far)]
            self._subset = [self._states[name] for _, _, name in (*near, *far)]
        return self._subset

    def _distance(self, member: Member) -> float:
        if member.data_centre == self.data_centre:
            return 0.0
        return self.distances.get(member.data_centre, UNKNOWN_DISTANCE_S)

    def _load(self, state: _State, now: float) -> float:
        """Return the expected number of requests at a target."""
        report, own = state.report, len(state.in_flight)
        if report is None:
            return own if own > self._usual_load else self._usual_load
        load = report.queue + report.running
        stale = (now - report.at) / STALE_S
        if stale > 0.0:
            load += (self._usual_load - load) * (stale if stale < 1.0 else 1.0)
        load += SENT_FACTOR * state.sent - state.done
        return load if load > own else own

    def _wait(self, state: _State, work: float, now: float) -> float:
        """Return the expected seconds in the target's queue."""
        report, load = state.report, self._load(state, now)
        capacity = UNKNOWN_CAPACITY if report is None else report.capacity
        if load < capacity:
            return 0.1 * work * load / capacity
        return work * ((load + 1.0 - capacity) / capacity + 0.1)

    def _score(self, state: _State, demand: Demand, now: float) -> float:
        """Return the weighted sum of expected completion time and cost, in seconds."""
        work, record = demand.work, state.record
        wait = self._wait(state, work, now)
        if demand.prefix:
            work -= demand.block_cost * self.cache.expected_blocks(state.name, demand.prefix, now)
            if work < LEAST_WORK_S:
                work = LEAST_WORK_S
        time = work + wait
        if record.slowness > self._typical[0]:
            time *= record.slowness / self._typical[0]
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
            time *= SLOW_START_FACTOR - (SLOW_START_FACTOR - 1.0) * ramp
        factor = SHARED_COST + COST_FACTOR * (1.0 - self.attainment_weight)
        return time + factor * state.member.price * work

    def _review(self, now: float) -> None:
        """Recompute what is typical of the siblings, and eject outliers."""
        if now - self._reviewed < REVIEW_PERIOD_S:
            return
        self._reviewed = now
        states = self._candidates()
        serving = [s for s in states if not isinstance(s.record.health, _AWAY)]
        self._typical = typical([s.record for s in serving if s.record.samples])
        reports = [s.report for s in states if s.report and now - s.report.at < STALE_S]
        self._usual_load = median(r.queue + r.running for r in reports) if reports else 0.0
        ejected = sum(isinstance(s.record.health, Ejected | Probing) for s in states)
        for state in states:
            _forget_lost(state, now)
            record = state.record
            match record.health:
                case Unreachable(until) if now >= until:
                    record.health = Probing()
                case Ejected(until) if now >= until:
                    record.health = Probing()
                case SlowStart(since) if now - since >= SLOW_START_S:
                    record.health = Healthy()
                case Healthy() | SlowStart():
                    if record.is_outlier(*self._typical) and may_eject(ejected, len(states)):
                        record.eject(now)
                        ejected += 1


def _count_end(state: _State, sent_at: float) -> None:
    if state.report is None or sent_at <= state.report.at:
        state.done += 1
    else:
        state.sent -= 1


def _forget_lost(state: _State, now: float) -> None:
    """Drop requests in flight whose end was never told, so that they do not count for ever."""
    while state.in_flight:
        request_id, (sent_at, _) = next(iter(state.in_flight.items()))
        if now - sent_at < LONGEST_IN_FLIGHT_S:
            return
        del state.in_flight[request_id]


def _usable(state: _State, demand: Demand, now: float) -> bool:
    if demand.exclude and state.name in demand.exclude:
        return False
    health = state.record.health
    if type(health) is Healthy:
        return True
    return not (
        isinstance(health, Ejected | Unreachable)
        or (isinstance(health, Probing) and state.in_flight)
    )


def _allowed(states: list[_State], demand: Demand) -> list[_State]:
    if not demand.exclude:
        return states
    return [state for state in states if state.name not in demand.exclude]


def _reported(state: _State) -> int:
    return 0 if state.report is None else state.report.queue + state.report.running


def _pick(states: list[_State], rng: random.Random) -> str | None:
    return rng.choice(states).member.name if states else None
