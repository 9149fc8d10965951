"""State of a stage pool at its owner: queue, replicas and calls in progress."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from greengagehoist.deployment import PoolLimits
from greengagehoist.gateway.controllers._pool_replica import PoolReplica
from greengagehoist.gateway.controllers._pool_worker import WITHHELD, BatchEnded, PoolWorker
from greengagehoist.overload import PoolAdmission
from greengagehoist.pieces import (
    InputGone,
    Job,
    JobKey,
    Made,
    NotMade,
    PoolQueue,
    Reservation,
    ResultMemory,
    TenantRates,
    TooLate,
)
from greengagehoist.replicas import (
    MIN_RATE_PER_S,
    Incarnation,
    Replica,
    ReplicaAvailability,
    ReplicaTable,
    incarnation_of,
)
from greengagehoist.retries import RetryBudget
from greengagehoist.utils import Published, log_event

# A call that takes this many times its usual duration is repeated at another replica.
OVERDUE_FACTOR = 2.5
OVERDUE_MARGIN_S = 0.15
# A replica whose slowness reaches this gets work only if all usable replicas are that slow.
SLOWNESS_LIMIT = 1.8
# Back-off of all replicas of a data centre that appears to be unreachable.
ZONE_BACKOFF_S = 1.0
# Expected wait at a pool without replicas, longer than any request waits.
NO_REPLICA_WAIT_S = 60.0
# A permit for a call to a replica with a limit is used within this time or lost.
PERMIT_TTL_S = 0.5
# The work of a stage fails when one of its pieces has failed after this many sends.
MAX_PIECE_SENDS = 6


class JobEnd(NamedTuple):
    """End of the work of one stage.

    :param reason: why it failed: ``""``, ``gone``, ``late`` or ``failed``.
    """

    job: Job
    reason: str


class CallEffect(NamedTuple):
    """Effect of the end of a call.

    :param ends: work of stages that has ended with the call.
    :param orphaned: handles of results that nobody waits for.
    """

    ends: tuple[JobEnd, ...]
    orphaned: tuple[str, ...]


class OwnedPool:
    """Queue and replicas of one service, owned by the pool controller.

    :param retry_budget: limits how many pieces are sent again.
    :param make_worker: builds the worker of a replica.
    :param limit_view: published limits of replicas, in calls a second.
    :param table: returns the newest table of the replicas.
    :param evacuated: published data centres whose replicas get no calls; they stay members, so that
        what is known of them and of their results is kept.
    """

    def __init__(
        self,
        service: str,
        limits: PoolLimits,
        retry_budget: RetryBudget,
        make_worker: Callable[[Replica], PoolWorker],
        limit_view: Published[dict[Incarnation, float]],
        table: Callable[[], ReplicaTable] | None = None,
        evacuated: Published[frozenset[str]] | None = None,
    ):
        self.evacuated = evacuated or Published(frozenset())
        self.limit_view = limit_view
        self.service = service
        self.queue = PoolQueue(limits)
        self.tenant_rates = TenantRates()
        self.admission = PoolAdmission()
        self.retry_budget = retry_budget
        self.make_worker = make_worker
        self.members: dict[str, PoolReplica] = {}
        self.silent_zones: frozenset[str] = frozenset()
        self.availability = ReplicaAvailability(table)

    def sync(self, replicas: Iterable[Replica]) -> None:
        """Apply the list of replicas; a replica with a call in progress changes after the call."""
        listed = {
            item.replica_id: item for item in replicas if not self.availability.is_leaving(item)
        }
        for key in self.members.keys() - listed.keys():
            if self.members[key].pieces is None:
                self.members.pop(key).worker.close()
        for key, replica in listed.items():
            member = self.members.get(key)
            if member is not None and member.pieces is not None:
                continue
            if member is None or member.replica.born_ms != replica.born_ms:
                result_memory = ResultMemory(self.queue.limits.result_bytes)
                self.members[key] = PoolReplica(replica, self.make_worker(replica), result_memory)

    def next_calls(self, listed: dict[str, Replica], now: float) -> list[PoolReplica]:
        """Assign batches to idle replicas and return the replicas whose calls can start now."""
        usable = [item for item in self._usable(listed, now) if self._limit_of(item, now) is None]
        zones = frozenset(member.replica.zone for member in usable)
        idle, started = self._idle_by_speed(usable, now), []
        for number, member in enumerate(idle):
            if not self.queue.waiting_pieces():
                break
            free_bytes, others = member.result_memory.available_bytes(now), len(idle) - number
            batch = self.queue.pop_batch(member.replica.zone, zones, free_bytes, others, now)
            if batch:
                member.pieces, member.started, member.overdue = batch, now, False
                member.permit_until = 0.0
                self.availability.begin_send(member.replica, now)
                member.expected_s = self.queue.expected_s(len(batch))
                started.append(member)
        return started

    def permits_to_ask(self, listed: dict[str, Replica], now: float) -> list[PoolReplica]:
        """Return idle replicas with a limit for which the waiting work needs a permit."""
        if not self.queue.waiting_pieces():
            return []
        found = [
            item
            for item in self._usable(listed, now)
            if item.pieces is None
            and not item.asks_permit
            and self._limit_of(item, now) is not None
        ]
        for member in found:
            member.asks_permit = True
        return found

    def end_permit_ask(self, replica: Replica, refused_until: float | None, now: float) -> None:
        """Apply the answer to an ask for a permit.

        :param refused_until: time before which there is no room, None if the permit was granted.
        """
        member = self.members.get(replica.replica_id)
        if member is None or member.replica.born_ms != replica.born_ms:
            return
        member.asks_permit = False
        limit = self.limit_view.value.get(incarnation_of(replica))
        if refused_until is None:
            member.permit_until = now + PERMIT_TTL_S
        elif limit is not None:
            self.availability.defer(replica, limit, refused_until)

    def _admitted(self) -> list[PoolReplica]:
        """Return the replicas whose data centres are not evacuated."""
        evacuated = self.evacuated.value
        return [item for item in self.members.values() if item.replica.zone not in evacuated]

    def _usable(self, listed: dict[str, Replica], now: float) -> list[PoolReplica]:
        usable = []
        for member in self._admitted():
            entry = listed.get(member.replica.replica_id)
            if member.avoid_until <= now and entry is not None and not entry.leaving:
                usable.append(member)
        return [member for member in usable if self._sends_from(member, now) <= now]

    def _sends_from(self, member: PoolReplica, now: float) -> float:
        limit = self._limit_of(member, now)
        return self.availability.sends_from(member.replica, now, limit)

    def _limit_of(self, member: PoolReplica, now: float) -> float | None:
        """Return the limit within which the next call to a replica needs a permit."""
        if member.permit_until > now:
            return None
        return self.limit_view.value.get(incarnation_of(member.replica))

    @staticmethod
    def _idle_by_speed(usable: list[PoolReplica], now: float) -> list[PoolReplica]:
        """Return the idle replicas, fast ones first; slow ones only if all are slow."""
        fast = [member for member in usable if member.slowness_at(now) < SLOWNESS_LIMIT]
        idle = [member for member in fast or usable if member.pieces is None]
        return sorted(idle, key=lambda member: member.slowness_at(now))

    def end_call(self, end: BatchEnded, now: float) -> CallEffect | None:
        """Apply the end of a call, or return None if it is not one of this pool."""
        member = self.members.get(end.replica_id)
        if member is None or member.pieces is not end.pieces:
            return None
        member.observe(end, now)
        member.pieces = None
        self._observe_availability(member.replica, end, now)
        if end.failure == "unreachable":
            self._avoid_silent_zone(member.replica.zone, now)
        self._log_call(member, end, now)
        ends: list[JobEnd] = []
        orphaned: list[str] = []
        for number, piece in enumerate(end.pieces):
            job = self.queue.jobs.get(JobKey(piece.request_id, piece.stage))
            outcome = end.outcomes[number] if end.outcomes is not None else None
            if job is None or piece.segment in job.handles:
                if isinstance(outcome, Made):
                    orphaned.append(outcome.handle)
                continue
            reason = None
            match outcome:
                case Made(handle):
                    member.result_memory.add(handle, job.work.result_bytes, now)
                    job.add_result(piece.segment, handle)
                    reason = "" if job.is_done else None
                case InputGone():
                    reason = "gone"
                case TooLate():
                    reason = "late"
                case NotMade("room"):
                    # The replica gets no pieces for a while, so this cannot repeat in a tight loop.
                    member.result_memory.mark_full(now)
                    job.uncount_send(piece.segment)
                    reason = self._retry(job, piece.segment, now)
                case None if end.failure in ("unreachable", WITHHELD):
                    # No replica has received the pieces, so the next send is not a repeat.
                    job.uncount_send(piece.segment)
                    job.requeue(piece.segment)
                case _:
                    reason = self._retry(job, piece.segment, now)
            if reason is not None:
                self.queue.drop(job.key)
                ends.append(JobEnd(job, reason))
        return CallEffect(tuple(ends), tuple(orphaned))

    def _observe_availability(self, replica: Replica, end: BatchEnded, now: float) -> None:
        if self.availability.observe_answer(replica, end.leaving, end.pause_s, now):
            log_event("replica_leaving", replica=replica.replica_id, service=self.service)
        if end.pause_s is not None:
            log_event(
                "replica_paused",
                "WARNING",
                replica=replica.replica_id,
                service=self.service,
                pause_s=round(end.pause_s, 2),
            )
        self.availability.end_send(replica, end.failure in ("", "rejected"), now)

    def _avoid_silent_zone(self, zone: str, now: float) -> None:
        """Avoid a data centre if neither its daemons nor one of its replicas can be reached.

        Otherwise each of its replicas holds a batch until the attempt to connect times out.
        """
        if zone not in self.silent_zones:
            return
        for member in self.members.values():
            if member.replica.zone == zone:
                member.avoid_until = max(member.avoid_until, now + ZONE_BACKOFF_S)

    def _retry(self, job: Job, segment: int, now: float) -> str | None:
        """Queue a piece again; returns ``failed`` if it must not be sent again."""
        if segment in job.waiting:
            return None
        if job.sends.get(segment, 0) >= MAX_PIECE_SENDS or not self.retry_budget.try_acquire(now):
            return "failed"
        job.requeue(segment)
        return None

    def _log_call(self, member: PoolReplica, end: BatchEnded, now: float) -> None:
        reasons = [getattr(item, "reason", type(item).__name__) for item in end.outcomes or ()]
        log_event(
            "stage_call_ended",
            service=self.service,
            replica=end.replica_id,
            pieces=len(end.pieces),
            took_ms=round(end.duration_s * 1000),
            room_kb=round(member.result_memory.available_bytes(now) / 1000),
            waiting=self.queue.waiting_pieces(),
            failure=end.failure,
            not_made=",".join(item for item in reasons if item != "Made"),
        )

    def fail_without_replicas(self) -> list[JobEnd]:
        """End the work for which the pool has no replica left, instead of letting it wait until late.

        Calls in progress in evacuated data centres are finished.
        """
        if self._admitted():
            return []
        found = [key for key, job in self.queue.jobs.items() if job.waiting or not self.members]
        return [JobEnd(self.queue.drop(key), "failed") for key in found]

    def release_unstarted(self) -> list[Job]:
        """Remove and return the work of which no piece was sent to a replica."""
        found = [job for job in self.queue.jobs.values() if not any(job.sends.values())]
        for job in found:
            self.queue.drop(job.key)
        return found

    def requeue_overdue(self, now: float) -> None:
        """Requeue the pieces of calls that take much longer than expected."""
        if not self._admitted():
            return
        for member in self.members.values():
            limit = OVERDUE_FACTOR * member.expected_s + OVERDUE_MARGIN_S
            if member.pieces is None or member.overdue or now - member.started < limit:
                continue
            member.overdue = True
            member.slowness, member.slowness_updated_at = OVERDUE_FACTOR, now
            log_event(
                "stage_call_overdue",
                "WARNING",
                replica=member.replica.replica_id,
                pieces=len(member.pieces),
                expected_ms=round(member.expected_s * 1000),
            )
            for piece in member.pieces:
                job = self.queue.jobs.get(JobKey(piece.request_id, piece.stage))
                if job is not None and piece.segment not in job.handles:
                    self._retry(job, piece.segment, now)

    def expire(self, now: float) -> list[JobEnd]:
        """End the work that is past its deadline or too late to be useful."""
        return [JobEnd(job, "late") for job in self.queue.expire(now)]

    def wait_s(self, new: Reservation, now: float) -> float:
        """Return the seconds until the pool has finished the work ahead of new work."""
        admitted = self._admitted()
        if not admitted:
            return NO_REPLICA_WAIT_S
        ready_at = {item: max(item.avoid_until, self._sends_from(item, now)) for item in admitted}
        usable = [item for item, at in ready_at.items() if at <= now]
        if not usable:
            busy = min(NO_REPLICA_WAIT_S, min(ready_at.values()) - now)
        elif any(item.pieces is None for item in usable):
            busy = 0.0
        else:
            busy = min(item.started + item.expected_s - now for item in usable)
        speed = self._speed(usable, now)
        return max(0.0, busy) + self.queue.wait_s(new, speed, now)

    def pieces_per_s(self, now: float) -> float:
        """Return what the replicas that get work do with full calls, at least what one does."""
        batch = self.queue.limits.batch
        return self._speed(self._reachable(now), now) * batch / self.queue.expected_s(batch)

    def _reachable(self, now: float) -> list[PoolReplica]:
        return [item for item in self.members.values() if item.avoid_until <= now]

    def _speed(self, usable: list[PoolReplica], now: float) -> float:
        """Return the number of replicas at the expected speed that do as much as these.

        It is below one only if limits allow no more.
        """
        fast = [item for item in usable if item.slowness_at(now) < SLOWNESS_LIMIT]
        speed = sum(self._speed_of(item, now) for item in fast or usable)
        limits = self.limit_view.value
        limited = usable and all(incarnation_of(item.replica) in limits for item in usable)
        return speed if limited else max(1.0, speed)

    def _speed_of(self, member: PoolReplica, now: float) -> float:
        """Return the work of a replica relative to one at the expected speed."""
        speed = 1.0 / max(1.0, member.slowness_at(now))
        limit = self.limit_view.value.get(incarnation_of(member.replica))
        if limit is None:
            return speed
        full_call_s = self.queue.expected_s(self.queue.limits.batch)
        return min(speed, max(limit, MIN_RATE_PER_S) * full_call_s)

    def release_results(self, address: str, handles: tuple[str, ...]) -> bool:
        """Release the memory of results that the replica at ``address`` has freed.

        :return: whether the replica is one of this pool.
        """
        found = [item for item in self.members.values() if item.replica.address == address]
        for member in found:
            for handle in handles:
                member.result_memory.free(handle)
        return bool(found)

    def close(self) -> None:
        """Close the connections to the replicas."""
        for member in self.members.values():
            member.worker.close()
