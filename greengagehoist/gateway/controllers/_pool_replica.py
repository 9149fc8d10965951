"""State of one replica of a stage pool."""

from greengagehoist.gateway.controllers._pool_worker import WITHHELD, BatchEnded, PoolWorker
from greengagehoist.pieces import Piece, ResultMemory
from greengagehoist.replicas import Replica
from greengagehoist.utils import log_event

# Weight of a new sample in the moving average of a replica's slowness.
SLOWNESS_SMOOTHING = 0.4
# Slowness decays with this half-life, so that a replica that has recovered is tried again.
SLOWNESS_HALF_LIFE_S = 3.0
MIN_BACKOFF_S = 0.3
MAX_BACKOFF_S = 2.0
REJECTED_BACKOFF_S = 0.05


class PoolReplica:
    """A replica of the pool as its owner sees it."""

    __slots__ = ("asks_permit", "avoid_until", "expected_s", "failures", "overdue")
    __slots__ += ("permit_until", "pieces", "replica")
    __slots__ += ("result_memory", "slowness_updated_at", "slowness", "started", "worker")

    def __init__(self, replica: Replica, worker: PoolWorker, result_memory: ResultMemory):
        self.replica = replica
        self.worker = worker
        self.result_memory = result_memory
        self.pieces: tuple[Piece, ...] | None = None
        self.started = 0.0
        self.expected_s = 0.0
        self.overdue = False
        self.slowness = 1.0
        self.slowness_updated_at = 0.0
        self.failures = 0
        self.avoid_until = 0.0
        self.asks_permit = False
        self.permit_until = 0.0

    def slowness_at(self, now: float) -> float:
        """Return the duration of the replica's calls relative to the expected one."""
        decay = 0.5 ** ((now - self.slowness_updated_at) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self.slowness - 1.0) * decay

    def observe(self, end: BatchEnded, now: float) -> None:
        """Update the slowness or the back-off of the replica from the end of a call."""
        if not end.failure:
            self.failures = 0
            sample = end.duration_s / max(0.001, self.expected_s)
            current = self.slowness_at(now)
            self.slowness = current + SLOWNESS_SMOOTHING * (sample - current)
            self.slowness_updated_at = now
            return
        if end.failure == WITHHELD:
            return
        backoff = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self.failures)
        if end.failure == "rejected":
            backoff = REJECTED_BACKOFF_S
        else:
            self.failures += 1
        self.avoid_until = now + backoff
        log_event(
            "stage_call_failed",
            "WARNING",
            replica=end.replica_id,
            failure=end.failure,
            pieces=len(end.pieces),
            duration_ms=round(end.duration_s * 1000),
        )
