"""Estimate of the time that the stages of a request take."""

from collections.abc import Sequence


def estimate_completion_s(
    predecessors: Sequence[Sequence[int]], durations_s: Sequence[float], waits_s: Sequence[float]
) -> float:
    """Return the seconds until all stages of a new request have ended.

    Pools work through their queues while earlier stages run, so a stage starts as soon as its
    predecessors have ended and its pool has finished the work queued ahead of it.

    :param predecessors: for each stage, the stages that must end first; must be acyclic.
    :param durations_s: run time of each stage, excluding queueing; 0 if the request skips it.
    :param waits_s: time until the pool of each stage has finished the work ahead of the request.
    """
    ends: dict[int, float] = {}

    def end(stage: int) -> float:
        if stage not in ends:
            ready = max((end(predecessor) for predecessor in predecessors[stage]), default=0.0)
            start = max(ready, waits_s[stage]) if durations_s[stage] else ready
            ends[stage] = start + durations_s[stage]
        return ends[stage]

    return max((end(stage) for stage in range(len(durations_s))), default=0.0)
