"""Controller that runs the work of stage pools in batches, together with the other daemons."""

from collections.abc import Callable
from typing import Any, NamedTuple

from greengagehoist.deployment import Knowledge
from greengagehoist.gateway import WireFormat
from greengagehoist.gateway.controllers._pool_worker import BatchEnded, PoolWorker, ResultFreer
from greengagehoist.gateway.controllers._reach import Reach, ReachChanged
from greengagehoist.gateway.controllers._replicas import ReplicasChanged
from greengagehoist.peers import (
    FromPeer,
    Goodbye,
    SendTo,
    StageCancel,
    StageFree,
    StageResult,
    StageSubmit,
    Subscribe,
)
from greengagehoist.pieces import (
    InputGone,
    Job,
    JobKey,
    Made,
    NotMade,
    Piece,
    PoolQueue,
    Room,
    StageWork,
    TooLate,
)
from greengagehoist.replicas import Book, Replica, rendezvous_rank
from greengagehoist.retries import RepeatWindow
from greengagehoist.utils import Clock, Controller, Published, Reply, Tick, log_event, tick

TICK_S = 0.1
# A call that takes this many times its usual duration is repeated at another replica.
OVERDUE_FACTOR = 2.5
OVERDUE_MARGIN_S = 0.15
# Part of a new sample in the running slowness of a replica.
SLOWNESS_SMOOTHING = 0.4
# A replica that is slower than this gets work only while no other one is idle.
SLOW = 1.8
# Slowness is forgotten with this half-life, so that a replica that has recovered is tried again.
SLOWNESS_HALF_LIFE_S = 3.0
FIRST_AVOID_S = 0.3
LONGEST_AVOID_S = 2.0
REJECTED_PAUSE_S = 0.05
# A peer that has not answered for this long gets the work again: the answer may be lost with a
# link that was replaced.
RESUBMIT_S = 0.6
# Time for which results are kept for such a repeated submission.
FINISHED_LIFE_S = 3.0
# Ranks whose backlogs are told apart; less urgent ones count as the last.
BACKLOG_RANKS = 4
# A piece that failed this often is given up.
MOST_PIECE_SENDS = 6


class SubmitStage(NamedTuple):
    """Ask for the results of a stage; replied by :class:`StageEnd`."""

    work: StageWork


class StageEnd(NamedTuple):
    """End of a stage.

    :param handles: in the order of the segments; empty if the stage failed.
    :param reason: why it failed: ``""``, ``gone``, ``late`` or ``failed``.
    """

    handles: tuple[str, ...]
    reason: str


class CancelStages(NamedTuple):
    """Drop the waiting stage work of a request that has ended."""

    request_id: str


class FreeResults(NamedTuple):
    """Free results of a service that no request needs any more."""

    service: str
    handles: tuple[str, ...]


class GetBacklogs(NamedTuple):
    """Ask how long new work waits at services; replied by seconds for each of them.

    :param rank: rank of the new work.
    """

    services: tuple[str, ...]
    rank: int


class Leave(NamedTuple):
    """Give the own pools up: new work goes to other daemons."""


class _Freed(NamedTuple):
    address: str
    handles: tuple[str, ...]
    ok: bool


class _Backlog(NamedTuple):
    seconds: tuple[float, ...]
    at: float


class _Finished(NamedTuple):
    """Results that were sent to a peer, which may not have received them."""

    result: StageResult
    inputs: tuple[str, ...]
    expires: float


class _Pending:
    """Own stage work whose results this daemon waits for."""

    __slots__ = ("owner", "reply", "sent_at", "work")

    def __init__(self, work: StageWork, reply: Reply):
        self.work = work
        self.reply = reply
        self.owner = ""
        self.sent_at = 0.0


class _Member:
    """A replica of a pool as its owner sees it."""

    __slots__ = ("avoid_until", "expected_s", "failures", "overdue", "pieces", "replica")
    __slots__ += ("room", "slow_at", "slowness", "started", "worker")

    def __init__(self, replica: Replica, worker: PoolWorker, room: Room):
        self.replica = replica
        self.worker = worker
        self.room = room
        self.pieces: tuple[Piece, ...] | None = None
        self.started = 0.0
        self.expected_s = 0.0
        self.overdue = False
        self.slowness = 1.0
        self.slow_at = 0.0
        self.failures = 0
        self.avoid_until = 0.0


class _Pool:
    def __init__(self, queue: PoolQueue, repeats: RepeatWindow):
        self.queue = queue
        self.repeats = repeats
        self.members: dict[str, _Member] = {}


