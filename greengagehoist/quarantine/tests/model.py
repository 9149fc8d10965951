"""Event-driven model of daemons, replicas and clients around the quarantine."""

import heapq
import itertools
import random
from typing import NamedTuple

from greengagehoist.quarantine import Crash, ServiceEvidence, attribute_crashes

CONTACT_S = 3.0
TRIAL_TIMEOUT_S = 10.0
DOWN_S = 3.5
SYSTEM, FIRST_DOC, BAD = 1, 100, 9
DOCS = 12


class Request(NamedTuple):
    """A request and whether its prompt ends replicas."""

    number: int
    daemon: int
    parts: tuple[int, ...]
    bad: bool


class ModelDaemon:
    """The evidence and the decisions of one daemon."""

    def __init__(self):
        self.evidence = ServiceEvidence()
        self.held = {}
        self.trials = {}
        self.cut_until = 0.0

    def update(self, parts):
        """Judge the evidence again after news about some parts, whose trials have ended."""
        self.held = attribute_crashes(self.evidence)
        for part in parts:
            self.trials.pop(part, None)


class QuarantineModel:
    """Plays a history of requests, crashes, cuts and restarts.

    :ivar crashes_at: times of the crashes by bad requests.
    :ivar bad_arrivals: times at which bad requests reached replicas, with whether their daemon was
        in touch.
    :ivar sound: sound requests as (time, has the bad requests' first part, was begun at once).
    """

    def __init__(self, seed, daemons=7, replicas=9, bad_parts=True, disturbed=True):
        self.rng = random.Random(seed)
        self.daemons = [ModelDaemon() for _ in range(daemons)]
        self.down_until = [0.0] * replicas
        self.running = [{} for _ in range(replicas)]
        self.bad_parts = bad_parts
        self.disturbed = disturbed
        self.crashes_at = []
        self.bad_arrivals = []
        self.sound = []
        self._events = []
        self._order = itertools.count()
        self._last_number = 0

    def at(self, time, action, *args):
        heapq.heappush(self._events, (time, next(self._order), action, args))

    def run(self, seconds):
        time = 0.0
        while time < seconds:
            time += self.rng.expovariate(24.0)
            self.at(time, self.send_request)
        if self.disturbed:
            for _ in range(self.rng.randrange(4)):
                self.at(self.rng.uniform(2.0, seconds), self.disturb)
        while self._events:
            now, _, action, args = heapq.heappop(self._events)
            action(now, *args)
        return self

    def disturb(self, now):
        daemon = self.rng.randrange(len(self.daemons))
        match self.rng.randrange(3):
            case 0:
                for replica in self.rng.sample(range(len(self.running)), 3):
                    self.end_replica(now + self.rng.uniform(0.0, 0.1), replica)
            case 1:
                # A restarted daemon knows only what the others tell it.
                self.daemons[daemon] = ModelDaemon()
                known = self.daemons[daemon - 1].evidence.crashes
                for crash in known:
                    self.at(now + 0.2, self.learn_crash, daemon, crash)
            case 2:
                self.daemons[daemon].cut_until = now + self.rng.uniform(0.5, 4.0)

    def send_request(self, now):
        self._last_number += 1
        doc = FIRST_DOC + self.rng.randrange(DOCS)
        bad = self.bad_parts and now > 4.0 and self.rng.random() < 0.04
        shared = (SYSTEM, doc, BAD) if bad else (SYSTEM, doc)
        if not bad and self.rng.random() < 0.5:
            shared = (2, doc)
        parts = (*shared, 10_000 + self._last_number)
        daemon = self.rng.randrange(len(self.daemons))
        request = Request(self._last_number, daemon, parts, bad)
        trial = self.admit(now, request)
        if trial is None:
            self.record_sound(now, request, False)
            return
        self.at(now + self.rng.uniform(0.2, 0.9), self.send, request, trial)

    def record_sound(self, now, request, begun):
        if not request.bad:
            self.sound.append((now, request.parts[0] == SYSTEM, begun))

    def admit(self, now, request):
        """Return whether the request is a trial, None if it is refused."""
        parts = frozenset(request.parts[:-1])
        held = self.daemons[request.daemon].held
        if not held.keys() & parts:
            return False
        if self.daemons[request.daemon].cut_until > now:
            return None
        owner = next(
            (item for item in self.daemons if item.cut_until <= now),
            self.daemons[request.daemon],
        )
        held = {key: part for key, part in owner.held.items() if key in parts}
        if any(part.trial_at_with(parts) > now for part in held.values()):
            return None
        if any(owner.trials.get(key, 0.0) > now for key in held):
            return None
        owner.trials |= dict.fromkeys(held, now + TRIAL_TIMEOUT_S)
        return True

    def send(self, now, request, trial):
        if not trial and self.daemons[request.daemon].held.keys() & set(request.parts[:-1]):
            self.record_sound(now, request, False)
            return
        usable = [n for n, until in enumerate(self.down_until) if until <= now]
        if not usable:
            return
        self.record_sound(now, request, True)
        replica = self.rng.choice(usable)
        begin = now + self.rng.uniform(0.02, 0.3)
        self.running[replica][request] = begin
        if request.bad:
            in_touch = self.daemons[request.daemon].cut_until + CONTACT_S <= now
            self.bad_arrivals.append((now, in_touch))
            self.at(begin, self.end_by_request, replica, request)
        else:
            self.at(begin + self.rng.uniform(0.2, 1.5), self.finish, replica, request)

    def end_by_request(self, now, replica, request):
        if request in self.running[replica]:
            self.crashes_at.append(now)
            self.end_replica(now, replica)

    def end_replica(self, now, replica):
        self.down_until[replica] = now + DOWN_S
        lost, self.running[replica] = self.running[replica], {}
        by_daemon = {}
        for request, begin in lost.items():
            prompts = by_daemon.setdefault(request.daemon, set())
            if begin + 0.05 >= now:
                prompts.add(request.parts)
        for daemon, prompts in by_daemon.items():
            crash = Crash(f"r{replica}", int(now * 1000), now, frozenset(prompts))
            self.at(now + 0.004, self.learn_crash, daemon, crash, True)

    def learn_crash(self, now, daemon, crash, own=False):
        state = self.daemons[daemon]
        merged = state.evidence.record_crash(crash)
        if merged is None:
            return
        state.update(merged.shared_parts)
        if own:
            self.tell_others(now, daemon, self.learn_crash, merged)

    def tell_others(self, now, daemon, action, *args):
        sender = self.daemons[daemon]
        for other, state in enumerate(self.daemons):
            if other != daemon:
                # What was sent during a cut arrives when it is over.
                delay_s = self.rng.uniform(0.002, 0.05)
                self.at(max(now, sender.cut_until, state.cut_until) + delay_s, action, other, *args)

    def finish(self, now, replica, request):
        if self.running[replica].pop(request, None) is not None:
            self.learn_answer(now, request.daemon, frozenset(request.parts[:-1]), now, True)

    def learn_answer(self, now, daemon, parts, at, own=False):
        state = self.daemons[daemon]
        news = state.evidence.record_answer(parts & state.evidence.parts, at)
        if news:
            state.update(parts)
            if own:
                self.tell_others(now, daemon, self.learn_answer, parts, at)
