"""Controller that runs the work of stage pools in batches, together with the other daemons."""

from collections.abc import Callable
from typing import Any, NamedTuple

from greengagehoist.deployment import DeploymentSnapshot
from greengagehoist.gateway import WireFormat
from greengagehoist.gateway.controllers._limit_messages import (
    AcquireSend,
    ColdObserved,
    LimitObserved,
)
from greengagehoist.gateway.controllers._owned_pool import JobEnd, OwnedPool
from greengagehoist.gateway.controllers._owned_pools import OwnedPools
from greengagehoist.gateway.controllers._pool_messages import (
    PEER_MESSAGES,
    CancelStages,
    FreeResults,
    Leave,
    ReserveStages,
    StageEnd,
    StagePlan,
    SubmitStage,
    from_reservation,
    to_reservation,
    to_submission,
    to_work,
)
from greengagehoist.gateway.controllers._pool_owners import PoolOwners
from greengagehoist.gateway.controllers._pool_worker import BatchEnded, PoolWorker
from greengagehoist.gateway.controllers._reach import Reach, ReachChanged
from greengagehoist.gateway.controllers._replicas import ReplicasChanged
from greengagehoist.gateway.controllers._reservations import Reservations
from greengagehoist.gateway.controllers._results import (
    FreeHandles,
    ResultController,
    ResultsFreed,
)
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.overload import AdmissionCounts, PoolWait, sum_counts
from greengagehoist.peers import (
    FromPeer,
    Goodbye,
    SendTo,
    StageCancel,
    StageFree,
    StageReserve,
    StageResult,
    StageSubmit,
    StageWaitTimes,
    Subscribe,
)
from greengagehoist.pieces import Job, JobKey, StageWork
from greengagehoist.replicas import Granted, Incarnation, Refused, Replica, ReplicaTable
from greengagehoist.retries import RetryBudget
from greengagehoist.utils import Clock, Controller, Published, Reply, Tick, log_event, tick

TICK_S = 0.1
# Work is submitted again if the owner has not answered for this long: the answer may have been lost
# with a link that was replaced.
RESUBMIT_S = 0.6
# Timeout of a reservation; allows for several round trips between data centres.
RESERVE_TIMEOUT_S = 0.05
# Longest wait for a permit to call a replica with a limit.
MAX_PERMIT_WAIT_S = 1.0
# Reason of a stage result whose work has gone back to its daemon, because the pool has a new owner.
MOVED = "moved"


class _ReserveTimeout(NamedTuple):
    request_id: str


class _PermitDecided(NamedTuple):
    service: str
    replica: Replica
    decision: Granted | Refused


class _Pending:
    """Stage work of one of this daemon's requests that has not ended."""

    __slots__ = ("owner", "reply", "sent_at", "work")

    def __init__(self, work: StageWork, reply: Reply):
        self.work = work
        self.reply = reply
        self.owner = ""
        self.sent_at = 0.0


