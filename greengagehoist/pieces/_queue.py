"""Queue of one stage pool: order of the pieces and batches for its replicas."""

from typing import NamedTuple

from greengagehoist.deployment import PoolLimits
from greengagehoist.pieces._types import Piece, StageWork


class JobKey(NamedTuple):
    """Identity of the work of one stage of one request."""

    request_id: str
    stage: int


class Job:
    """Stage work in progress.

    :param origin: VM of the daemon that waits for the results, empty for the own one.
    """

    __slots__ = ("handles", "origin", "sends", "waiting", "work")

    def __init__(self, work: StageWork, origin: str):
        self.work = work
        self.origin = origin
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

    def add(self, work: StageWork, origin: str) -> Job:
        """Queue the pieces of a stage; a repeated submission replaces the first."""
        job = Job(work, origin)
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

    def take_batch(self, zone: str, now: float) -> tuple[Piece, ...]:
        """Take the pieces of the next call: the most urgent requests first, then the earliest due.

        :param zone: data centre of the replica; among equally urgent work, pieces whose results
            are read there go first.
        """
        ready = [job for job in self.jobs.values() if job.waiting]
        ready.sort(key=lambda job: (job.work.rank, job.work.due))
        if ready:
            rank = ready[0].work.rank
            ready.sort(key=lambda job: (job.work.rank, _is_elsewhere(job, rank, zone)))
        taken: list[Piece] = []
        for job in ready:
            while job.waiting and len(taken) < self.limits.batch:
                segment = job.waiting.pop(0)
                job.sends[segment] = job.sends.get(segment, 0) + 1
                work = job.work
                taken.append(
                    Piece(
                        work.request_id,
                        work.stage,
                        segment,
                        work.key,
                        work.inputs,
                        work.deadline - now,
                    )
                )
        return tuple(taken)


def _is_elsewhere(job: Job, rank: int, zone: str) -> bool:
    return job.work.rank == rank and job.work.zone not in ("", zone)
