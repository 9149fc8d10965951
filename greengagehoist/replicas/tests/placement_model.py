"""Model of engines that read prompts one after the other, and of policies that place requests."""

import heapq
import itertools
import random
from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from greengagehoist.replicas import (
    NO_REQUESTS,
    Load,
    Need,
    Observed,
    PromptAffinity,
    PromptWork,
    Replica,
    ReplicaCounts,
    ReplicaKnowledge,
    add_counts,
    choose,
    choose_by_time,
    counts_of,
    rendezvous_rank,
)

TOKENS_PER_S = 50_000
STEP_S = 0.003
SLOTS = 64
KV_TOKENS = 570_000
# Others' sends are known after the next update of a hub.
UPDATE_S = 0.25
SLOW_FRACTION, SLOW_FACTOR, SLOW_S = 0.15, 2.5, 0.6


class Kind(NamedTuple):
    """A kind of request.

    :param budget_s: time from the send to the first event for which an answer is in time.
    :param parts: number of different shared parts.
    """

    name: str
    work: PromptWork
    budget_s: float
    parts: int


LONG = Kind("long", PromptWork(17_020, 13_300, 200), 0.8, 180)
MIDDLE = Kind("middle", PromptWork(9_190, 6_300, 200), 2.0, 120)
SHORT = Kind("short", PromptWork(1_460, 350, 150), 0.8, 60)
HUGE = Kind("huge", PromptWork(100_000, 0, 200), 6.0, 60)


@dataclass(frozen=True, slots=True)
class ByUtilization:
    """The former choice: slots in use, by the reports of a second."""


@dataclass(frozen=True, slots=True)
class ByTime:
    """The choice by expected time.

    :param urgent_first: whether the priority header orders requests by the time they have left.
    """

    urgent_first: bool = False


@dataclass(frozen=True, slots=True)
class Partition:
    """Prompts above a length go to a part of the replicas that moves with the load."""


@dataclass(frozen=True, slots=True)
class HoldBack:
    """A long prompt waits at its daemon for an idle replica, at most for half of its budget."""


Policy = ByUtilization | ByTime | Partition | HoldBack


class Request(NamedTuple):
    """A request of a daemon."""

    at: float
    kind: Kind
    part: str
    daemon: int
    answer_tokens: int


class _Waiting(NamedTuple):
    priority: int
    order: int
    request: Request
    sent_at: float
    counts: ReplicaCounts


class Engine:
    """A replica that reads prompts in order of priority and keeps shared parts in its memory."""

    def __init__(self, replica, slowdown, rng, seconds):
        self.replica = replica
        self.slowdown = slowdown
        self.parts = OrderedDict()
        self.queue = []
        self.reading = None
        self.running = 0
        self.held = 0
        gap_s = SLOW_S * (1 - SLOW_FRACTION) / SLOW_FRACTION
        self.spells, at = [], 0.0
        while at < seconds:
            at += rng.expovariate(1 / gap_s)
            self.spells.append(at)
            at += SLOW_S

    def factor(self, at):
        slow = any(start <= at < start + SLOW_S for start in self.spells)
        return self.slowdown * (SLOW_FACTOR if slow else 1.0)

    def read_s(self, request, at):
        """Return the time to read a prompt, and keep its part."""
        work = request.kind.work
        known = self.parts.pop(request.part, 0)
        self.parts[request.part] = work.shared_tokens
        while sum(self.parts.values()) + self.held > KV_TOKENS and len(self.parts) > 1:
            self.parts.popitem(last=False)
        tokens = work.tokens - min(known, work.shared_tokens)
        return self.factor(at) * (tokens / TOKENS_PER_S + STEP_S)


