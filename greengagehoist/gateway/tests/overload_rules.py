"""Rules that the queueing model compares: first come first served, and the rule before."""

import math
from functools import partial

from greengagehoist.gateway.controllers import NO_REPLICA_WAIT_S
from greengagehoist.gateway.controllers._owned_pool import OwnedPool
from greengagehoist.gateway.controllers._pool_replica import PoolReplica
from greengagehoist.gateway.controllers._pool_reservation import refuse, reserve
from greengagehoist.gateway.filters._stage_graph import start_dependencies
from greengagehoist.gateway.tests.overload_model import (
    Attempt,
    Model,
    client_of,
    plans_of,
    rank_of,
    service_times,
)
from greengagehoist.overload import Admit, Asked, Need, Refuse, decide
from greengagehoist.pieces import Reservation, estimate_completion_s


class FirstComeFirstServed:
    """Admits everything; the pools work in the order of arrival."""

    def decide(self, model: Model, attempt: Attempt, now: float) -> float | None:
        """Admit the request."""
        attempt.kind = attempt.kind._replace(route=attempt.kind.route._replace(priority=0))
        for pool in model.pools.values():
            pool.queue._sort_key = lambda pieces, rank, due, excess, now: (False, False, 0, due)
        return None


class FixedRetryAfter:
    """Refuses what would be late, with a constant Retry-After: the rule of commit 9bebe9c.

    Pools work in strict order of rank, and count slow replicas as a part of their speed.
    """

    min_backlog_s, tolerance_s, min_late_backlog_s, retry_after_s = 0.1, 0.15, 0.4, 2.5

    def decide(self, model: Model, attempt: Attempt, now: float) -> float | None:
        """Reserve the stage work; refuse the request if its answer would be late."""
        for pool in model.pools.values():
            pool.queue._sort_key = partial(_strict_key, pool)
            pool._speed = partial(_speed_of_all, pool)
        route, times = attempt.kind.route, service_times(model.deployment, attempt)
        fastest = estimate_completion_s(start_dependencies(route), times, [0.0] * len(times))
        in_time = now + fastest + attempt.kind.engine_s <= attempt.due
        waits = {}
        for service, pieces, due in plans_of(model.deployment, attempt, in_time, now):
            pool = model.pools[service]
            excess = pool.tenant_rates.is_excess(attempt.tenant, pieces, now)
            new = Reservation(pieces, rank_of(attempt), due, excess)
            waits[service] = pool.wait_s(new, now)
            pool.queue.reserve(attempt.request_id, new)
        longest = max(waits.values(), default=0.0)
        completion = estimate_completion_s(
            start_dependencies(route),
            times,
            [waits.get(stage.service, 0.0) for stage in route.stages],
        )
        late_s = now + completion + attempt.kind.engine_s - attempt.due
        negligible = self.min_backlog_s if in_time else self.min_late_backlog_s
        if late_s <= self.tolerance_s or longest < negligible:
            return None
        return self.retry_after_s if longest < NO_REPLICA_WAIT_S else math.inf


def _strict_key(
    pool: OwnedPool, pieces: int, rank: int, due: float, excess: bool, now: float
) -> tuple[bool, bool, int, float]:
    late = now + pool.queue.expected_s(min(pieces, pool.queue.limits.batch)) > due
    return late, excess, rank, due


def _speed_of_all(pool: OwnedPool, usable: list[PoolReplica], now: float) -> float:
    return max(1.0, sum(pool._speed_of(item, now) for item in usable))


class TimeOfRoom:
    """The rule of the product: admission with guarantees and promised returns.

    :ivar promised: clients that were promised room.
    :ivar kept: those that found it.
    """

    def __init__(self):
        self.promised: set[str] = set()
        self.kept: set[str] = set()

    def decide(self, model: Model, attempt: Attempt, now: float) -> float | None:
        """Ask the owners of the pools, and refuse the request with the time of room."""
        route = attempt.kind.route
        need = Need(
            [stage.service for stage in route.stages],
            start_dependencies(route),
            service_times(model.deployment, attempt),
            attempt.kind.engine_s,
            attempt.due - now,
            attempt.deadline - now,
        )
        waits = {}
        for service, pieces, due in plans_of(model.deployment, attempt, need.can_be_in_time, now):
            asked = Asked(
                attempt.request_id,
                route.name,
                attempt.tenant,
                attempt.zone,
                pieces,
                sum(attempt.counts),
                attempt.number > 0,
            )
            waits[service] = reserve(model.pools[service], asked, rank_of(attempt), due, now)
        match decide(need, waits):
            case Admit():
                if client_of(attempt) in self.promised:
                    self.kept.add(client_of(attempt))
                return None
            case Refuse(retry_after_s, promised):
                if promised and not attempt.number:
                    self.promised.add(client_of(attempt))
                for service in waits:
                    refuse(
                        model.pools[service],
                        attempt.request_id,
                        retry_after_s if promised else None,
                        now,
                    )
                return retry_after_s
