"""Decides after a failed send whether to resend, to resume or what to tell the client."""

from dataclasses import dataclass
from typing import NamedTuple

from greengagehoist.deployment import Idempotent, NonIdempotent, RouteKind, Streaming

# No replica can answer in less time than this.
MIN_TIME_LEFT_S = 0.03


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
    """The answer started and ended before it was complete."""


@dataclass(frozen=True, slots=True)
class Withheld:
    """No byte was sent, because the replica may not get requests any more.

    It counts as no send: another replica is chosen as if this one had not been.
    """


SendEnd = NotSent | Rejected | Lost | Broken


@dataclass(frozen=True, slots=True)
class SendAgain:
    """Send the request to another replica.

    :param resume: whether to continue the stream after the last event that the client got.
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
    """Reset the client's connection, because its answer has started and cannot be completed."""


NextStep = SendAgain | RefuseNotRun | FailUnknown | AbortAnswer


class SendState(NamedTuple):
    """State of the request after its latest send.

    :param may_have_run: replicas that may have run the request, this send included.
    :param sends: replicas that the request was sent to, this send included.
    :param time_left_s: seconds until the request's final answer is due.
    :param budget_left: whether the shared retry budget allows one more send.
    :param answer_started: whether the client has received the beginning of an answer.
    :param can_resume: whether another replica can continue an answer that has started.
    """

    may_have_run: int
    sends: int
    max_attempts: int
    time_left_s: float
    budget_left: bool
    answer_started: bool = False
    can_resume: bool = True


# Rejections and failed connections do not count as attempts, so sends have a limit of their own.
MAX_SENDS = 8


def is_retryable(kind: RouteKind) -> bool:
    """Return whether a request of this kind may run more than once."""
    match kind:
        case Idempotent():
            return True
        case NonIdempotent():
            return False
        case Streaming(resumable=resumable):
            return resumable


def decide_next(kind: RouteKind, end: SendEnd, state: SendState) -> NextStep:
    """Return the next step after a send that did not bring a complete answer."""
    can_send = state.sends < MAX_SENDS and state.time_left_s > MIN_TIME_LEFT_S
    can_send = can_send and (state.can_resume or not state.answer_started)
    not_run = state.may_have_run == 0
    may_run = not_run or is_retryable(kind)
    attempts_left = state.may_have_run < state.max_attempts
    match end:
        case NotSent():
            resend = can_send and may_run and attempts_left
        case Rejected():
            resend = can_send and may_run and state.budget_left
        case Lost() | Broken():
            resend = can_send and is_retryable(kind) and attempts_left and state.budget_left
    if resend:
        return SendAgain(resume=state.answer_started)
    if state.answer_started:
        return AbortAnswer()
    return RefuseNotRun() if not_run else FailUnknown()