class PoolController(Controller):
    """Collects the pieces of all daemons for the pools that this one owns, and sends the others on.

    Each pool has one owner by rendezvous hashing over the daemons that can reach each other, so
    that calls are filled across daemons. Two daemons that disagree on the owner both work: replicas
    queue or reject the surplus calls, and a piece may be made twice.

    :param vm: name of the own VM.
    :param hubs: published names of the VMs whose daemons may own pools.
    :param repeats: builds the budget of repeated pieces of one pool.
    """

    def __init__(
        self,
        known: Published[Knowledge | None],
        book: Published[Book],
        peers: Controller,
        wire: WireFormat,
        clock: Clock,
        vm: str,
        hubs: Published[frozenset[str]],
        repeats: Callable[[], RepeatWindow],
    ):
        super().__init__("pools")
        self.known = known
        self.book = book
        self.peers = peers
        self.wire = wire
        self.clock = clock
        self.vm = vm
        self.hubs = hubs
        self.make_repeats = repeats
        self._alive: frozenset[str] = frozenset()
        self._leaving = False
        self._pools: dict[str, _Pool] = {}
        self._pending: dict[JobKey, _Pending] = {}
        self._finished: dict[JobKey, _Finished] = {}
        self._backlogs: dict[str, _Backlog] = {}
        self._to_free: dict[str, list[str]] = {}
        self._freers: dict[str, ResultFreer] = {}

    async def run(self) -> None:
        """Handle messages until cancelled."""
        self.peers.tell(
            Subscribe((StageSubmit, StageResult, StageFree, StageCancel, Goodbye), self)
        )
        self.start(tick(self, self.clock, TICK_S))
        try:
            await super().run()
        finally:
            for pool in self._pools.values():
                for member in pool.members.values():
                    member.worker.close()
            for freer in self._freers.values():
                freer.close()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case SubmitStage(work):
                self._submit(work, reply)
            case FromPeer(vm, _, _, sent):
                self._from_peer(vm, sent)
            case BatchEnded():
                self._batch_ended(message)
            case CancelStages(request_id):
                self._cancel(request_id)
            case FreeResults(service, handles):
                self._free_results(service, handles)
            case GetBacklogs(services, rank):
                reply(tuple(self._backlog(service, rank) for service in services))
            case ReachChanged(reach):
                self._set_reach(reach)
            case Leave():
                self._leaving = True
            case _Freed():
                self._freed(message)
            case ReplicasChanged():
                self._sync_members()
            case Tick():
                self._tick()

    # Work of this daemon's requests.

    def _submit(self, work: StageWork, reply: Reply) -> None:
        pending = _Pending(work, reply)
        self._pending[JobKey(work.request_id, work.stage)] = pending
        self._place(pending)

    def _place(self, pending: _Pending) -> None:
        work = pending.work
        pending.owner = self._owner_of(work.service)
        if pending.owner == self.vm:
            self._enqueue(work, "")
            return
        now = pending.sent_at = self.clock.monotonic()
        sent = StageSubmit(
            work.request_id,
            work.service,
            work.stage,
            work.segments,
            work.key,
            work.inputs,
            work.rank,
            work.due - now,
            work.deadline - now,
            work.zone,
            work.result_bytes,
        )
        self.start(self._send(pending, sent))

    async def _send(self, pending: _Pending, sent: StageSubmit) -> None:
        if not await self.peers.ask(SendTo(pending.owner, sent)):
            self._alive -= {pending.owner}
            if JobKey(sent.request_id, sent.stage) in self._pending:
                self._place(pending)

    def _owner_of(self, service: str) -> str:
        names = self._alive & self.hubs.value
        if not names or (not self._leaving and self.vm in self.hubs.value):
            names |= {self.vm}
        return max(names, key=lambda name: rendezvous_rank(service, name))

    def _resolve(self, key: JobKey, end: StageEnd) -> bool:
        pending = self._pending.pop(key, None)
        if pending is None:
            return False
        pending.reply(end)
        return True

    def _cancel(self, request_id: str) -> None:
        owners = set()
        for key in [item for item in self._pending if item.request_id == request_id]:
            owners.add(self._pending.pop(key).owner)
        self._drop(request_id)
        for owner in owners - {self.vm}:
            self.peers.tell(SendTo(owner, StageCancel(request_id)))

    def _drop(self, request_id: str) -> None:
        for pool in self._pools.values():
            for job in pool.queue.drop_request(request_id):
                self._queue_free(tuple(job.handles.values()))

    # Messages of peers.

    def _from_peer(self, vm: str, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case StageSubmit():
                work = StageWork(
                    message.request_id,
                    message.service,
                    message.stage,
                    message.segments,
                    message.key,
                    message.inputs,
                    message.rank,
                    now + message.due_in_s,
                    now + message.left_s,
                    message.zone,
                    message.result_bytes,
                )
                self._accept(work, vm)
            case StageResult():
                self._backlogs[message.service] = _Backlog(message.backlog_s, now)
                end = StageEnd(message.handles, message.reason)
                key = JobKey(message.request_id, message.stage)
                if not self._resolve(key, end) and message.handles:
                    self._free_results(message.service, message.handles)
            case StageFree(_, handles):
                self._queue_free(handles)
            case StageCancel(request_id):
                self._drop(request_id)
            case Goodbye():
                # The peer still finishes the work that it has.
                self._alive -= {vm}

    def _set_reach(self, reach: Reach) -> None:
        self._alive = reach.ready
        for pending in list(self._pending.values()):
            if pending.owner != self.vm and pending.owner not in reach.linked:
                log_event(
                    "stage_moved",
                    request=pending.work.request_id,
                    stage=pending.work.stage,
                    owner=pending.owner,
                )
                self._place(pending)

    # Work of the pools that this daemon owns.

    def _pool(self, service: str) -> _Pool | None:
        pool = self._pools.get(service)
        known = self.known.value
        listed = known.deployment.services.get(service) if known else None
        if listed is None or listed.pool is None:
            return pool
        if pool is None:
            pool = self._pools[service] = _Pool(PoolQueue(listed.pool), self.make_repeats())
            self._sync_pool(service, pool)
        pool.queue.limits = listed.pool
        return pool

    def _accept(self, work: StageWork, vm: str) -> None:
        """Queue a peer's work; answer a repeated submission without doing the work again."""
        key = JobKey(work.request_id, work.stage)
        pool = self._pools.get(work.service)
        job = pool.queue.jobs.get(key) if pool is not None else None
        if job is not None and job.work.inputs == work.inputs:
            job.origin = vm
            return
        finished = self._finished.get(key)
        if finished is not None and finished.inputs == work.inputs:
            self.peers.tell(SendTo(vm, finished.result))
            return
        self._enqueue(work, vm)

    def _enqueue(self, work: StageWork, origin: str) -> None:
        pool, now = self._pool(work.service), self.clock.monotonic()
        if pool is None:
            log_event("stage_without_pool", "WARNING", service=work.service)
            self._finish_job(work.service, Job(work, origin, now), "failed")
            return
        pool.repeats.observe_request(now)
        pool.queue.add(work, origin, now)
        self._dispatch(work.service, pool)

    def _sync_members(self) -> None:
        for service, pool in self._pools.items():
            self._sync_pool(service, pool)
            self._dispatch(service, pool)

    def _sync_pool(self, service: str, pool: _Pool) -> None:
        listed = {item.replica_id: item for item in self.book.value.of_service(service)}
        for key in pool.members.keys() - listed.keys():
            if pool.members[key].pieces is None:
                pool.members.pop(key).worker.close()
        for key, replica in listed.items():
            member = pool.members.get(key)
            if member is not None and member.pieces is not None:
                continue
            if member is None or member.replica.born_ms != replica.born_ms:
                worker = PoolWorker(replica, self.wire, self.clock, self)
                pool.members[key] = _Member(replica, worker, Room(pool.queue.limits.result_bytes))

    def _dispatch(self, service: str, pool: _Pool) -> None:
        now = self.clock.monotonic()
        listed = self.book.value.replicas
        usable = [
            member
            for key, member in pool.members.items()
            if member.avoid_until <= now and key in listed and not listed[key].leaving
        ]
        zones = frozenset(member.replica.zone for member in usable)
        idle = self._idle_by_speed(usable, now)
        for number, member in enumerate(idle):
            if not pool.queue.waiting_pieces():
                return
            room = member.room.left(now)
            batch = pool.queue.take_batch(member.replica.zone, zones, room, len(idle) - number, now)
            if not batch:
                continue
            member.pieces, member.started, member.overdue = batch, now, False
            member.expected_s = pool.queue.expected_s(len(batch))
            self.start(member.worker.run_batch(batch, member.expected_s))

    def _idle_by_speed(self, usable: list[_Member], now: float) -> list[_Member]:
        """Return the idle replicas, fast ones first; slow ones only if all are slow."""
        fast = [member for member in usable if self._slowness(member, now) < SLOW]
        idle = [member for member in fast or usable if member.pieces is None]
        return sorted(idle, key=lambda member: self._slowness(member, now))

    def _slowness(self, member: _Member, now: float) -> float:
        faded = 0.5 ** ((now - member.slow_at) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (member.slowness - 1.0) * faded

    def _batch_ended(self, end: BatchEnded) -> None:
        for service, pool in self._pools.items():
            member = pool.members.get(end.replica_id)
            if member is not None and member.pieces is end.pieces:
                self._observe(member, end)
                member.pieces = None
                self._log_batch(service, pool, member, end)
                self._apply_batch(service, pool, member, end)
                self._sync_pool(service, pool)
                self._dispatch(service, pool)
                return

    def _observe(self, member: _Member, end: BatchEnded) -> None:
        now = self.clock.monotonic()
        if end.failure:
            pause = min(LONGEST_AVOID_S, FIRST_AVOID_S * 2**member.failures)
            if end.failure == "rejected":
                pause = REJECTED_PAUSE_S
            else:
                member.failures += 1
            member.avoid_until = now + pause
            log_event(
                "stage_call_failed",
                "WARNING",
                replica=end.replica_id,
                failure=end.failure,
                pieces=len(end.pieces),
                duration_ms=round(end.duration_s * 1000),
            )
            return
        member.failures = 0
        sample = end.duration_s / max(0.001, member.expected_s)
        current = self._slowness(member, now)
        member.slowness = current + SLOWNESS_SMOOTHING * (sample - current)
        member.slow_at = now

    def _log_batch(self, service: str, pool: _Pool, member: _Member, end: BatchEnded) -> None:
        reasons = [getattr(item, "reason", type(item).__name__) for item in end.ends or ()]
        log_event(
            "stage_call_ended",
            service=service,
            replica=end.replica_id,
            pieces=len(end.pieces),
            took_ms=round(end.duration_s * 1000),
            room_kb=round(member.room.left(self.clock.monotonic()) / 1000),
            waiting=pool.queue.waiting_pieces(),
            failure=end.failure,
            not_made=",".join(item for item in reasons if item != "Made"),
        )

    def _apply_batch(self, service: str, pool: _Pool, member: _Member, end: BatchEnded) -> None:
        now = self.clock.monotonic()
        for number, piece in enumerate(end.pieces):
            job = pool.queue.jobs.get(JobKey(piece.request_id, piece.stage))
            outcome = end.ends[number] if end.ends is not None else None
            if job is None or piece.segment in job.handles:
                if isinstance(outcome, Made):
                    self._queue_free((outcome.handle,))
                continue
            match outcome:
                case Made(handle):
                    job.handles[piece.segment] = handle
                    member.room.hold(handle, job.work.result_bytes, now)
                    if piece.segment in job.waiting:
                        job.waiting.remove(piece.segment)
                    if job.is_done:
                        pool.queue.drop(job.key)
                        self._finish_job(service, job, "")
                case InputGone():
                    pool.queue.drop(job.key)
                    self._finish_job(service, job, "gone")
                case TooLate():
                    pool.queue.drop(job.key)
                    self._finish_job(service, job, "late")
                case NotMade("room"):
                    member.room.fill(now)
                    # The replica is left alone until it may have room, so this cannot go on.
                    job.sends[piece.segment] -= 1
                    self._repeat_piece(service, pool, job, piece.segment)
                case None if end.failure == "unreachable":
                    # The pieces have not arrived anywhere, so this is no repeat.
                    job.sends[piece.segment] -= 1
                    if piece.segment not in job.waiting:
                        job.waiting.append(piece.segment)
                case _:
                    self._repeat_piece(service, pool, job, piece.segment)

    def _repeat_piece(self, service: str, pool: _Pool, job: Job, segment: int) -> None:
        if segment in job.waiting:
            return
        spent = job.sends.get(segment, 0) >= MOST_PIECE_SENDS
        if spent or not pool.repeats.take(self.clock.monotonic()):
            pool.queue.drop(job.key)
            self._finish_job(service, job, "failed")
            return
        job.waiting.append(segment)

    def _finish_job(self, service: str, job: Job, reason: str) -> None:
        handles = () if reason else job.ordered_handles()
        if reason:
            self._queue_free(tuple(job.handles.values()))
        if not job.origin:
            if not self._resolve(job.key, StageEnd(handles, reason)):
                self._queue_free(handles)
            return
        work = job.work
        result = StageResult(
            work.request_id, service, work.stage, handles, reason, self._own_backlog(service)
        )
        if not reason:
            expires = self.clock.monotonic() + FINISHED_LIFE_S
            self._finished[job.key] = _Finished(result, work.inputs, expires)
        self.peers.tell(SendTo(job.origin, result))

    def _own_backlog(self, service: str) -> tuple[float, ...]:
        pool, now = self._pools.get(service), self.clock.monotonic()
        if pool is None:
            return ()
        usable = sum(member.avoid_until <= now for member in pool.members.values())
        return tuple(pool.queue.backlog_s(usable, rank, now) for rank in range(BACKLOG_RANKS))

    def _backlog(self, service: str, rank: int) -> float:
        now = self.clock.monotonic()
        if self._owner_of(service) == self.vm:
            seen = _Backlog(self._own_backlog(service), now)
        else:
            seen = self._backlogs.get(service, _Backlog((), now))
        if not seen.seconds:
            return 0.0
        return max(0.0, seen.seconds[min(rank, len(seen.seconds) - 1)] - (now - seen.at))

    # Periodic work.

    def _tick(self) -> None:
        now = self.clock.monotonic()
        for service, pool in self._pools.items():
            for job in pool.queue.expire(now):
                self._finish_job(service, job, "late")
            for member in pool.members.values():
                self._check_overdue(service, pool, member, now)
            self._dispatch(service, pool)
        for key, pending in list(self._pending.items()):
            if pending.work.deadline <= now:
                self._resolve(key, StageEnd((), "late"))
            elif pending.owner != self.vm and now - pending.sent_at > RESUBMIT_S:
                self._place(pending)
        for key in [key for key, item in self._finished.items() if item.expires <= now]:
            del self._finished[key]
        self._flush_frees()

    def _check_overdue(self, service: str, pool: _Pool, member: _Member, now: float) -> None:
        limit = OVERDUE_FACTOR * member.expected_s + OVERDUE_MARGIN_S
        if member.pieces is None or member.overdue or now - member.started < limit:
            return
        member.overdue = True
        member.slowness, member.slow_at = OVERDUE_FACTOR, now
        log_event(
            "stage_call_overdue",
            "WARNING",
            replica=member.replica.replica_id,
            pieces=len(member.pieces),
            expected_ms=round(member.expected_s * 1000),
        )
        for piece in member.pieces:
            job = pool.queue.jobs.get(JobKey(piece.request_id, piece.stage))
            if job is None or piece.segment in job.handles or piece.segment in job.waiting:
                continue
            if job.sends.get(piece.segment, 0) < MOST_PIECE_SENDS and pool.repeats.take(now):
                job.waiting.append(piece.segment)

    def _free_results(self, service: str, handles: tuple[str, ...]) -> None:
        """Free results through the owner of their pool, which keeps account of its replicas."""
        if not handles:
            return
        owner = self._owner_of(service)
        if owner == self.vm:
            self._queue_free(handles)
        else:
            self.peers.tell(SendTo(owner, StageFree(service, handles)))

    def _queue_free(self, handles: tuple[str, ...]) -> None:
        for handle in handles:
            address, _, _ = handle.partition("/")
            self._to_free.setdefault(address, []).append(handle)
        self._flush_frees()

    def _flush_frees(self) -> None:
        for address, handles in list(self._to_free.items()):
            freer = self._freers.get(address)
            if freer is None:
                host, _, port = address.rpartition(":")
                freer = self._freers[address] = ResultFreer(host, int(port), self.wire)
            if not freer.busy:
                del self._to_free[address]
                self.start(self._free(freer, address, tuple(handles)))

    async def _free(self, freer: ResultFreer, address: str, handles: tuple[str, ...]) -> None:
        ok = await freer.free(handles)
        self.tell(_Freed(address, handles, ok))

    def _freed(self, freed: _Freed) -> None:
        for pool in self._pools.values():
            for member in pool.members.values():
                if member.replica.address == freed.address:
                    for handle in freed.handles if freed.ok else ():
                        member.room.free(handle)
        if not freed.ok:
            # The replica frees results by itself when their lifetime is over.
            log_event(
                "results_not_freed", "WARNING", peer=freed.address, results=len(freed.handles)
            )
            self._freers.pop(freed.address, None)
        self._flush_frees()
