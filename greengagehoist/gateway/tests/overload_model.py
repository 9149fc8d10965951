"""Queueing model of stage pools under overload: pools, clients that come back once, and rules.

Time is stepped and randomness is seeded. The pools are the product's own :class:`OwnedPool`; only
replicas, clients and the network are modelled.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

from greengagehoist.deployment import PoolLimits, Route
from greengagehoist.gateway.controllers import StagePlan
from greengagehoist.gateway.controllers._owned_pool import JobEnd, OwnedPool
from greengagehoist.gateway.controllers._pool_replica import PoolReplica
from greengagehoist.gateway.controllers._pool_worker import BatchEnded
from greengagehoist.gateway.filters._stage_graph import (
    longest_path,
    start_dependencies,
)
from greengagehoist.pieces import Made, Piece, StageWork
from greengagehoist.replicas import Replica
from greengagehoist.retries import RetryBudget
from greengagehoist.utils import Published

STEP_S = 0.01
EXPIRE_PERIOD_S = 0.1
TENANTS, LARGE_TENANTS = 16, 3
ZONES = 4
# Engines have fetched their inputs this long after the stages have ended.
FETCH_S = 0.03
# Calls of a slow replica take this many times as long.
SLOW_FACTOR = 3.0
# Time in which an unreachable replica refuses a connection.
REFUSED_S = 0.02


class Kind(NamedTuple):
    """Requests of one route.

    :param counts: draws the number of pieces of each stage.
    :param engine_s: seconds from the send to the first event.
    """

    route: Route
    per_s: float
    deadline_s: float
    engine_s: float
    counts: Callable[[random.Random], tuple[int, ...]]

    @property
    def name(self) -> str:
        """Name of the route."""
        return self.route.name


class Deployment(NamedTuple):
    """Pools and kinds of requests.

    :param pools: replicas and limits of each pool.
    """

    pools: dict[str, tuple[int, PoolLimits]]
    kinds: tuple[Kind, ...]


class Trouble(NamedTuple):
    """What happens while requests are counted.

    :param factors: load of each kind against its usual.
    :param slow: share of the replicas of ``pool`` that are slow.
    :param lost: share of the replicas of ``pool`` that are gone.
    """

    from_s: float = 0.0
    to_s: float = 0.0
    factors: dict[str, float] = {}
    tenant_factors: dict[str, float] = {}
    pool: str = ""
    slow: float = 0.0
    lost: float = 0.0

    def holds(self, now: float) -> bool:
        """Return whether the trouble is under way."""
        return self.from_s <= now < self.to_s


class Attempt:
    """One request of a client, which sends at most two.

    :ivar first_sent: time of the client's first request.
    :ivar number: 0 for the first request, 1 for the second.
    """

    def __init__(self, number, request_id, kind, first_sent, now, counts, tenant, zone):
        self.number = number
        self.request_id = request_id
        self.kind: Kind = kind
        self.first_sent: float = first_sent
        self.arrived: float = now
        self.counts: tuple[int, ...] = counts
        self.tenant: str = tenant
        self.zone: str = zone
        self.ended: dict[int, tuple[str, ...]] = {}
        self.begun: set[int] = set()

    @property
    def due(self) -> float:
        """Time by which the answer should begin."""
        return self.first_sent + self.kind.route.target_latency_s

    @property
    def deadline(self) -> float:
        """Time at which the client gives up."""
        return self.first_sent + self.kind.deadline_s


class Fate(NamedTuple):
    """What became of one client.

    :param latency_s: time to the first event since the first request, None without an answer.
    :param refusals: number of refusals.
    :param begun_for_nothing: whether stages were begun whose results nobody read.
    """

    kind: str
    tenant: str
    zone: str
    pieces: int
    sent_at: float
    target_s: float
    latency_s: float | None
    refusals: int
    begun_for_nothing: bool

    @property
    def in_target(self) -> bool:
        """Whether the answer began in time."""
        return self.latency_s is not None and self.latency_s <= self.target_s


class Rule(Protocol):
    """Decides which requests are admitted."""

    def decide(self, model: "Model", attempt: Attempt, now: float) -> float | None:
        """Return None to admit the request, or Retry-After in seconds."""


class Model:
    """Stage pools, clients and a rule.

    :param rule: decides on each request.
    :param trouble: burst or failure.
    """

    def __init__(self, deployment: Deployment, rule: Rule, trouble: Trouble, seed: int):
        self.deployment = deployment
        self.rule = rule
        self.trouble = trouble
        # Clients draw from a generator of their own, so that all rules meet the same requests.
        self.rng = random.Random(seed)
        self.replica_rng = random.Random(seed + 1)
        self.pools: dict[str, OwnedPool] = {}
        self.replicas: dict[str, dict[str, Replica]] = {}
        for name, (count, limits) in deployment.pools.items():
            pool = OwnedPool(
                name, limits, RetryBudget(0.3, 50.0, 10.0), lambda _: _Worker(), Published({})
            )
            self.replicas[name] = {
                f"{name}-{number}": Replica(
                    f"{name}-{number}", name, f"10.0.0.{number}", 80, "a", 1, 1, False
                )
                for number in range(count)
            }
            pool.sync(self.replicas[name].values())
            self.pools[name] = pool
        self.attempts: dict[str, Attempt] = {}
        self.refusals: dict[str, int] = {}
        self.for_nothing: set[str] = set()
        self.fates: list[Fate] = []
        self._ids = itertools.count()
        self._clients = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []

    def at(self, time: float, action: Callable[[float], None]) -> None:
        """Run ``action`` at a time."""
        heapq.heappush(self._events, (time, next(self._ids), action))

    def run(self, until_s: float, settle_s: float = 9.0) -> list[Fate]:
        """Let clients send until ``until_s`` and return what became of each."""
        steps, next_expiry = int((until_s + settle_s) / STEP_S), 0.0
        for step in range(steps):
            now = step * STEP_S
            while self._events and self._events[0][0] <= now:
                at, _, action = heapq.heappop(self._events)
                action(max(at, now - STEP_S))
            if now < until_s:
                for attempt in self._arrivals(now):
                    self._receive(attempt, now)
            if now >= next_expiry:
                next_expiry = now + EXPIRE_PERIOD_S
                for pool in self.pools.values():
                    for end in pool.expire(now):
                        self._stage_ended(end, now)
                    pool.requeue_overdue(now)
            for pool in self.pools.values():
                self._start_calls(pool, now)
        return self.fates

    def _arrivals(self, now: float) -> Iterator[Attempt]:
        hot = self.trouble.holds(now)
        for kind in self.deployment.kinds:
            rate = kind.per_s * (self.trouble.factors.get(kind.name, 1.0) if hot else 1.0)
            at = self.rng.expovariate(rate)
            while at < STEP_S:
                yield self._new_client(kind, now, hot)
                at += self.rng.expovariate(rate)

    def _new_client(self, kind: Kind, now: float, hot: bool) -> Attempt:
        weights = [
            (4.0 if number < LARGE_TENANTS else 1.0)
            * (self.trouble.tenant_factors.get(f"t{number}", 1.0) if hot else 1.0)
            for number in range(TENANTS)
        ]
        (number,) = self.rng.choices(range(TENANTS), weights)
        zone, counts = f"z{self.rng.randrange(ZONES)}", kind.counts(self.rng)
        name = f"c{next(self._clients)}"
        self.refusals[name] = 0
        return Attempt(0, name, kind, now, now, counts, f"t{number}", zone)

    def _receive(self, attempt: Attempt, now: float) -> None:
        retry_after_s = self.rule.decide(self, attempt, now)
        if retry_after_s is not None:
            for pool in self.pools.values():
                pool.queue.drop_request(attempt.request_id)
            self.refusals[client_of(attempt)] += 1
            self._give_back(attempt, retry_after_s, now)
            return
        self.attempts[attempt.request_id] = attempt
        self._start_stages(attempt, now)

    def _give_back(self, attempt: Attempt, retry_after_s: float, now: float) -> None:
        left = attempt.deadline - now
        if attempt.number or left <= 0:
            self._end(attempt, None)
            return
        name = f"{attempt.request_id}-r"
        wait_s = min(retry_after_s, left / 3)

        def come_back(at: float) -> None:
            again = Attempt(
                1,
                name,
                attempt.kind,
                attempt.first_sent,
                at,
                attempt.counts,
                attempt.tenant,
                attempt.zone,
            )
            self._receive(again, at)

        self.at(now + wait_s, come_back)

    def _end(self, attempt: Attempt, answered_at: float | None) -> None:
        client = client_of(attempt)
        latency_s = None if answered_at is None else answered_at - attempt.first_sent
        if latency_s is not None and latency_s > attempt.kind.deadline_s:
            latency_s = None
            self.for_nothing.add(client)
        self.fates.append(
            Fate(
                attempt.kind.name,
                attempt.tenant,
                attempt.zone,
                sum(attempt.counts),
                attempt.first_sent,
                attempt.kind.route.target_latency_s,
                latency_s,
                self.refusals.pop(client),
                client in self.for_nothing,
            )
        )

    # Stages of a request.

    def _start_stages(self, attempt: Attempt, now: float) -> None:
        route = attempt.kind.route
        dependencies = start_dependencies(route)
        progress = True
        while progress:
            progress = False
            for number, stage in enumerate(route.stages):
                if number in attempt.begun or any(
                    item not in attempt.ended for item in dependencies[number]
                ):
                    continue
                attempt.begun.add(number)
                count = attempt.counts[number]
                if not count:
                    attempt.ended[number] = ()
                    progress = True
                    continue
                inputs = tuple(
                    item for other in stage.after for item in attempt.ended.get(other, ())
                )
                work = StageWork(
                    attempt.request_id,
                    stage.service,
                    number,
                    tuple(range(count)),
                    "k",
                    inputs,
                    rank_of(attempt),
                    attempt.due - remaining_s(self.deployment, attempt, number),
                    attempt.deadline - later_stages_s(self.deployment, attempt, number),
                    "",
                    stage.result_bytes,
                )
                self.pools[stage.service].queue.add(work, "", now)
        if len(attempt.ended) == len(route.stages):
            self._run_request(attempt, now)

    def _run_request(self, attempt: Attempt, now: float) -> None:
        self.attempts.pop(attempt.request_id, None)
        answered_at = now + attempt.kind.engine_s
        self.at(now + FETCH_S, lambda at: self._free(attempt))
        self.at(answered_at, lambda at: self._end(attempt, answered_at))

    def _free(self, attempt: Attempt) -> None:
        for number, handles in attempt.ended.items():
            self._release(attempt.kind.route.stages[number].service, handles)

    def _release(self, service: str, handles: tuple[str, ...]) -> None:
        for handle in handles:
            member = self.pools[service].members.get(handle.partition("/")[0])
            if member is not None:
                member.result_memory.free(handle)

    def _stage_ended(self, end: JobEnd, now: float) -> None:
        attempt = self.attempts.get(end.job.key.request_id)
        if attempt is None:
            return
        number = end.job.key.stage
        if not end.reason:
            attempt.ended[number] = end.job.ordered_handles()
            stages = attempt.kind.route.stages
            for dependency in stages[number].after:
                self._release(stages[dependency].service, attempt.ended[dependency])
            self._start_stages(attempt, now)
            return
        self._release(end.job.work.service, tuple(end.job.handles.values()))
        self._free(attempt)
        del self.attempts[attempt.request_id]
        for pool in self.pools.values():
            pool.queue.drop_request(attempt.request_id)
        if attempt.ended or end.job.handles:
            self.for_nothing.add(client_of(attempt))
        self.refusals[client_of(attempt)] += 1
        self._give_back(attempt, 2.5, now)

    # Replicas.

    def _is_hit(self, replica_id: str, pool: str, share: float, now: float) -> bool:
        if pool != self.trouble.pool or not self.trouble.holds(now):
            return False
        return int(replica_id.rpartition("-")[2]) < share * len(self.replicas[pool])

    def _start_calls(self, pool: OwnedPool, now: float) -> None:
        for member in pool.next_calls(self.replicas[pool.service], now):
            key, pieces = member.replica.replica_id, member.pieces
            if self._is_hit(key, pool.service, self.trouble.lost, now):
                self._end_call_at(pool, member, pieces, now, REFUSED_S, "unreachable")
                continue
            took_s = pool.queue.expected_s(len(pieces)) * self.replica_rng.uniform(0.97, 1.06)
            if self._is_hit(key, pool.service, self.trouble.slow, now):
                took_s *= SLOW_FACTOR
            self._end_call_at(pool, member, pieces, now, took_s, "")

    def _end_call_at(
        self,
        pool: OwnedPool,
        member: PoolReplica,
        pieces: tuple[Piece, ...],
        now: float,
        took_s: float,
        failure: str,
    ) -> None:
        key = member.replica.replica_id

        def end(at: float) -> None:
            broken = failure
            if not broken and self._is_hit(key, pool.service, self.trouble.lost, at):
                broken = "lost"
            outcomes = None
            if not broken:
                outcomes = tuple(Made(f"{key}/{next(self._ids)}") for _ in pieces)
            effect = pool.end_call(BatchEnded(key, pieces, outcomes, broken, took_s), at)
            if effect is None:
                return
            for item in effect.ends:
                self._stage_ended(item, at)

        self.at(now + took_s, end)


class _Worker:
    """Stands for the connection to a replica."""

    def close(self) -> None:
        """Do nothing."""


def client_of(attempt: Attempt) -> str:
    """Return the client of a request."""
    return attempt.request_id.removesuffix("-r")


def rank_of(attempt: Attempt) -> int:
    """Return the rank of a request; 0 is the most urgent."""
    return attempt.kind.route.priority


def service_times(deployment: Deployment, attempt: Attempt) -> list[float]:
    """Return the run time of each stage without queueing."""
    times = []
    for count, stage in zip(attempt.counts, attempt.kind.route.stages, strict=True):
        limits = deployment.pools[stage.service][1]
        times.append(limits.call_s + min(count, limits.batch) * limits.piece_s if count else 0.0)
    return times


def later_stages_s(deployment: Deployment, attempt: Attempt, number: int) -> float:
    """Return the run time of the stages after a stage, without queueing."""
    times = service_times(deployment, attempt)
    return longest_path(attempt.kind.route, times)[number] - times[number]


def remaining_s(deployment: Deployment, attempt: Attempt, number: int) -> float:
    """Return the time from the end of a stage to the beginning of the answer."""
    return later_stages_s(deployment, attempt, number) + attempt.kind.engine_s


def plans_of(
    deployment: Deployment, attempt: Attempt, in_time: bool, now: float
) -> tuple[StagePlan, ...]:
    """Return the work of a request at each pool, as the stage filter announces it."""
    plans: dict[str, StagePlan] = {}
    for number, stage in enumerate(attempt.kind.route.stages):
        if not attempt.counts[number]:
            continue
        due = attempt.due - remaining_s(deployment, attempt, number) if in_time else now
        plan = plans.get(stage.service, StagePlan(stage.service, 0, due))
        plans[stage.service] = StagePlan(
            stage.service, plan.pieces + attempt.counts[number], max(plan.due, due)
        )
    return tuple(plans.values())
