"""Admission of requests by the expected end of their stages."""

from greengagehoist.gateway import Exchange, NotRun, Reply
from greengagehoist.gateway.controllers import (
    NO_REPLICA_WAIT_S,
    CancelStages,
    ReserveStages,
    StagePlan,
)
from greengagehoist.gateway.filters._first_event_latency import FirstEventLatency
from greengagehoist.gateway.filters._shutdown import ShutdownGate
from greengagehoist.gateway.filters._stage_graph import longest_path, start_dependencies
from greengagehoist.overload import Admit, Need, Refuse, decide
from greengagehoist.utils import Clock, Controller, log_event

# A request whose client began at least this long ago is a further attempt.
MIN_FURTHER_AGE_S = 0.05


class StageAdmission:
    """Reserves the stage work of requests and refuses those that would be late.

    :param pools: controller of the stage pools.
    :param first_event_latency: estimates the time from send to first event.
    :param shutdown: refuses requests whose answers would outlive the process.
    """

    def __init__(
        self,
        pools: Controller,
        first_event_latency: FirstEventLatency,
        shutdown: ShutdownGate,
        clock: Clock,
    ):
        self.pools = pools
        self.first_event_latency = first_event_latency
        self.shutdown = shutdown
        self.clock = clock

    async def refuse(self, exchange: Exchange) -> Reply | None:
        """Reserve capacity for the stages; returns a refusal if the answer would be late."""
        now = self.clock.monotonic()
        need = self._need_of(exchange, now)
        plans = self._plan(exchange, need, now)
        if not plans:
            return None
        waits = await self.pools.ask(self._reservation_of(exchange, plans))
        match decide(need, waits):
            case Admit(completion_s):
                return self.shutdown.refuse(exchange, completion_s)
            case Refuse() as decision:
                return self._end(exchange, decision)

    def _end(self, exchange: Exchange, decision: Refuse) -> Reply:
        """Tell the owners of the pools that the request is refused, and when its client returns."""
        tenant = exchange.tenant.name if exchange.tenant is not None else ""
        retry_after_s = decision.retry_after_s
        self.pools.tell(
            CancelStages(
                exchange.req.request_id,
                reserved=True,
                refused=True,
                returns_in_s=retry_after_s if decision.promised else None,
            )
        )
        reason = "stage pools are overloaded"
        detail = f"backlog of the stage pools is {decision.wait_s:.2f} s"
        if decision.wait_s >= NO_REPLICA_WAIT_S:
            reason = detail = "a stage pool has no replica"
        log_event(
            "request_refused",
            request=exchange.req.request_id,
            reason=reason,
            rank=exchange.rank,
            tenant=tenant,
            route=exchange.route.name,
            further=_is_further(exchange),
            backlog_ms=round(decision.wait_s * 1000),
            late_ms=round(decision.late_s * 1000),
            room_in_ms=round(retry_after_s * 1000),
            promised=decision.promised,
        )
        return NotRun(detail, retry_after_s)

    def _reservation_of(self, exchange: Exchange, plans: tuple[StagePlan, ...]) -> ReserveStages:
        req, prompt = exchange.req, exchange.req.prompt
        return ReserveStages(
            req.request_id,
            exchange.rank,
            plans,
            exchange.tenant.name if exchange.tenant is not None else "",
            exchange.route.name,
            prompt.tokens_in if prompt is not None else sum(req.piece_counts),
            _is_further(exchange),
        )

    def _need_of(self, exchange: Exchange, now: float) -> Need:
        stages = exchange.route.stages
        return Need(
            [item.service for item in stages],
            start_dependencies(exchange.route),
            self._service_times_s(exchange),
            self.first_event_latency.expected_s(exchange.route),
            exchange.due - now,
            exchange.answer_deadline - now,
        )

    def _plan(self, exchange: Exchange, need: Need, now: float) -> tuple[StagePlan, ...]:
        """Return the work of a request at each service that it uses.

        A request that cannot be answered in time counts as late in all pools.
        """
        plans: dict[str, StagePlan] = {}
        in_time = need.can_be_in_time
        for number, service in enumerate(need.services):
            if need.durations_s[number]:
                due = exchange.due - self.remaining_time_s(exchange, number) if in_time else now
                plan = plans.get(service, StagePlan(service, 0, due))
                pieces = plan.pieces + exchange.req.piece_counts[number]
                plans[service] = StagePlan(service, pieces, max(plan.due, due))
        return tuple(plans.values())

    def _service_times_s(self, exchange: Exchange) -> list[float]:
        return [
            self._service_time_s(exchange, number) for number in range(len(exchange.route.stages))
        ]

    def _service_time_s(self, exchange: Exchange, number: int) -> float:
        """Return the time of a stage without queueing, 0 if the request does not use the stage."""
        counts = exchange.req.piece_counts
        count = counts[number] if number < len(counts) else 0
        service = exchange.snapshot.deployment.services.get(exchange.route.stages[number].service)
        if not count or service is None or service.pool is None:
            return 0.0
        return service.pool.call_s + min(count, service.pool.batch) * service.pool.piece_s

    def later_stages_s(self, exchange: Exchange, number: int) -> float:
        """Return the run time of the stages after a stage, without queueing."""
        times = self._service_times_s(exchange)
        return longest_path(exchange.route, times)[number] - times[number]

    def remaining_time_s(self, exchange: Exchange, number: int) -> float:
        """Return the time from the end of a stage to the beginning of the answer."""
        first_event_s = self.first_event_latency.expected_s(exchange.route)
        return self.later_stages_s(exchange, number) + first_event_s


def _is_further(exchange: Exchange) -> bool:
    """Return whether the client has sent the request before, by the age of its first attempt."""
    first_sent = exchange.due - exchange.route.target_latency_s
    return exchange.arrived - first_sent >= MIN_FURTHER_AGE_S
