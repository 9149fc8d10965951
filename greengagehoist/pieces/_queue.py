"""Queue of one stage pool: order of the pieces and batches for its replicas."""

from typing import NamedTuple

from greengagehoist.deployment import PoolLimits
from greengagehoist.pieces._types import Piece, StageWork

# Time for which a piece waits for a replica in the zone where its result is read, in seconds.
ZONE_WAIT_S = 0.12
# Longest such wait of a piece that would still end in time.
LONGEST_ZONE_WAIT_S = 0.25
# Time before its latest start from which a piece does not wait that long.
ZONE_SLACK_S = 0.15
# Among equally urgent work, a replica prefers what is due this much later in its own zone.
ZONE_HEAD_START_S = 0.3
# Part of what could be sent that a call must hold, if memory for results bounds it.
LEAST_FILL = 0.5
# Part of its remaining time for which late work waits at least.
RETRY_PATIENCE = 0.25
# Time after which late work is given up while it waits.
LATE_LIFE_S = 0.8
# Part of the replicas' time that is planned for: calls are not always full, and replicas wait for
# memory and for messages.
USED_TIME = 0.8


class JobKey(NamedTuple):
    """Identity of the work of one stage of one request."""

    request_id: str
    stage: int


class Reservation(NamedTuple):
    """Pieces that a request will submit when its earlier stages have ended.

    :param due: instant at which the results should exist, in seconds.
    """

    pieces: int
    rank: int
    due: float


class Job:
    """Stage work in progress.

    :param origin: VM of the daemon that waits for the results, empty for the own one.
    :param since: instant at which the work was queued, in seconds.
    """

    __slots__ = ("handles", "origin", "sends", "since", "waiting", "work")

    def __init__(self, work: StageWork, origin: str, since: float):
        self.work = work
        self.origin = origin
        self.since = since
        self.waiting = list(work.segments)
        self.handles: dict[int, str] = {}
        self.sends: dict[int, int] = {}

    @property
    def key(self) -> JobKey:
        """Identity of the work."""
        return JobKey(self.work.request_id, self.work.stage)

    @property
    def is_done(self) -> bool:
        """Whether all results exist."""
        return len(self.handles) == len(self.work.segments)

    def add_result(self, segment: int, handle: str) -> None:
        """Note a result; the piece is not made again."""
        self.handles[segment] = handle
        if segment in self.waiting:
            self.waiting.remove(segment)

    def wait(self, segment: int) -> None:
        """Queue a piece for another call."""
        if segment not in self.waiting:
            self.waiting.append(segment)

    def forget_send(self, segment: int) -> None:
        """Take back the count of a send that no replica has worked on."""
        self.sends[segment] = max(0, self.sends.get(segment, 0) - 1)

    def ordered_handles(self) -> tuple[str, ...]:
        """Return the handles in the order of the segments."""
        return tuple(self.handles[item] for item in self.work.segments)


