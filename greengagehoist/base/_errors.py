"""Errors that calls return as the failure value of a ``Result``."""

import enum
from datetime import timedelta
from typing import NamedTuple


class Outcome(enum.StrEnum):
    """What is known about the execution of a failed request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorCode(enum.StrEnum):
    """Stable error codes that client programs may branch on."""

    INVALID = "invalid"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    KEY_REUSED = "key_reused"
    OVER_PLAN = "over_plan"
    QUIET_HOURS = "quiet_hours"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline_exceeded"
    UNAVAILABLE = "unavailable"
    TARGET_FAILED = "target_failed"
    CONNECTION = "connection"
    PLATFORM = "platform"
    DRAINING = "draining"


class StepError(NamedTuple):
    """A failure, with the step and the peer at which it occurred.

    :param step: filter, stage or controller in which the failure occurred.
    :param peer: address or name of the remote end, empty if none was involved.
    :param outcome: whether the request was executed.
    :param code: stable error code.
    :param message: human-readable description, one line.
    :param retry_after: delay after which a retry may succeed, or None if unknown.
    """

    step: str
    peer: str
    outcome: Outcome
    code: ErrorCode
    message: str
    retry_after: timedelta | None = None

    @property
    def retry_safe(self) -> bool:
        """True if the caller may send the request again without running it twice."""
        return self.outcome is Outcome.NOT_RUN and self.code not in {
            ErrorCode.INVALID,
            ErrorCode.UNAUTHENTICATED,
            ErrorCode.FORBIDDEN,
            ErrorCode.NOT_FOUND,
            ErrorCode.KEY_REUSED,
        }


def not_run(step: str, code: ErrorCode, message: str, *, peer: str = "", after=None) -> StepError:
    """Build an error for a request that was definitely not executed.

    :param after: :class:`datetime.timedelta` after which a retry may succeed, or None.
    """
    return StepError(step, peer, Outcome.NOT_RUN, code, message, after)


def unknown(step: str, code: ErrorCode, message: str, *, peer: str = "") -> StepError:
    """Build an error for a request whose execution could not be determined."""
    return StepError(step, peer, Outcome.UNKNOWN, code, message)
