"""Messages of the controller that keeps the limits which replicas name."""

from typing import NamedTuple

from greengagehoist.replicas import ColdRule, Replica, SendLimit


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
