"""Choice of the replica for the next send of a request."""

import asyncio
import itertools

from greengagehoist.deployment import Streaming
from greengagehoist.gateway import Exchange, Reply, failure_reply
from greengagehoist.gateway.controllers import (
    AbandonChoice,
    Choose,
    Evacuated,
    NotBefore,
    RequestEnded,
)
from greengagehoist.gateway.filters._late_start import refuse_late_start
from greengagehoist.gateway.filters._need import affinity_of, timed_send
from greengagehoist.gateway.filters._quarantine import QuarantineGate
from greengagehoist.gateway.filters._send_limits import SendLimitGate
from greengagehoist.gateway.filters._shutdown import ShutdownGate
from greengagehoist.overload import ServiceRoom, longest_retry_after_s
from greengagehoist.replicas import Granted, Replica
from greengagehoist.utils import Clock, Controller, log_event

# Retry-After where the route is a stream: nothing is known of the time of room at engines.
RETRY_AFTER_S = 0.4
# Requests that wait look again after this time: an evacuation may have begun or ended.
RECHECK_S = 0.25


class ReplicaChooser:
    """Chooses replicas, and waits for one where requests may be sent soon.

    :param placement: controller that chooses the replicas.
    :param gate: refuses requests in quarantine.
    :param limits: knows the limits that replicas name.
    :param shutdown: refuses sends whose answers would outlive the process.
    :ivar room: what the answers of plain services show of their room.
    """

    def __init__(
        self,
        placement: Controller,
        gate: QuarantineGate,
        limits: SendLimitGate,
        shutdown: ShutdownGate,
        clock: Clock,
    ):
        self.placement = placement
        self.gate = gate
        self.limits = limits
        self.shutdown = shutdown
        self.clock = clock
        self._tickets = itertools.count(1)
        self.room = ServiceRoom()

    def retry_after_s(self, exchange: Exchange) -> float:
        """Return the seconds after which a replica will probably take a refused request."""
        if isinstance(exchange.route.kind, Streaming):
            return RETRY_AFTER_S
        now = self.clock.monotonic()
        longest_s = longest_retry_after_s(exchange.answer_deadline - now)
        return self.room.retry_after_s(exchange.service, now, longest_s)

    async def choose(self, exchange: Exchange) -> Replica | Reply:
        """Return the replica for the next send, or a reply if there will be none in time."""
        progress, permitted = exchange.progress, ""
        progress.ticket = next(self._tickets)
        full: frozenset[str] = frozenset()
        probes = False
        while True:
            remaining_s = exchange.answer_deadline - self.clock.monotonic()
            if remaining_s <= 0:
                return failure_reply(progress, "request timed out", RETRY_AFTER_S, timed_out=True)
            refusal = self.shutdown.refuse(exchange) or self.gate.refuse_send(exchange)
            if refusal is not None:
                return refusal
            found = await self._ask(exchange, permitted, full)
            if isinstance(found, NotBefore) and full:
                # A full replica may have a place sooner than another one ends its pause.
                full, probes = frozenset(), True
                continue
            refusal = refuse_late_start(exchange, found, self.clock.monotonic())
            if refusal is not None:
                return refusal
            match found:
                case Replica(replica_id) if not probes and self._is_full(exchange, replica_id):
                    self.placement.tell(RequestEnded(replica_id, "cancelled", progress.ticket))
                    full |= {replica_id}
                case Replica(replica_id):
                    if replica_id == permitted or await self._may_send(exchange, found):
                        return found
                case NotBefore(at, replica):
                    wait_s = max(0.0, at - self.clock.monotonic())
                    max_wait_s = remaining_s - exchange.route.target_latency_s
                    if not self.limits.is_limited(replica):
                        await self.clock.sleep(min(wait_s, RECHECK_S))
                    elif await self.limits.wait(exchange, replica, at, max_wait_s):
                        permitted = replica.replica_id
                case None if full and not progress.tried:
                    # A place may be free by now: one of the full replicas is tried.
                    full, probes = frozenset(), True
                case None:
                    return self._refuse(exchange, bool(full))

    def _refuse(self, exchange: Exchange, full: bool) -> Reply:
        """Return the reply to a request for which no replica is left.

        :param full: whether some of the replicas were left out because they are full.
        """
        progress, retry_after_s = exchange.progress, self.retry_after_s(exchange)
        if full:
            log_event(
                "request_refused",
                request=exchange.req.request_id,
                reason="all replicas are full",
                rank=exchange.rank,
                tenant=exchange.tenant.name if exchange.tenant is not None else "",
                route=exchange.route.name,
                room_in_ms=round(retry_after_s * 1000),
            )
            return failure_reply(progress, "all replicas are full", retry_after_s)
        log_event(
            "no_replica",
            "WARNING",
            request=exchange.req.request_id,
            service=exchange.service,
            tried=len(progress.tried),
        )
        return failure_reply(progress, "no replica available", retry_after_s)

    def _is_full(self, exchange: Exchange, replica_id: str) -> bool:
        """Return whether a replica of a plain service would probably reject the request."""
        if isinstance(exchange.route.kind, Streaming):
            return False
        return self.room.is_full(exchange.service, replica_id, self.clock.monotonic())

    async def _ask(
        self, exchange: Exchange, permitted: str, full: frozenset[str]
    ) -> Replica | NotBefore | Evacuated | None:
        progress = exchange.progress
        query = Choose(
            exchange.service,
            affinity_of(exchange.req.prompt, exchange.inputs_zone),
            progress.tried | full,
            model_of(exchange),
            permitted,
            timed_send(exchange, progress.ticket),
            exchange.req.request_id,
        )
        try:
            return await self.placement.ask(query)
        except asyncio.CancelledError:
            # Else the replica would count as busy with the request for good.
            self.placement.tell(AbandonChoice(progress.ticket))
            raise

    async def _may_send(self, exchange: Exchange, replica: Replica) -> bool:
        """Return whether there is room for the request within the limit of its replica."""
        granted = False
        try:
            granted = await self.limits.acquire(exchange, replica) == Granted()
        finally:
            if not granted:
                # The replica counts as busy with the request since it was chosen.
                self.placement.tell(
                    RequestEnded(replica.replica_id, "cancelled", exchange.progress.ticket)
                )
        return granted


def model_of(exchange: Exchange) -> str:
    """Return the model of an engine request, empty for others."""
    return exchange.req.prompt.model if exchange.req.prompt is not None else ""