class PoolController(Controller):
    """Runs the stage work of the pools that this daemon owns and sends other work to its owner.

    Each pool has one owner by rendezvous hashing over the daemons that can reach each other, so
    that batches are filled across daemons. If two daemons disagree on the owner, both run calls:
    replicas queue or reject the surplus calls, and a piece may be computed twice.

    :param vm: name of the own VM.
    :param topology: the hubs, which own all pools where there are any.
    :param limits: controller of the limits that replicas name.
    :param limit_view: published limits in force.
    :param make_retry_budget: builds the retry budget of the pieces of one pool.
    :param evacuated: published data centres whose replicas get no calls.
    :param data_centre: data centre of the own VM.
    :ivar admissions: published counts of the requests that asked for the owned pools.
    """

    def __init__(
        self,
        snapshot: Published[DeploymentSnapshot | None],
        table: Published[ReplicaTable],
        peers: Controller,
        wire: WireFormat,
        clock: Clock,
        vm: str,
        topology: Topology,
        limits: Controller,
        limit_view: Published[dict[Incarnation, float]],
        make_retry_budget: Callable[[], RetryBudget],
        evacuated: Published[frozenset[str]] | None = None,
        data_centre: str = "",
    ):
        super().__init__("pools")
        self.table = table
        self.peers = peers
        self.wire = wire
        self.clock = clock
        self.vm = vm
        self.data_centre = data_centre
        self.limits = limits
        self._owners = PoolOwners(vm, topology, clock)
        self.evacuated = evacuated or Published(frozenset())
        self._owned = OwnedPools(
            snapshot, table, make_retry_budget, self._make_worker, limit_view, self.evacuated
        )
        self._pending: dict[JobKey, _Pending] = {}
        # Stages by request whose results the request has received.
        self._delivered: dict[str, set[int]] = {}
        self._reservations = Reservations()
        self._results = ResultController(wire, clock, self)
        self.admissions = Published(AdmissionCounts())

    async def run(self) -> None:
        """Handle messages until cancelled."""
        self.peers.tell(Subscribe(PEER_MESSAGES, self))
        self.start(tick(self, self.clock, TICK_S))
        self.start(self._results.run())
        try:
            await super().run()
        finally:
            for pool in self._owned:
                pool.close()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case SubmitStage(work):
                self._submit(work, reply)
            case FromPeer(vm, zone, _, sent):
                self._handle_peer_message(vm, zone, sent)
            case BatchEnded():
                self._handle_batch_end(message)
            case _PermitDecided():
                self._apply_permit(message)
            case ReserveStages():
                self._reserve(message, reply)
            case _ReserveTimeout(request_id):
                self._end_reservation(request_id)
            case CancelStages():
                self._cancel(message)
            case FreeResults(service, handles):
                self._free_results(service, handles)
            case ReachChanged(reach):
                self._set_reach(reach)
            case Leave():
                self._owners.leaving = True
                self._hand_over()
            case ResultsFreed(address, handles):
                for pool in self._owned:
                    if pool.release_results(address, handles):
                        self._start_calls(pool)
            case ReplicasChanged():
                for pool in self._owned:
                    self._owned.sync(pool)
                    self._start_calls(pool)
            case Tick():
                self._tick()

    # Work of this daemon's requests.

    def _reserve(self, message: ReserveStages, reply: Reply) -> None:
        plans_by_owner: dict[str, list[StagePlan]] = {}
        for plan in message.plans:
            plans_by_owner.setdefault(self._owners.owner_of(plan.service), []).append(plan)
        request_id = message.request_id
        self._reservations.open(request_id, [plan.service for plan in message.plans], reply)
        for owner, plans in plans_by_owner.items():
            if not owner:
                wait_s = self._owners.hub_wait_s()
                wait = PoolWait(wait_s, wait_s)
                self._reservations.add_waits(request_id, ((p.service, wait) for p in plans))
                continue
            if owner == self.vm:
                now = self.clock.monotonic()
                waits = self._owned.reserve(message, plans, self.data_centre, now)
                self._reservations.add_waits(request_id, waits.items())
                continue
            self._reservations.add_owner(request_id, owner)
            sent = to_reservation(message, plans, self.clock.monotonic())
            self.peers.tell(SendTo(owner, sent))
        if self._reservations.is_open(request_id):
            self.start(self._start_reservation_timeout(request_id))

    async def _start_reservation_timeout(self, request_id: str) -> None:
        await self.clock.sleep(RESERVE_TIMEOUT_S)
        self.tell(_ReserveTimeout(request_id))

    def _end_reservation(self, request_id: str) -> None:
        missing = self._reservations.close(request_id)
        if missing:
            log_event(
                "reservation_unanswered",
                "WARNING",
                request=request_id,
                owners=",".join(sorted(self._owners.owner_of(service) for service in missing)),
            )

    def _submit(self, work: StageWork, reply: Reply) -> None:
        pending = _Pending(work, reply)
        self._pending[JobKey(work.request_id, work.stage)] = pending
        self._dispatch(pending)

    def _dispatch(self, pending: _Pending) -> None:
        work = pending.work
        pending.owner = self._owners.owner_of(work.service)
        if pending.owner == self.vm:
            self._enqueue(work, "")
            return
        pending.sent_at = self.clock.monotonic()
        if not pending.owner:
            return
        sent = to_submission(work, pending.sent_at)
        self.start(self._send(pending, sent))

    async def _send(self, pending: _Pending, sent: StageSubmit) -> None:
        if not await self.peers.ask(SendTo(pending.owner, sent)):
            self._owners.exclude(pending.owner)
            if JobKey(sent.request_id, sent.stage) in self._pending:
                self._dispatch(pending)

    def _is_awaited(self, key: JobKey, attempt: int) -> bool:
        pending = self._pending.get(key)
        return pending is not None and pending.work.attempt == attempt

    def _resolve(self, key: JobKey, end: StageEnd) -> bool:
        pending = self._pending.pop(key, None)
        if pending is None:
            return False
        self._delivered.setdefault(key.request_id, set()).add(key.stage)
        pending.reply(end)
        return True

    def _cancel(self, message: CancelStages) -> None:
        request_id = message.request_id
        self._delivered.pop(request_id, None)
        owners = self._reservations.drop(request_id)
        if not message.reserved:
            owners = set()
        for key in [item for item in self._pending if item.request_id == request_id]:
            owners.add(self._pending.pop(key).owner)
        sent = StageCancel(request_id, message.refused, message.returns_in_s)
        self._drop_request(sent)
        for owner in owners - {self.vm}:
            self.peers.tell(SendTo(owner, sent))

    def _drop_request(self, message: StageCancel) -> None:
        request_id, now = message.request_id, self.clock.monotonic()
        if message.refused:
            self._free(self._owned.refuse(request_id, message.returns_in_s, now))
        else:
            self._free(self._owned.drop_request(request_id))

    # Messages of peers.

    def _handle_peer_message(self, vm: str, zone: str, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case StageSubmit():
                self._accept(to_work(message, now), vm)
            case StageResult():
                end = StageEnd(message.handles, message.reason)
                key = JobKey(message.request_id, message.stage)
                # The answer to a repeated submission names results in use, which must not be freed.
                if self._is_awaited(key, message.attempt):
                    self._handle_stage_end(vm, key, end)
                elif key.stage not in self._delivered.get(key.request_id, ()):
                    self._free_results(message.service, message.handles)
            case StageReserve(request_id, services):
                reservation = from_reservation(message, now)
                found = self._owned.reserve(reservation, reservation.plans, zone, now, vm)
                waits = [found.get(service, PoolWait(0.0, 0.0)) for service in services]
                answer = StageWaitTimes(
                    request_id,
                    services,
                    tuple(item.wait_s for item in waits),
                    tuple(item.room_s for item in waits),
                )
                self.peers.tell(SendTo(vm, answer))
            case StageWaitTimes(request_id, services, waits_s, rooms_s):
                waits = map(PoolWait, waits_s, rooms_s)
                self._reservations.add_waits(request_id, zip(services, waits, strict=False))
            case StageFree(_, handles):
                self._free(handles)
            case StageCancel():
                self._drop_request(message)
            case Goodbye():
                # The peer still finishes the work that it has started.
                self._owners.exclude(vm)

    def _handle_stage_end(self, vm: str, key: JobKey, end: StageEnd) -> None:
        pending = self._pending[key]
        if end.reason != MOVED:
            self._resolve(key, end)
        elif pending.owner == vm:
            # The return of a former owner must not restart the work of the present one.
            self._move(pending)

    def _set_reach(self, reach: Reach) -> None:
        self._owned.set_silent_zones(reach.silent_zones)
        for vm in self._owners.set_reach(reach):
            self._free(self._owned.drop_origin(vm))
        for pending in list(self._pending.values()):
            if pending.owner != self.vm and pending.owner not in reach.linked:
                self._move(pending)
        self._hand_over()

    def _move(self, pending: _Pending) -> None:
        if pending.owner:
            log_event(
                "stage_moved",
                request=pending.work.request_id,
                stage=pending.work.stage,
                owner=pending.owner,
            )
        self._dispatch(pending)

    def _hand_over(self) -> None:
        """Give the work that has not started back to its daemons if its pool has a new owner.

        Two owners would send the replicas calls that are not full and wait for each other.
        """
        for pool in self._owned:
            if self._owners.owner_of(pool.service) in ("", self.vm):
                continue
            for job in pool.release_unstarted():
                if job.origin:
                    work = job.work
                    result = StageResult(
                        work.request_id, work.service, work.stage, (), MOVED, work.attempt
                    )
                    self.peers.tell(SendTo(job.origin, result))
                elif job.key in self._pending:
                    self._move(self._pending[job.key])

    # Work of the pools that this daemon owns.

    def _make_worker(self, replica: Replica) -> PoolWorker:
        return PoolWorker(replica, self.wire, self.clock, self, self.evacuated)

    def _accept(self, work: StageWork, vm: str) -> None:
        """Queue a peer's work; answer a repeated submission without doing the work again."""
        job, result = self._owned.find_job(work), self._owned.find_result(work)
        if job is not None:
            job.origin = vm
        elif result is not None:
            self.peers.tell(SendTo(vm, result))
        else:
            self._enqueue(work, vm)

    def _enqueue(self, work: StageWork, origin: str) -> None:
        pool, now = self._owned.get(work.service), self.clock.monotonic()
        if pool is None:
            log_event("stage_without_pool", "WARNING", service=work.service)
            self._end_job(JobEnd(Job(work, origin, now), "failed"))
            return
        pool.retry_budget.observe_request(now)
        pool.queue.add(work, origin, now)
        self._start_calls(pool)

    def _start_calls(self, pool: OwnedPool) -> None:
        if self._owned.knows_replicas:
            for job_end in pool.fail_without_replicas():
                self._end_job(job_end)
        for member in pool.next_calls(self.table.value.replicas, self.clock.monotonic()):
            self.start(member.worker.run_batch(member.pieces, member.expected_s))
        for member in pool.permits_to_ask(self.table.value.replicas, self.clock.monotonic()):
            self.start(self._ask_permit(pool.service, member.replica))

    async def _ask_permit(self, service: str, replica: Replica) -> None:
        """Ask for a permit before a batch is assigned, so that no piece waits for it."""
        decision = await self.limits.ask(AcquireSend(replica, 0, MAX_PERMIT_WAIT_S))
        self.tell(_PermitDecided(service, replica, decision))

    def _apply_permit(self, message: _PermitDecided) -> None:
        pool, now = self._owned.get(message.service), self.clock.monotonic()
        if pool is None:
            return
        match message.decision:
            case Granted():
                pool.end_permit_ask(message.replica, None, now)
            case Refused(retry_after_s):
                pool.end_permit_ask(message.replica, now + retry_after_s, now)
        self._start_calls(pool)

    def _handle_batch_end(self, end: BatchEnded) -> None:
        for pool in self._owned:
            member = pool.members.get(end.replica_id)
            effect = pool.end_call(end, self.clock.monotonic())
            if effect is None:
                continue
            if end.limit is not None:
                self.limits.tell(LimitObserved(member.replica, end.limit, end.sent_at))
            if end.cold_s is not None:
                self.limits.tell(ColdObserved(member.replica, end.cold_s))
            for job_end in effect.ends:
                self._end_job(job_end)
            self._free(effect.orphaned)
            self._owned.sync(pool)
            self._start_calls(pool)
            return

    def _end_job(self, end: JobEnd) -> None:
        """Report the end of the work of a stage to the request or the peer that waits for it."""
        job, reason = end
        handles = () if reason else job.ordered_handles()
        if reason:
            self._free(tuple(job.handles.values()))
        if not job.origin:
            if not self._resolve(job.key, StageEnd(handles, reason)):
                self._free(handles)
            return
        work = job.work
        result = StageResult(
            work.request_id, work.service, work.stage, handles, reason, work.attempt
        )
        if not reason:
            self._owned.keep_result(job, result, self.clock.monotonic())
        self.peers.tell(SendTo(job.origin, result))

    # Periodic work.

    def _tick(self) -> None:
        now = self.clock.monotonic()
        for pool in self._owned:
            for job_end in pool.expire(now):
                self._end_job(job_end)
            pool.requeue_overdue(now)
            self._start_calls(pool)
        for key, pending in list(self._pending.items()):
            if pending.work.deadline <= now:
                self._resolve(key, StageEnd((), "late"))
            elif pending.owner != self.vm and self._must_submit_again(pending, now):
                self._dispatch(pending)
        self._owned.expire_results(now)
        self.admissions.value = sum_counts(pool.admission.counts for pool in self._owned)

    def _must_submit_again(self, pending: _Pending, now: float) -> bool:
        if not pending.owner:
            return bool(self._owners.owner_of(pending.work.service))
        return now - pending.sent_at > RESUBMIT_S

    def _free_results(self, service: str, handles: tuple[str, ...]) -> None:
        """Free results through the owner of their pool, which tracks the replicas' memory."""
        if not handles:
            return
        owner = self._owners.owner_of(service)
        if owner in ("", self.vm):
            self._free(handles)
        else:
            self.peers.tell(SendTo(owner, StageFree(service, handles)))

    def _free(self, handles: tuple[str, ...]) -> None:
        if handles:
            self._results.tell(FreeHandles(handles))
