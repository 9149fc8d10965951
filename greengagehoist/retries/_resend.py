"""What follows the end of a send: send again, resume, or which answer is truthful."""

from dataclasses import dataclass
from typing import NamedTuple

from greengagehoist.deployment import Idempotent, NonIdempotent, RouteKind, Streaming

# An attempt with less time than this left cannot be answered by another replica.
LEAST_TIME_S = 0.03


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request can have reached the replica."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The replica stated that it did not run the request.

    :param inputs_gone: whether a result that the request needs no longer exists.
    """

    inputs_gone: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run, and no answer has started."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The answer has started and ended early."""


SendEnd = NotSent | Rejected | Lost | Broken


@dataclass(frozen=True, slots=True)
class SendAgain:
    """Send the request to another replica.

    :param resume: whether to go on after the last event that was passed on.
    """

    resume: bool = False


@dataclass(frozen=True, slots=True)
class RefuseNotRun:
    """Tell the client that the request has not run."""


@dataclass(frozen=True, slots=True)
class FailUnknown:
    """Tell the client that the request may have run."""


@dataclass(frozen=True, slots=True)
class AbortAnswer:
    """Break the client's connection: its answer has started and cannot be completed."""


NextStep = SendAgain | RefuseNotRun | FailUnknown | AbortAnswer


class SendState(NamedTuple):
    """What earlier sends of the request leave open.

    :param may_have_run: replicas that may have run the request, this send included.
    :param sends: replicas that the request was sent to, this send included.
    :param time_left_s: until the request's final answer is due.
    :param budget_left: whether the shared budget allows one more repeat.
    :param answer_started: whether the client got the beginning of an answer, of any send.
    """

    may_have_run: int
    sends: int
    max_attempts: int
    time_left_s: float
    budget_left: bool
    answer_started: bool = False


# Rejections and failed connections do not count as attempts, so they need a bound of their own.
MOST_SENDS = 8


def may_repeat(kind: RouteKind) -> bool:
    """Return whether requests of this kind may run more than once."""
    match kind:
        case Idempotent():
            return True
        case NonIdempotent():
            return False
        case Streaming(resumable=resumable):
            return resumable


def decide_next(kind: RouteKind, end: SendEnd, state: SendState) -> NextStep:
    """Return what follows the end of a send that brought no whole answer."""
    room = state.sends < MOST_SENDS and state.time_left_s > LEAST_TIME_S
    unrun = state.may_have_run == 0
    may_go_on = unrun or may_repeat(kind)
    attempts_left = state.may_have_run < state.max_attempts
    match end:
        case NotSent():
            again = room and may_go_on and attempts_left
        case Rejected():
            again = room and may_go_on and state.budget_left
        case Lost() | Broken():
            again = room and may_repeat(kind) and attempts_left and state.budget_left
    if again:
        return SendAgain(resume=state.answer_started)
    if state.answer_started:
        return AbortAnswer()
    return RefuseNotRun() if unrun else FailUnknown()
