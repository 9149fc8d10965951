"""What the filters tell the controller of the limits that replicas name."""

from greengagehoist.gateway import MISDIRECTED, ReplicaReply
from greengagehoist.gateway.controllers import LimitObserved
from greengagehoist.replicas import Incarnation, Replica, Unlimited, incarnation_of
from greengagehoist.utils import Controller, Published


class SendLimitGate:
    """Keeps the limits that replicas name for all daemons together.

    :param limits: controller of the limits.
    :param view: published limits in force.
    """

    def __init__(self, limits: Controller, view: Published[dict[Incarnation, float]]):
        self.limits = limits
        self.view = view

    def is_limited(self, replica: Replica) -> bool:
        """Return whether a limit of the replica is in force."""
        return incarnation_of(replica) in self.view.value

    def observe(
        self, replica: Replica, status: int, reply: ReplicaReply, is_own: bool, sent_at: float
    ) -> None:
        """Report what an answer says about the limit of its replica.

        :param is_own: whether it is the answer to the request that was sent.
        :param sent_at: time at which that request was sent.
        """
        if status == MISDIRECTED:
            # Another replica answers at this address.
            return
        if isinstance(reply.limit, Unlimited) and not (is_own and self.is_limited(replica)):
            return
        self.limits.tell(LimitObserved(replica, reply.limit, sent_at))
