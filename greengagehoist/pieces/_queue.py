"""Queue of one stage pool: orders the pieces and forms batches for the replicas."""

from typing import NamedTuple

from greengagehoist.deployment import PoolLimits
from greengagehoist.pieces._types import Piece, StageWork

# A piece waits at least this long for a replica in the zone where its result is read.
ZONE_WAIT_S = 0.12
# Longest such wait of a piece that still meets its due time.
MAX_ZONE_WAIT_S = 0.25
# The longer wait ends this long before the latest start that meets the due time.
ZONE_SLACK_S = 0.15
# Among work of equal rank, a replica treats work of its own zone as due this much earlier.
ZONE_PREFERENCE_S = 0.3
# Least fraction of a possible batch to send when the free result memory limits the batch.
MIN_BATCH_FILL = 0.5
# Late work is kept for at least this fraction of the time from its queueing to its deadline.
MIN_LATE_WAIT = 0.25
# Waiting work is dropped this long after it was due.
LATE_RETENTION_S = 0.8
# Assumed utilization of the replicas: calls are not always full, and replicas wait for memory and
# for messages.
PLANNED_UTILIZATION = 0.8
# Work counts as due this much later for each step of its rank. A strict order by rank makes work
# that was admitted before late, and starves the last rank.
RANK_HEAD_START_S = 0.1


class JobKey(NamedTuple):
    """Identity of the work of one stage of one request."""

    request_id: str
    stage: int


class Reservation(NamedTuple):
    """Pieces that a request will submit when its earlier stages have ended.

    :param due: time at which the results should exist, in seconds on the monotonic clock.
    :param rank: 0 for the most urgent requests; negative for those that go before them.
    :param excess: whether the tenant is above its usual share of the pool.
    :param promised: whether the work is done by ``due`` though the answer is late: room for it was
        promised when an earlier attempt of the client was refused.
    :param origin: VM of the daemon that has received the request, empty for this daemon.
    """

    pieces: int
    rank: int
    due: float
    excess: bool = False
    promised: bool = False
    origin: str = ""


class Job:
    """Progress of the work of one stage of one request.

    :param origin: VM of the daemon that waits for the results, empty for this daemon.
    :param queued_at: time at which the work was queued, in seconds on the monotonic clock.
    :param reserved: reservation of the request, None if there is none.
    :ivar rank: rank in the queue.
    :ivar due: time at which the results should exist.
    :ivar waiting: segments that wait for a call.
    :ivar handles: handles of the results by segment.
    :ivar sends: number of sends by segment.
    """

    __slots__ = ("due", "excess", "handles", "origin", "queued_at", "rank", "sends", "waiting")
    __slots__ += ("work",)

    def __init__(
        self, work: StageWork, origin: str, queued_at: float, reserved: Reservation | None = None
    ):
        self.excess = reserved is not None and reserved.excess
        self.rank = work.rank if reserved is None else min(work.rank, reserved.rank)
        self.due = work.due
        if reserved is not None and reserved.promised:
            self.due = max(work.due, reserved.due)
        self.work = work
        self.origin = origin
        self.queued_at = queued_at
        self.waiting = list(work.segments)
        self.handles: dict[int, str] = {}
        self.sends: dict[int, int] = {}

    @property
    def key(self) -> JobKey:
        return JobKey(self.work.request_id, self.work.stage)

    @property
    def is_done(self) -> bool:
        """Whether all results exist."""
        return len(self.handles) == len(self.work.segments)

    def add_result(self, segment: int, handle: str) -> None:
        """Record the result of a piece; the piece is not sent again."""
        self.handles[segment] = handle
        if segment in self.waiting:
            self.waiting.remove(segment)

    def requeue(self, segment: int) -> None:
        """Queue a piece for another call, unless it is queued already."""
        if segment not in self.waiting:
            self.waiting.append(segment)

    def uncount_send(self, segment: int) -> None:
        """Undo the count of a send that no replica has worked on."""
        self.sends[segment] = max(0, self.sends.get(segment, 0) - 1)

    def ordered_handles(self) -> tuple[str, ...]:
        """Return the handles in the order of the segments."""
        return tuple(self.handles[item] for item in self.work.segments)


