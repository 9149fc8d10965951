"""Times of a daemon's stop, and the test whether an answer can be complete before its end."""

from typing import NamedTuple

DEFAULT_GRACE_S = 30.0
# Part of the grace period after the last answer: refusals on idle connections, the hand-over of
# state and the end of the process.
MAX_RESERVE_S = 7.0
MAX_RESERVE_SHARE = 0.25
# Longest parts of the reserve; the hand-over has the rest.
MAX_LINGER_S = 0.5
MAX_EXIT_S = 1.0
MAX_LINGER_SHARE = 0.15
MAX_EXIT_SHARE = 0.25


class StopTimes(NamedTuple):
    """Times of a stop on the monotonic clock, in seconds.

    :param refuse_at: from here on, no request is accepted.
    :param answers_by: every answer must be complete.
    :param hand_over_from: latest begin of the hand-over of state.
    :param hand_over_by: the hand-over ends, and the listeners close.
    :param ends: the process must have ended.
    """

    refuse_at: float
    answers_by: float
    hand_over_from: float
    hand_over_by: float
    ends: float


def plan_stop(now: float, drain_delay: float, grace: float) -> StopTimes:
    """Return the times of a stop that begins now.

    :param drain_delay: seconds for which requests are still accepted.
    :param grace: seconds after which the process is killed if it has not ended.
    """
    answers_by = now + answer_time(grace)
    ends = now + grace
    reserve = ends - answers_by
    return StopTimes(
        refuse_at=min(now + drain_delay, answers_by),
        answers_by=answers_by,
        # One linger for the delivery of the last answers, one for refusals on idle connections.
        hand_over_from=answers_by + 2 * min(MAX_LINGER_S, reserve * MAX_LINGER_SHARE),
        hand_over_by=ends - min(MAX_EXIT_S, reserve * MAX_EXIT_SHARE),
        ends=ends,
    )


def answer_time(grace: float) -> float:
    """Return the seconds of a grace period in which requests may be answered."""
    return grace - min(MAX_RESERVE_S, grace * MAX_RESERVE_SHARE)


def can_answer(now: float, deadline: float, expected: float, answers_by: float) -> bool:
    """Return whether a request that begins now has its whole answer before the stop's end.

    At its deadline, a request is answered with a failure, so it needs no longer than that.

    :param expected: seconds that such requests take, infinite if that is not known.
    """
    return min(now + expected, deadline) <= answers_by