class PoolQueue:
    """The waiting pieces of one service.

    :param limits: limits of one replica.
    """

    def __init__(self, limits: PoolLimits):
        self.limits = limits
        self.jobs: dict[JobKey, Job] = {}
        self.reserved: dict[str, Reservation] = {}

    def reserve(self, request_id: str, reservation: Reservation) -> None:
        """Note work that will come, so that later requests know of it."""
        self.reserved[request_id] = reservation

    def add(self, work: StageWork, origin: str, now: float) -> Job:
        """Queue the pieces of a stage; a repeated submission replaces the first."""
        job = Job(work, origin, now)
        self.jobs[job.key] = job
        reserved = self.reserved.pop(work.request_id, None)
        if reserved is not None and reserved.pieces > len(work.segments):
            left = reserved.pieces - len(work.segments)
            self.reserved[work.request_id] = reserved._replace(pieces=left)
        return job

    def drop(self, key: JobKey) -> Job | None:
        """Forget the work of a stage."""
        return self.jobs.pop(key, None)

    def drop_request(self, request_id: str) -> list[Job]:
        """Forget all work of a request."""
        self.reserved.pop(request_id, None)
        found = [key for key in self.jobs if key.request_id == request_id]
        return [self.jobs.pop(key) for key in found]

    def drop_origin(self, vm: str) -> list[Job]:
        """Forget all work that the daemon of ``vm`` waits for."""
        found = [key for key, job in self.jobs.items() if job.origin == vm]
        return [self.jobs.pop(key) for key in found]

    def waiting_pieces(self) -> int:
        """Return the number of pieces that no replica works on."""
        return sum(len(job.waiting) for job in self.jobs.values())

    def wait_s(self, new: Reservation, replicas: float, now: float) -> float:
        """Return the time in which ``replicas`` replicas finish what goes before new work.

        Reserved work counts as well: it arrives before or together with the new work.
        """
        mine = self._order(new.pieces, new.rank, new.due, now)
        pieces = sum(
            len(job.waiting)
            for job in self.jobs.values()
            if self._order(len(job.waiting), job.work.rank, job.work.due, now) <= mine
        )
        pieces += sum(
            item.pieces
            for item in self.reserved.values()
            if self._order(item.pieces, item.rank, item.due, now) <= mine
        )
        calls = pieces / self.limits.batch
        busy = calls * self.limits.call_s + pieces * self.limits.piece_s
        return busy / (USED_TIME * max(1.0, replicas))

    def expected_s(self, pieces: int) -> float:
        """Return the time of one call with ``pieces`` pieces at a replica of usual speed."""
        return self.limits.call_s + pieces * self.limits.piece_s

    def expire(self, now: float) -> list[Job]:
        """Forget the work that is not worth doing any more and return it.

        Work that still waits ``LATE_LIFE_S`` after it was due takes the place of work in time.
        """
        overdue = [key for key, item in self.reserved.items() if item.due + LATE_LIFE_S <= now]
        for key in overdue:
            del self.reserved[key]
        late = [
            key
            for key, job in self.jobs.items()
            if job.work.deadline <= now or (job.waiting and self._gives_up_at(job) <= now)
        ]
        return [self.jobs.pop(key) for key in late]

    def _waits_for_zone(self, job: Job, zone: str, zones: frozenset[str], now: float) -> bool:
        wanted = job.work.zone
        if wanted in ("", zone) or wanted not in zones:
            return False
        start_by = job.work.due - self.expected_s(min(len(job.waiting), self.limits.batch))
        spare = start_by - ZONE_SLACK_S
        return now < job.since + ZONE_WAIT_S or now < min(spare, job.since + LONGEST_ZONE_WAIT_S)

    def _gives_up_at(self, job: Job) -> float:
        # A client's further attempt is late from the start; it waits for spare capacity.
        patience = RETRY_PATIENCE * (job.work.deadline - job.since)
        return max(job.work.due + LATE_LIFE_S, job.since + patience)

    def _order(self, pieces: int, rank: int, due: float, now: float) -> tuple[bool, int, float]:
        """Return the sort key of work: late work goes last, then rank and due time decide."""
        late = now + self.expected_s(min(pieces, self.limits.batch)) > due
        return late, rank, due

    def take_batch(
        self, zone: str, zones: frozenset[str], room_bytes: float, idle: int, now: float
    ) -> tuple[Piece, ...]:
        """Take the pieces of the next call at a replica.

        Work that can still end when it is due goes before work that is late; then the most
        urgent requests go first, then those that are due first. Large results wait for a replica
        in the zone where they are read, for ``ZONE_WAIT_S``,
        or longer if they still end in time.

        :param zone: data centre of the replica.
        :param zones: data centres with replicas that take calls.
        :param room_bytes: memory that the results may take.
        :param idle: replicas without a call, this one included. While they cannot take all that
            waits, the work of one stage is split to fill the call; otherwise it stays together,
            which spares the next stage transfers.
        """
        ready = [
            job
            for job in self.jobs.values()
            if job.waiting and not self._waits_for_zone(job, zone, zones, now)
        ]

        def order(job: Job) -> tuple[bool, int, float]:
            late, rank, due = self._order(len(job.waiting), job.work.rank, job.work.due, now)
            return late, rank, due - (ZONE_HEAD_START_S if job.work.zone == zone else 0.0)

        ready.sort(key=order)
        waiting = sum(len(job.waiting) for job in ready)
        chosen: list[tuple[Job, int]] = []
        for job in ready:
            fitting = len(job.waiting)
            if job.work.result_bytes > 0:
                fitting = min(fitting, int(max(0.0, room_bytes) / job.work.result_bytes))
            count = min(fitting, self.limits.batch - sum(number for _, number in chosen))
            whole = count == len(job.waiting)
            if count > 0 and (whole or not chosen or waiting > idle * self.limits.batch):
                chosen.append((job, count))
                room_bytes -= count * job.work.result_bytes
        taken = sum(number for _, number in chosen)
        if taken < LEAST_FILL * min(waiting, self.limits.batch):
            # A small call costs the replica almost as much as a full one; results are freed soon.
            return ()
        return tuple(piece for job, count in chosen for piece in _take(job, count, now))


def _take(job: Job, count: int, now: float) -> list[Piece]:
    work, pieces = job.work, []
    for segment in job.waiting[:count]:
        job.sends[segment] = job.sends.get(segment, 0) + 1
        left = work.deadline - now
        pieces.append(Piece(work.request_id, work.stage, segment, work.key, work.inputs, left))
    del job.waiting[:count]
    return pieces
