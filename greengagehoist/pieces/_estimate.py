"""Estimate of the time at which the stages of a request have ended."""

from collections.abc import Sequence


def stages_end_s(
    starts_after: Sequence[Sequence[int]], usual_s: Sequence[float], waits_s: Sequence[float]
) -> float:
    """Return the seconds until all stages of a new request have ended.

    A pool works on its queue while the earlier stages run, so a stage starts at the later of their
    end and of the end of what goes before it in its pool.

    :param starts_after: for each stage the stages at whose end it starts, without cycles.
    :param usual_s: time of each stage without waiting in seconds, 0 if the request leaves it out.
    :param waits_s: time until the pool of each stage has done what goes before the request.
    """
    ends: dict[int, float] = {}

    def end(number: int) -> float:
        if number not in ends:
            ready = max((end(before) for before in starts_after[number]), default=0.0)
            start = max(ready, waits_s[number]) if usual_s[number] else ready
            ends[number] = start + usual_s[number]
        return ends[number]

    return max((end(number) for number in range(len(usual_s))), default=0.0)