class Model:
    """Engines, daemons that send requests, and the times to the first events.

    :param slowdowns: slowdown of each replica.
    :param mix: requests a second by kind.
    :param reachable: number of replicas that are left, None for all.
    :param wrong_length: whether answers are up to five times as long as stated, or shorter.
    """

    def __init__(
        self,
        policy,
        mix,
        seed,
        slowdowns=(1.0,) * 8,
        seconds=25.0,
        daemons=24,
        wrong_length=False,
        reachable=None,
    ):
        self.policy, self.rng = policy, random.Random(seed)
        self.seconds, self.order = seconds, itertools.count()
        self.engines = {
            f"i-{n}": Engine(
                Replica(f"i-{n}", "s", "h", n + 1, "a", SLOTS, 1, False),
                item,
                self.rng,
                2 * seconds,
            )
            for n, item in enumerate(slowdowns)
        }
        self.replicas = [item.replica for item in self.engines.values()][:reachable]
        self.events, self.times = [], defaultdict(list)
        self.own = defaultdict(lambda: defaultdict(lambda: NO_REQUESTS))
        self.total = defaultdict(lambda: NO_REQUESTS)
        self.update, self.own_at_update, self.copies = {}, {}, {}
        self.reports = {}
        self._warm(mix)
        for kind, per_s in mix.items():
            self._arrivals(kind, per_s, daemons, wrong_length)
        at = 0.0
        while at < 2 * seconds:
            self._at(at, self._send_updates)
            at += UPDATE_S

    def _warm(self, mix):
        for kind in mix:
            for number in range(kind.parts):
                part = f"{kind.name}-{number}"
                home = max(self.engines, key=lambda key: rendezvous_rank(part, key))
                self.engines[home].parts[part] = kind.work.shared_tokens

    def _arrivals(self, kind, per_s, daemons, wrong_length):
        at = 0.0
        while per_s and (at := at + self.rng.expovariate(per_s)) < self.seconds:
            # Some parts are asked for often.
            part = f"{kind.name}-{int(kind.parts * self.rng.random() ** 2)}"
            stated = kind.work.answer_tokens
            tokens = int(stated * self.rng.choice((0.2, 1, 5))) if wrong_length else stated
            request = Request(at, kind, part, self.rng.randrange(daemons), tokens)
            self._at(at, lambda request=request: self._place(request))

    def _at(self, at, action):
        heapq.heappush(self.events, (at, next(self.order), action))

    def run(self):
        """Play all requests; return the model."""
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            if self.now > 2 * self.seconds:
                break
            action()
        return self

    def in_time(self, kind):
        """Return the share of a kind's requests that were in time."""
        times = self.times[kind.name]
        return sum(item <= kind.budget_s for item in times) / max(1, len(times))

    def worst_s(self, kind):
        """Return the longest time to a first event."""
        return max(self.times[kind.name], default=0.0)

    # What a daemon knows.

    def _send_updates(self):
        self.update = dict(self.total)
        holders = defaultdict(set)
        for key, engine in self.engines.items():
            for part in engine.parts:
                holders[part].add(key)
        self.copies = {part: frozenset(keys) for part, keys in holders.items() if len(keys) > 1}
        self.own_at_update = {vm: dict(counts) for vm, counts in self.own.items()}

    def _known(self, daemon):
        own, then = self.own[daemon], self.own_at_update.get(daemon, {})

        def known_of(key):
            old = self.update.get(key, NO_REQUESTS)
            now, before = own.get(key, NO_REQUESTS), then.get(key, NO_REQUESTS)
            counts = ReplicaCounts(
                *(max(0, a + b - c) for a, b, c in zip(old, now, before, strict=True))
            )
            # The mean of the slow spells is learnt like the rest.
            mean = 1 + SLOW_FRACTION * (SLOW_FACTOR - 1)
            return ReplicaKnowledge(counts, self.engines[key].slowdown * mean)

        return known_of

    def _observed(self, daemon):
        def observed(key):
            load, at = self.reports.get((daemon, key), (None, 0.0))
            own = self.own[daemon].get(key, NO_REQUESTS)
            return Observed(own.waiting + own.running, 0, load, at)

        return observed

    # Placement.

    def _place(self, request):
        work, kind = request.kind.work, request.kind
        need = Need(
            work,
            PromptAffinity(request.part),
            KV_TOKENS,
            self.copies.get(request.part, frozenset()),
        )
        known_of, priority = self._known(request.daemon), 5
        match self.policy:
            case ByUtilization():
                replica = choose(
                    self.replicas, self._observed(request.daemon), need.affinity, "a", self.now
                )
            case ByTime(urgent_first):
                replica = self._by_time(self.replicas, need, known_of)
                if urgent_first:
                    left_s = request.at + kind.budget_s - self.now
                    priority = max(0, min(9, int(left_s * 10)))
            case Partition():
                replica = self._by_time(self._side_of(kind), need, known_of)
            case HoldBack():
                replica = self._by_time(self.replicas, need, known_of)
                busy = any(known_of(item.replica_id).counts.waiting for item in (replica,))
                waited_s = self.now - request.at
                if kind.work.tokens > 5_000 and busy and waited_s < 0.5 * kind.budget_s:
                    self._at(self.now + 0.05, lambda: self._place(request))
                    return
        self._send(request, replica, priority)

    def _by_time(self, replicas, need, known_of):
        return choose_by_time(replicas, known_of, need, "a", self.now, self.rng).replica

    def _side_of(self, kind):
        """Return the replicas for a kind, in proportion to the recent prompt tokens."""
        long_tokens = sum(item.waiting_tokens for item in self.update.values())
        count = len(self.replicas)
        longs = min(count - 1, max(1, round(count * long_tokens / (long_tokens + 20_000))))
        if count == 1:
            return self.replicas
        return self.replicas[:longs] if kind.work.tokens > 5_000 else self.replicas[longs:]

    def _send(self, request, replica, priority):
        key = replica.replica_id
        engine = self.engines[key]
        holds = request.part in engine.parts
        counts = counts_of(request.kind.work, holds)
        self._count(request.daemon, key, counts, 1)
        item = _Waiting(priority, next(self.order), request, self.now, counts)
        heapq.heappush(engine.queue, item)
        self._read_next(engine)

    def _count(self, daemon, key, counts, sign):
        change = ReplicaCounts(*(sign * item for item in counts))
        self.total[key] = add_counts(self.total[key], change)
        self.own[daemon][key] = add_counts(self.own[daemon][key], change)

    def _read_next(self, engine):
        if engine.reading or not engine.queue or engine.running >= SLOTS:
            return
        item = engine.queue[0]
        need = item.request.kind.work.tokens + item.request.answer_tokens
        if engine.held + need > KV_TOKENS and engine.running:
            return
        engine.reading = heapq.heappop(engine.queue)
        engine.held += need
        seconds = engine.read_s(item.request, self.now)
        self._at(self.now + seconds, lambda: self._first_event(engine))

    def _first_event(self, engine):
        item, engine.reading = engine.reading, None
        request, key = item.request, engine.replica.replica_id
        self.times[request.kind.name].append(self.now - request.at)
        load = Load(engine.running, len(engine.queue), SLOTS)
        self.reports[request.daemon, key] = load, self.now
        running = ReplicaCounts(running=1, held_tokens=item.counts.held_tokens)
        self._count(request.daemon, key, item.counts, -1)
        self._count(request.daemon, key, running, 1)
        engine.running += 1
        answer_s = request.answer_tokens * STEP_S * engine.factor(self.now)
        self._at(self.now + answer_s, lambda: self._end(engine, request, running))
        self._read_next(engine)

    def _end(self, engine, request, counts):
        engine.running -= 1
        engine.held -= request.kind.work.tokens + request.answer_tokens
        self._count(request.daemon, engine.replica.replica_id, counts, -1)
        self._read_next(engine)