class PoolQueue:
    """Stage work of one service, waiting or in progress.

    :param limits: limits of one replica.
    """

    def __init__(self, limits: PoolLimits):
        self.limits = limits
        self.jobs: dict[JobKey, Job] = {}
        self.reserved: dict[str, Reservation] = {}

    def reserve(self, request_id: str, reservation: Reservation) -> None:
        """Record future work, so that the wait estimates of later requests include it."""
        self.reserved[request_id] = reservation

    def add(self, work: StageWork, origin: str, now: float) -> Job:
        """Queue the pieces of a stage; replaces an earlier submission of the same stage."""
        reserved = self.reserved.pop(work.request_id, None)
        job = Job(work, origin, now, reserved)
        self.jobs[job.key] = job
        if reserved is not None and reserved.pieces > len(work.segments):
            left = reserved.pieces - len(work.segments)
            self.reserved[work.request_id] = reserved._replace(pieces=left)
        return job

    def drop(self, key: JobKey) -> Job | None:
        """Remove the work of a stage."""
        return self.jobs.pop(key, None)

    def drop_request(self, request_id: str) -> list[Job]:
        """Remove all work and the reservation of a request."""
        self.reserved.pop(request_id, None)
        found = [key for key in self.jobs if key.request_id == request_id]
        return [self.jobs.pop(key) for key in found]

    def drop_origin(self, vm: str) -> list[Job]:
        """Remove all work that the daemon of ``vm`` waits for, and its reservations."""
        for request_id in [key for key, item in self.reserved.items() if item.origin == vm]:
            del self.reserved[request_id]
        found = [key for key, job in self.jobs.items() if job.origin == vm]
        return [self.jobs.pop(key) for key in found]

    def waiting_pieces(self) -> int:
        """Return the number of pieces that wait for a call."""
        return sum(len(job.waiting) for job in self.jobs.values())

    def wait_s(self, new: Reservation, replicas: float, now: float) -> float:
        """Return the seconds in which ``replicas`` replicas finish the work ahead of new work.

        Reserved work counts as well: it arrives before or together with the new work.

        :param replicas: above 0; below 1 if limits keep the replicas from working all the time.
        """
        new_key = self._reserved_key(new, now)
        pieces = sum(
            len(job.waiting) for job in self.jobs.values() if self._job_key(job, now) <= new_key
        )
        pieces += sum(
            item.pieces
            for item in self.reserved.values()
            if self._reserved_key(item, now) <= new_key
        )
        calls = pieces / self.limits.batch
        busy = calls * self.limits.call_s + pieces * self.limits.piece_s
        return busy / (PLANNED_UTILIZATION * replicas)

    def expected_s(self, pieces: int) -> float:
        """Return the duration of a call with ``pieces`` pieces at a replica of usual speed."""
        return self.limits.call_s + pieces * self.limits.piece_s

    def expire(self, now: float) -> list[Job]:
        """Remove and return the work that cannot end by its deadline or is too late to be useful.

        Work that still waits ``LATE_RETENTION_S`` after it was due would take capacity from work
        that can still be in time.
        """
        overdue = [key for key, item in self.reserved.items() if item.due + LATE_RETENTION_S <= now]
        for key in overdue:
            del self.reserved[key]
        late = [
            key
            for key, job in self.jobs.items()
            if not self._can_end(job, now) or (job.waiting and self._abandon_at(job) <= now)
        ]
        return [self.jobs.pop(key) for key in late]

    def _can_end(self, job: Job, now: float) -> bool:
        run_s = self.expected_s(min(len(job.waiting), self.limits.batch)) if job.waiting else 0.0
        return now + run_s < job.work.deadline

    def _waits_for_zone(self, job: Job, zone: str, zones: frozenset[str], now: float) -> bool:
        read_zone = job.work.zone
        if read_zone in ("", zone) or read_zone not in zones:
            return False
        latest_start = job.due - self.expected_s(min(len(job.waiting), self.limits.batch))
        spare = latest_start - ZONE_SLACK_S
        return now < job.queued_at + ZONE_WAIT_S or now < min(
            spare, job.queued_at + MAX_ZONE_WAIT_S
        )

    def _abandon_at(self, job: Job) -> float:
        # A client's retry may be late from the start; it then waits for spare capacity.
        min_wait = MIN_LATE_WAIT * (job.work.deadline - job.queued_at)
        return max(job.due + LATE_RETENTION_S, job.queued_at + min_wait)

    def _job_key(self, job: Job, now: float) -> tuple[bool, bool, float]:
        return self._sort_key(len(job.waiting), job.rank, job.due, job.excess, now)

    def _reserved_key(self, item: Reservation, now: float) -> tuple[bool, bool, float]:
        return self._sort_key(item.pieces, item.rank, item.due, item.excess, now)

    def _sort_key(
        self, pieces: int, rank: int, due: float, excess: bool, now: float
    ) -> tuple[bool, bool, float]:
        """Return the sort key of work.

        In-time work goes before late work, then tenants within their usual share before others,
        then by due time, with a head start for urgent ranks.
        """
        late = now + self.expected_s(min(pieces, self.limits.batch)) > due
        return late, excess, due + RANK_HEAD_START_S * rank

    def pop_batch(
        self, zone: str, zones: frozenset[str], free_bytes: float, idle: int, now: float
    ) -> tuple[Piece, ...]:
        """Remove and return the pieces of the next call to a replica.

        Work that can still meet its due time goes before late work; then tenants within their usual
        share, then those that are due first, with a head start for urgent ranks. Work whose results
        are read in another zone waits ``ZONE_WAIT_S`` for a replica there, or up to
        ``MAX_ZONE_WAIT_S`` if it still meets its due time.

        :param zone: data centre of the replica.
        :param zones: data centres with replicas that accept calls.
        :param free_bytes: memory that the results may take.
        :param idle: number of replicas without a call, including this one. If they cannot take all
            waiting pieces, the work of one stage may be split to fill the call; otherwise it stays
            together, which saves the next stage transfers.
        """
        ready = [
            job
            for job in self.jobs.values()
            if job.waiting
            and self._can_end(job, now)
            and not self._waits_for_zone(job, zone, zones, now)
        ]

        def order(job: Job) -> tuple[bool, bool, float]:
            *urgency, due = self._job_key(job, now)
            preference_s = ZONE_PREFERENCE_S if job.work.zone == zone else 0.0
            return *urgency, due - preference_s

        ready.sort(key=order)
        waiting = sum(len(job.waiting) for job in ready)
        chosen: list[tuple[Job, int]] = []
        for job in ready:
            fits = len(job.waiting)
            if job.work.result_bytes > 0:
                fits = min(fits, int(max(0.0, free_bytes) / job.work.result_bytes))
            count = min(fits, self.limits.batch - sum(number for _, number in chosen))
            whole = count == len(job.waiting)
            if count > 0 and (whole or not chosen or waiting > idle * self.limits.batch):
                chosen.append((job, count))
                free_bytes -= count * job.work.result_bytes
        taken = sum(number for _, number in chosen)
        if taken < MIN_BATCH_FILL * min(waiting, self.limits.batch):
            # A small call costs the replica almost as much as a full one. Wait until results are
            # freed, which happens soon.
            return ()
        return tuple(piece for job, count in chosen for piece in _dequeue(job, count, now))


def _dequeue(job: Job, count: int, now: float) -> list[Piece]:
    work, pieces = job.work, []
    for segment in job.waiting[:count]:
        job.sends[segment] = job.sends.get(segment, 0) + 1
        left = work.deadline - now
        pieces.append(Piece(work.request_id, work.stage, segment, work.key, work.inputs, left))
    del job.waiting[:count]
    return pieces
