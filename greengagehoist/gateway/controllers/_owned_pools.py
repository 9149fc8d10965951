"""Stage pools that a daemon owns, and the results that it has sent to peers."""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from greengagehoist.deployment import DeploymentSnapshot
from greengagehoist.gateway.controllers._owned_pool import OwnedPool
from greengagehoist.gateway.controllers._pool_messages import ReserveStages, StagePlan
from greengagehoist.gateway.controllers._pool_reservation import refuse, reserve
from greengagehoist.gateway.controllers._pool_worker import PoolWorker
from greengagehoist.overload import Asked, PoolWait
from greengagehoist.peers import StageResult
from greengagehoist.pieces import Job, JobKey, StageWork
from greengagehoist.replicas import Incarnation, Replica, ReplicaTable
from greengagehoist.retries import RetryBudget
from greengagehoist.utils import Published, log_event

# Results are kept this long for repeated submissions.
FINISHED_TTL_S = 3.0


class _Finished(NamedTuple):
    """Results that were sent to a peer, which may not have received them."""

    result: StageResult
    work: StageWork
    origin: str
    expires_at: float


class OwnedPools:
    """Pools by service, owned by the pool controller.

    :param make_retry_budget: builds the retry budget of the pieces of one pool.
    :param make_worker: builds the worker of a replica.
    :param limit_view: published limits of replicas.
    :param evacuated: published data centres whose replicas get no calls.
    """

    def __init__(
        self,
        snapshot: Published[DeploymentSnapshot | None],
        table: Published[ReplicaTable],
        make_retry_budget: Callable[[], RetryBudget],
        make_worker: Callable[[Replica], PoolWorker],
        limit_view: Published[dict[Incarnation, float]],
        evacuated: Published[frozenset[str]],
    ):
        self.evacuated = evacuated
        self.limit_view = limit_view
        self.snapshot = snapshot
        self.table = table
        self.make_retry_budget = make_retry_budget
        self.make_worker = make_worker
        self._pools: dict[str, OwnedPool] = {}
        self._finished: dict[JobKey, _Finished] = {}
        self._silent_zones: frozenset[str] = frozenset()

    def __iter__(self) -> Iterator[OwnedPool]:
        return iter(list(self._pools.values()))

    @property
    def knows_replicas(self) -> bool:
        """Whether the list of replicas has been read; before, no pool is known to be empty."""
        return self.table.value.read_at is not None

    def get(self, service: str) -> OwnedPool | None:
        """Return the pool of a service with its newest limits, or None if it has no pool."""
        pool = self._pools.get(service)
        snapshot = self.snapshot.value
        listed = snapshot.deployment.services.get(service) if snapshot else None
        if listed is None or listed.pool is None:
            return pool
        if pool is None:
            budget = self.make_retry_budget()
            pool = OwnedPool(
                service,
                listed.pool,
                budget,
                self.make_worker,
                self.limit_view,
                lambda: self.table.value,
                self.evacuated,
            )
            pool.silent_zones = self._silent_zones
            self._pools[service] = pool
            self.sync(pool)
        pool.queue.limits = listed.pool
        return pool

    def set_silent_zones(self, zones: frozenset[str]) -> None:
        """Set the data centres in which no daemon answers."""
        self._silent_zones = zones
        for pool in self:
            pool.silent_zones = zones

    def sync(self, pool: OwnedPool) -> None:
        """Apply the list of replicas to a pool."""
        pool.sync(self.table.value.of_service(pool.service))

    def reserve(
        self,
        message: ReserveStages,
        plans: Iterable[StagePlan],
        zone: str,
        now: float,
        origin: str = "",
    ) -> dict[str, PoolWait]:
        """Reserve work; returns how long it waits, by service.

        :param plans: those of the services whose pools this daemon owns.
        :param zone: data centre of the daemon that has received the request.
        :param origin: its VM, empty for this daemon.
        """
        waits = {}
        for service, pieces, due in plans:
            pool = self.get(service)
            if pool is not None:
                asked = Asked(
                    message.request_id,
                    message.kind,
                    message.tenant,
                    zone,
                    pieces,
                    message.size,
                    message.further,
                )
                wait = reserve(pool, asked, message.rank, due, now, origin)
                known = pool.members or self.knows_replicas
                waits[service] = wait if known else PoolWait(0.0, 0.0)
        return waits

    def refuse(self, request_id: str, returns_in_s: float | None, now: float) -> tuple[str, ...]:
        """Remove a refused request and expect its return; returns the handles of its results.

        :param returns_in_s: seconds until its client comes back to promised room, None without one.
        """
        for pool in self:
            refuse(pool, request_id, returns_in_s, now)
        return self.drop_request(request_id)

    def find_job(self, work: StageWork) -> Job | None:
        """Return the job of an earlier submission of the same work that is still in progress."""
        pool = self._pools.get(work.service)
        job = pool.queue.jobs.get(_key(work)) if pool is not None else None
        return job if job is not None and _is_same_attempt(job.work, work) else None

    def find_result(self, work: StageWork) -> StageResult | None:
        """Return the results of an earlier submission of the same work."""
        finished = self._finished.get(_key(work))
        return finished.result if finished and _is_same_attempt(finished.work, work) else None

    def keep_result(self, job: Job, result: StageResult, now: float) -> None:
        """Keep results that are sent to a peer, in case it submits the work again."""
        expires_at = now + FINISHED_TTL_S
        self._finished[job.key] = _Finished(result, job.work, job.origin, expires_at)

    def expire_results(self, now: float) -> None:
        """Remove results that were kept for ``FINISHED_TTL_S``."""
        for key in [key for key, item in self._finished.items() if item.expires_at <= now]:
            del self._finished[key]

    def drop_request(self, request_id: str) -> tuple[str, ...]:
        """Remove all work of a request; returns the handles of its results."""
        for pool in self:
            pool.admission.end(request_id)
        dropped = [job for pool in self for job in pool.queue.drop_request(request_id)]
        return tuple(handle for job in dropped for handle in job.handles.values())

    def drop_origin(self, vm: str) -> tuple[str, ...]:
        """Remove the work of a daemon that was lost; returns the handles of its results.

        If the daemon has stopped, its requests have ended. If only the link was lost, it submits
        its work to another owner.
        """
        dropped = [job for pool in self for job in pool.queue.drop_origin(vm)]
        handles = [handle for job in dropped for handle in job.handles.values()]
        for key in [key for key, item in self._finished.items() if item.origin == vm]:
            handles.extend(self._finished.pop(key).result.handles)
        if dropped or handles:
            log_event("origin_lost", vm=vm, stages=len(dropped), results=len(handles))
        return tuple(handles)


def _key(work: StageWork) -> JobKey:
    return JobKey(work.request_id, work.stage)


def _is_same_attempt(work: StageWork, other: StageWork) -> bool:
    return work.inputs == other.inputs and work.attempt == other.attempt
