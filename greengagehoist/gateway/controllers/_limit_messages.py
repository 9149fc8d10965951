"""Messages of the controller that keeps the limits which replicas name, and reports of its peers."""

import math
from typing import NamedTuple

from greengagehoist.peers import ReplicaLimit
from greengagehoist.replicas import ColdRule, LimitState, Replica, SendLimit


class LimitObserved(NamedTuple):
    """Report what a replica's answer says about its limit.

    :param sent_at: time at which the request was sent.
    """

    replica: Replica
    limit: SendLimit
    sent_at: float


class ColdObserved(NamedTuple):
    """Report for how long a replica states to be cold.

    :param cold_s: seconds, NaN if it states no time.
    """

    replica: Replica
    cold_s: float


class SetColdRule(NamedTuple):
    """Change the bounds of cold replicas, None for no rule."""

    rule: ColdRule | None


class AcquireSend(NamedTuple):
    """Ask for a permit to send one request to a replica with a limit.

    Replied by ``Granted | Refused``.

    :param rank: 0 is the most urgent.
    :param max_wait_s: seconds for which the request can wait, 0 to ask for a permit now.
    :param ticket: identifies the ask in :class:`CancelAcquire`, 0 if it is never cancelled.
    """

    replica: Replica
    rank: int
    max_wait_s: float = 0.0
    ticket: int = 0


class CancelAcquire(NamedTuple):
    """Give up waiting for a permit."""

    ticket: int


def decode_limit_state(report: ReplicaLimit, now: float) -> LimitState | None:
    """Return the state that a peer reports, None if its numbers make no sense."""
    ended_age_s = report.ended_age_s if report.ended_age_s is not None else math.inf
    numbers = (report.per_s, report.named_age_s, ended_age_s)
    if any(math.isnan(item) or item < 0 for item in numbers) or math.isinf(report.per_s):
        return None
    return LimitState(report.per_s, now - report.named_age_s, now - ended_age_s)
