"""What the filters ask and tell the controller of the limits that replicas name."""

import asyncio
import itertools

from greengagehoist.gateway import MISDIRECTED, Exchange, ReplicaReply
from greengagehoist.gateway.controllers import (
    AcquireSend,
    CancelAcquire,
    ColdObserved,
    DeferSends,
    LimitObserved,
)
from greengagehoist.replicas import (
    MIN_RATE_PER_S,
    PERMIT_TTL_S,
    ColdState,
    Granted,
    Incarnation,
    Refused,
    Replica,
    Unlimited,
    incarnation_of,
)
from greengagehoist.utils import Clock, Controller, Published


class SendLimitGate:
    """Keeps the limits that replicas name for all daemons together.

    :param limits: controller of the limits.
    :param view: published limits in force.
    :param placement: controller that chooses the replicas.
    :param cold: published cold replicas with an allowance.
    """

    def __init__(
        self,
        limits: Controller,
        view: Published[dict[Incarnation, float]],
        placement: Controller,
        clock: Clock,
        cold: Published[dict[Incarnation, ColdState]] | None = None,
    ):
        self.cold = cold or Published({})
        self.limits = limits
        self.view = view
        self.placement = placement
        self.clock = clock
        self._tickets = itertools.count(1)

    def is_limited(self, replica: Replica) -> bool:
        """Return whether a limit of the replica is in force."""
        return incarnation_of(replica) in self.view.value

    async def acquire(
        self, exchange: Exchange, replica: Replica, max_wait_s: float = 0.0
    ) -> Granted | Refused:
        """Return whether the request may be sent to a replica, perhaps after a wait.

        After a refusal, other requests are not placed there before the time that it names.
        """
        if not self.is_limited(replica):
            return Granted()
        # Clients choose the ids of requests, so they may not be unique.
        ticket = next(self._tickets)
        try:
            decision = await self.limits.ask(
                AcquireSend(replica, exchange.rank, max_wait_s, ticket)
            )
        except asyncio.CancelledError:
            self.limits.tell(CancelAcquire(ticket))
            raise
        match decision:
            case Granted():
                exchange.progress.permit_until = self.clock.monotonic() + PERMIT_TTL_S
            case Refused(retry_after_s):
                until = self.clock.monotonic() + retry_after_s
                self.placement.tell(DeferSends(replica, until))
        return decision

    def may_send(self, exchange: Exchange, replica: Replica) -> bool:
        """Return whether the request may leave now, right before its first byte.

        For a cold replica, a permit is good for a short time only: the requests of old permits could
        arrive together.
        """
        if incarnation_of(replica) not in self.cold.value:
            return True
        return self.clock.monotonic() <= exchange.progress.permit_until

    async def wait(
        self, exchange: Exchange, replica: Replica, expected_at: float, max_wait_s: float
    ) -> bool:
        """Wait for room within the limit of a replica; returns whether the request may be sent.

        :param expected_at: time at which there may be room.
        """
        per_s = self.view.value.get(incarnation_of(replica), 0.0)
        # The next request that finds no room counts with this one ahead of it.
        later = expected_at + 1.0 / max(per_s, MIN_RATE_PER_S)
        self.placement.tell(DeferSends(replica, later))
        match await self.acquire(exchange, replica, max_wait_s):
            case Granted():
                return True
            case Refused(retry_after_s):
                if retry_after_s <= max_wait_s:
                    # The owner of the limit has not answered.
                    await self.clock.sleep(retry_after_s)
                return False

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
        if reply.cold_s is not None and (
            reply.cold_s or incarnation_of(replica) in self.cold.value
        ):
            self.limits.tell(ColdObserved(replica, reply.cold_s))
        if isinstance(reply.limit, Unlimited) and not (is_own and self.is_limited(replica)):
            return
        self.limits.tell(LimitObserved(replica, reply.limit, sent_at))
