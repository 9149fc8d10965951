"""Controller that knows the limits which replicas have named for all daemons together."""

from typing import Any, NamedTuple

from greengagehoist.replicas import (
    Incarnation,
    Replica,
    SendLimit,
    SendLimits,
    UnreadableLimit,
    incarnation_of,
)
from greengagehoist.utils import Clock, Controller, Published, Reply, log_event, show_value


class LimitObserved(NamedTuple):
    """Report what a replica's answer says about its limit.

    :param sent_at: time at which the request was sent.
    """

    replica: Replica
    limit: SendLimit
    sent_at: float


class SendLimitController(Controller):
    """Collects the limits of replicas.

    :ivar view: published limits in force, in requests a second.
    """

    def __init__(self, clock: Clock):
        super().__init__("send_limits")
        self.clock = clock
        self.view: Published[dict[Incarnation, float]] = Published({})
        self._limits = SendLimits()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case LimitObserved():
                self._observe(message)

    def _observe(self, message: LimitObserved) -> None:
        replica, limit = message.replica, message.limit
        key = incarnation_of(replica)
        if not self._limits.observe(key, limit, message.sent_at, self.clock.monotonic()):
            return
        if isinstance(limit, UnreadableLimit):
            log_event(
                "replica_limit_unreadable",
                "WARNING",
                replica=replica.replica_id,
                value=show_value(limit.text),
            )
            return
        self._publish(key)

    def _publish(self, changed: Incarnation) -> None:
        self.view.value = self._limits.in_force()
        limit = self.view.value.get(changed)
        if limit is None:
            log_event("replica_limit_ended", replica=changed[0])
        else:
            log_event("replica_limited", "WARNING", replica=changed[0], limit_per_s=limit)
