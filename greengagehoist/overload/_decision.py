"""Decision whether a request is admitted, from what the owners of its pools expect."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from greengagehoist.pieces import estimate_completion_s

# Estimated lateness up to which a request is admitted.
LATE_TOLERANCE_S = 0.0
# No request is refused if its longest expected wait at a pool is below this.
MIN_BACKLOG_S = 0.1
# Like MIN_BACKLOG_S, for a request that can no longer be answered in time. Its work goes after that
# of the others, so it may wait for longer; beyond this, much of it is begun and not finished.
MIN_LATE_BACKLOG_S = 1.2
# Clients wait for at most this fraction of the time that they have left before they come back.
HONOURED_FRACTION = 1 / 3
# Shortest Retry-After; a client that comes back sooner meets the same queue.
MIN_RETRY_AFTER_S = 0.1


class Need(NamedTuple):
    """What a request needs in order to be answered in time.

    :param services: pool of each stage.
    :param dependencies: for each stage, the stages that must end first.
    :param durations_s: run time of each stage without queueing; 0 if the request skips it.
    :param first_event_s: seconds from the end of the stages to the beginning of the answer.
    :param due_in_s: seconds until the answer should begin.
    :param left_s: seconds until the client gives up.
    """

    services: Sequence[str]
    dependencies: Sequence[Sequence[int]]
    durations_s: Sequence[float]
    first_event_s: float
    due_in_s: float
    left_s: float

    @property
    def can_be_in_time(self) -> bool:
        """Whether the answer would begin in time at idle pools."""
        fastest_s = estimate_completion_s(
            self.dependencies, self.durations_s, [0.0] * len(self.services)
        )
        return fastest_s + self.first_event_s <= self.due_in_s


class PoolWait(NamedTuple):
    """What the owner of a pool says about new work.

    :param wait_s: seconds until the work may start.
    :param room_s: seconds until the pool expects room for the work if it is refused now.
    """

    wait_s: float
    room_s: float


@dataclass(frozen=True, slots=True)
class Admit:
    """The request is to be run.

    :param completion_s: expected seconds until all its stages have ended.
    """

    completion_s: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request must not be run.

    :param retry_after_s: seconds after which the client should come back.
    :param promised: whether room is reserved for it then.
    :param late_s: seconds by which the answer would be late.
    :param wait_s: longest expected wait at a pool.
    """

    retry_after_s: float
    promised: bool
    late_s: float
    wait_s: float


Decision = Admit | Refuse


def longest_retry_after_s(left_s: float) -> float:
    """Return the longest Retry-After that a client with ``left_s`` seconds left honours."""
    return max(MIN_RETRY_AFTER_S, HONOURED_FRACTION * left_s)


def decide(need: Need, waits: Mapping[str, PoolWait]) -> Decision:
    """Return whether a request is admitted.

    :param waits: by pool; a pool whose owner has not answered counts as idle.
    """
    waits_s = [waits[item].wait_s if item in waits else 0.0 for item in need.services]
    completion_s = estimate_completion_s(need.dependencies, need.durations_s, waits_s)
    longest_wait_s = max((item.wait_s for item in waits.values()), default=0.0)
    late_s = completion_s + need.first_event_s - need.due_in_s
    negligible_s = MIN_BACKLOG_S if need.can_be_in_time else MIN_LATE_BACKLOG_S
    can_end = completion_s + need.first_event_s <= need.left_s
    if late_s <= LATE_TOLERANCE_S or (can_end and longest_wait_s < negligible_s):
        return Admit(completion_s)
    room_s = max(item.room_s for item in waits.values())
    longest_s = longest_retry_after_s(need.left_s)
    # Without room in time the client still comes back as late as it can: the overload may be over.
    retry_after_s = max(MIN_RETRY_AFTER_S, min(room_s, longest_s))
    return Refuse(retry_after_s, room_s <= longest_s, late_s, longest_wait_s)
