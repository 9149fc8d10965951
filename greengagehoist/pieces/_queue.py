"""Queue of one stage pool: order of the pieces and batches for its replicas."""

from typing import NamedTuple

from greengagehoist.deployment import PoolLimits
from greengagehoist.pieces._types import Piece, StageWork

# Time for which a piece waits for a replica in the zone where its result is read, in seconds.
ZONE_WAIT_S = 0.12


# Waiting batches from which the work of one stage is split to fill the calls.
SPLIT_BATCHES = 3


class JobKey(NamedTuple):
    """Identity of the work of one stage of one request."""

    request_id: str
    stage: int


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

    def add(self, work: StageWork, origin: str, now: float) -> Job:
        """Queue the pieces of a stage; a repeated submission replaces the first."""
        job = Job(work, origin, now)
        self.jobs[job.key] = job
        return job

    def drop(self, key: JobKey) -> Job | None:
        """Forget the work of a stage."""
        return self.jobs.pop(key, None)

    def drop_request(self, request_id: str) -> list[Job]:
        """Forget all work of a request."""
        found = [key for key in self.jobs if key.request_id == request_id]
        return [self.jobs.pop(key) for key in found]

    def waiting_pieces(self) -> int:
        """Return the number of pieces that no replica works on."""
        return sum(len(job.waiting) for job in self.jobs.values())

    def backlog_s(self, replicas: int) -> float:
        """Return the time in which ``replicas`` replicas finish the waiting pieces."""
        pieces = self.waiting_pieces()
        calls = pieces / self.limits.batch
        return (calls * self.limits.call_s + pieces * self.limits.piece_s) / max(1, replicas)

    def expected_s(self, pieces: int) -> float:
        """Return the time of one call with ``pieces`` pieces at a replica of usual speed."""
        return self.limits.call_s + pieces * self.limits.piece_s

    def expire(self, now: float) -> list[Job]:
        """Forget the work whose deadline has passed and return it."""
        late = [key for key, job in self.jobs.items() if job.work.deadline <= now]
        return [self.jobs.pop(key) for key in late]

    @property
    def _is_behind(self) -> bool:
        return self.waiting_pieces() > SPLIT_BATCHES * self.limits.batch

    def take_batch(
        self, zone: str, zones: frozenset[str], room_bytes: float, now: float
    ) -> tuple[Piece, ...]:
        """Take the pieces of the next call at a replica.

        The most urgent requests go first, then those that are due first. Large results wait for
        a replica in the zone where they are read, for ``ZONE_WAIT_S`` at most.

        :param zone: data centre of the replica.
        :param zones: data centres with replicas that take calls.
        :param room_bytes: memory that the results may take.
        """
        ready = [
            job
            for job in self.jobs.values()
            if job.waiting and not _waits_for_zone(job, zone, zones, now)
        ]
        ready.sort(key=lambda job: (job.work.rank, job.work.due))
        taken: list[Piece] = []
        for job in ready:
            work = job.work
            if taken and len(taken) + len(job.waiting) > self.limits.batch and not self._is_behind:
                # Results of one stage at one replica spare the next stage transfers.
                continue
            while (
                job.waiting and len(taken) < self.limits.batch and (work.result_bytes <= room_bytes)
            ):
                room_bytes -= work.result_bytes
                segment = job.waiting.pop(0)
                job.sends[segment] = job.sends.get(segment, 0) + 1
                left = work.deadline - now
                taken.append(
                    Piece(work.request_id, work.stage, segment, work.key, work.inputs, left)
                )
        return tuple(taken)


def _waits_for_zone(job: Job, zone: str, zones: frozenset[str], now: float) -> bool:
    wanted = job.work.zone
    return wanted not in ("", zone) and wanted in zones and now - job.since < ZONE_WAIT_S
