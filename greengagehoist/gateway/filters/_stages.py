"""Filter that runs the stages of a request before the request itself."""

import asyncio
from collections import Counter

from greengagehoist.deployment import Route
from greengagehoist.gateway import (
    Exchange,
    InputsLost,
    NotRun,
    Proceed,
    Reply,
    failure_reply,
)
from greengagehoist.gateway.controllers import (
    NO_REPLICA_WAIT_S,
    CancelStages,
    FindHome,
    FreeResults,
    ReserveStages,
    StageEnd,
    StagePlan,
    SubmitStage,
)
from greengagehoist.gateway.filters._first_event_latency import FirstEventLatency
from greengagehoist.gateway.filters._late_start import refuse_late_start
from greengagehoist.gateway.filters._need import affinity_of, shared_tokens, timed_send
from greengagehoist.gateway.filters._shutdown import ShutdownGate
from greengagehoist.pieces import StageWork, estimate_completion_s
from greengagehoist.replicas import (
    MIN_SINGLE_HOME_TOKENS,
    Replica,
    ReplicaTable,
)
from greengagehoist.utils import Clock, Controller, Published, log_event

# No request is refused if its longest expected wait at a pool is below this.
MIN_BACKLOG_S = 0.1
# Estimated lateness up to which a request is admitted: the pools overestimate waiting times,
# because they assume that replicas are not fully utilized.
LATE_TOLERANCE_S = 0.15
# Like MIN_BACKLOG_S, for a request that can no longer be answered in time.
MIN_LATE_BACKLOG_S = 0.4
# Retry-After on overload, after which a burst is probably over. Clients honour a Retry-After of at
# most a third of the time that they have left.
OVERLOAD_RETRY_AFTER_S = 2.5
# A stage that moves at least this many bytes runs in the data centre of their source or
# destination.
LARGE_RESULT_BYTES = 500_000
# A prompt with at least this many shared tokens goes to the replica that holds them, in any data
# centre.
MIN_HOME_TOKENS = MIN_SINGLE_HOME_TOKENS
# Attempts to run the stages of a request; another one follows the loss of their results.
MAX_STAGE_ATTEMPTS = 2


class StageFilter:
    """Runs the stages of the route as a graph; independent stages run concurrently.

    :param pools: controller of the stage pools.
    :param placement: controller that chooses the replica that reads the results.
    :param table: the known replicas.
    :param first_event_latency: estimates the time from send to first event.
    :param shutdown: refuses requests whose answers would outlive the process.
    """

    def __init__(
        self,
        pools: Controller,
        placement: Controller,
        table: Published[ReplicaTable],
        first_event_latency: FirstEventLatency,
        shutdown: ShutdownGate,
        clock: Clock,
    ):
        self.pools = pools
        self.shutdown = shutdown
        self.first_event_latency = first_event_latency
        self.table = table
        self.placement = placement
        self.clock = clock

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> Reply:
        """Run the stages, forward the request with the result handles, and free the results."""
        route = exchange.route
        if not route.stages:
            return await proceed(exchange)
        handles: dict[int, tuple[str, ...]] = {}
        try:
            prompt = exchange.req.prompt
            found = await self.placement.ask(
                FindHome(
                    exchange.service,
                    affinity_of(prompt),
                    prompt.model if prompt else "",
                    timed_send(exchange, 0),
                )
            )
            refusal = refuse_late_start(exchange, found, self.clock.monotonic())
            refusal = refusal or await self._refuse_overload(exchange)
            if refusal is not None:
                return refusal
            if isinstance(found, Replica) and (
                prompt is None or shared_tokens(prompt) >= MIN_HOME_TOKENS
            ):
                exchange = exchange._replace(home=found)
            return await self._serve(exchange, handles, proceed)
        finally:
            reserved = not exchange.progress.stages_done
            self.pools.tell(CancelStages(exchange.req.request_id, reserved))
            self._free(route, handles)

    async def _serve(
        self, exchange: Exchange, handles: dict[int, tuple[str, ...]], proceed: Proceed
    ) -> Reply:
        for attempt in range(MAX_STAGE_ATTEMPTS):
            reply = await self._run_attempt(exchange, attempt, handles, proceed)
            if not isinstance(reply, InputsLost):
                return reply
            # Some of the results may still occupy memory.
            self._free(exchange.route, handles)
        return failure_reply(
            exchange.progress, "stage results were lost repeatedly", OVERLOAD_RETRY_AFTER_S
        )

    def _free(self, route: Route, handles: dict[int, tuple[str, ...]]) -> None:
        for number, stage_handles in handles.items():
            self.pools.tell(FreeResults(route.stages[number].service, stage_handles))
        handles.clear()

    async def _run_attempt(
        self,
        exchange: Exchange,
        attempt: int,
        handles: dict[int, tuple[str, ...]],
        proceed: Proceed,
    ) -> Reply:
        route = exchange.route
        reason = await self._run_stages(exchange, attempt, handles)
        if reason == "gone":
            return InputsLost()
        if reason:
            log_event(
                "stages_failed",
                request=exchange.req.request_id,
                reason=reason,
                age_ms=round((self.clock.monotonic() - exchange.arrived) * 1000),
            )
            return failure_reply(
                exchange.progress, f"stage failed: {reason}", OVERLOAD_RETRY_AFTER_S
            )
        exchange.progress.stages_done = True
        final = final_stages(route)
        inputs = tuple((route.stages[number].service, handles[number]) for number in final)
        exchange.progress.inputs_freed = False
        return await proceed(
            exchange._replace(inputs=inputs, inputs_zone=self._zone_of_inputs(exchange, inputs))
        )

    def _zone_of_inputs(
        self, exchange: Exchange, inputs: tuple[tuple[str, tuple[str, ...]], ...]
    ) -> str:
        """Return the data centre that holds most bytes of the results, or an empty string for any.

        Computing the shared parts of a short prompt again costs less than moving large results.
        """
        prompt, stages = exchange.req.prompt, exchange.route.stages
        if prompt is None or shared_tokens(prompt) >= MIN_HOME_TOKENS:
            return ""
        zones, bytes_by_zone = self.table.value.zones_by_address(), Counter()
        for number, (_, handles) in zip(final_stages(exchange.route), inputs, strict=True):
            for handle in handles:
                bytes_by_zone[zones.get(handle.partition("/")[0], "")] += stages[
                    number
                ].result_bytes
        zone, size = max(bytes_by_zone.items(), key=lambda item: item[1], default=("", 0))
        return zone if size >= LARGE_RESULT_BYTES else ""

    async def _refuse_overload(self, exchange: Exchange) -> Reply | None:
        """Reserve capacity for the stages; returns a refusal if the answer would be late."""
        stages, req = exchange.route.stages, exchange.req
        service_times = [self._service_time_s(exchange, number) for number in range(len(stages))]
        first_event_s, now = (
            self.first_event_latency.expected_s(exchange.route),
            self.clock.monotonic(),
        )
        fastest = estimate_completion_s(
            start_dependencies(exchange.route), service_times, [0.0] * len(stages)
        )
        can_be_in_time = now + fastest + first_event_s <= exchange.due
        plans = self._plan_stages(exchange, service_times, can_be_in_time, now)
        if not plans:
            return None
        tenant = exchange.tenant.name if exchange.tenant is not None else ""
        waits = await self.pools.ask(ReserveStages(req.request_id, exchange.rank, plans, tenant))
        longest_wait_s = max(waits.values(), default=0.0)
        completion_s = estimate_completion_s(
            start_dependencies(exchange.route),
            service_times,
            [waits.get(item.service, 0.0) for item in stages],
        )
        refusal = self.shutdown.refuse(exchange, completion_s)
        if refusal is not None:
            return refusal
        late_s = now + completion_s + first_event_s - exchange.due
        negligible_s = MIN_BACKLOG_S if can_be_in_time else MIN_LATE_BACKLOG_S
        if late_s <= LATE_TOLERANCE_S or longest_wait_s < negligible_s:
            return None
        reason = "stage pools are overloaded"
        detail = f"backlog of the stage pools is {longest_wait_s:.2f} s"
        if longest_wait_s >= NO_REPLICA_WAIT_S:
            reason = detail = "a stage pool has no replica"
        log_event(
            "request_refused",
            request=req.request_id,
            reason=reason,
            rank=exchange.rank,
            backlog_ms=round(longest_wait_s * 1000),
            late_ms=round(late_s * 1000),
        )
        return NotRun(detail, OVERLOAD_RETRY_AFTER_S)

    def _plan_stages(
        self, exchange: Exchange, service_times: list[float], can_be_in_time: bool, now: float
    ) -> tuple[StagePlan, ...]:
        """Return the work of a request at each service that it uses.

        A request that cannot be answered in time counts as late in all pools.
        """
        plans: dict[str, StagePlan] = {}
        for number, stage in enumerate(exchange.route.stages):
            if service_times[number]:
                due = now
                if can_be_in_time:
                    due = exchange.due - self._remaining_time_s(exchange, number)
                plan = plans.get(stage.service, StagePlan(stage.service, 0, due))
                pieces = plan.pieces + exchange.req.piece_counts[number]
                plans[stage.service] = StagePlan(stage.service, pieces, max(plan.due, due))
        return tuple(plans.values())

    def _service_time_s(self, exchange: Exchange, number: int) -> float:
        """Return the time of a stage without queueing, 0 if the request does not use the stage."""
        counts = exchange.req.piece_counts
        count = counts[number] if number < len(counts) else 0
        service = exchange.snapshot.deployment.services.get(exchange.route.stages[number].service)
        if not count or service is None or service.pool is None:
            return 0.0
        return service.pool.call_s + min(count, service.pool.batch) * service.pool.piece_s

    async def _run_stages(
        self, exchange: Exchange, attempt: int, handles: dict[int, tuple[str, ...]]
    ) -> str:
        """Run all stages; returns the reason why one failed, or an empty string.

        Results are freed as soon as all stages that read them have ended.
        """
        stages, counts = exchange.route.stages, exchange.req.piece_counts
        tasks: dict[int, asyncio.Task] = {}
        dependencies = start_dependencies(exchange.route)
        readers = {
            number: {other for other, stage in enumerate(stages) if number in stage.after}
            for number in range(len(stages))
        }

        async def run(number: int) -> str:
            stage = stages[number]
            for dependency in dependencies[number]:
                reason = await tasks[dependency]
                if reason:
                    return reason
            inputs = tuple(
                item for dependency in stage.after for item in handles.get(dependency, ())
            )
            count = counts[number] if number < len(counts) else 0
            end = StageEnd((), "")
            if count:
                end = await self._submit(exchange, attempt, number, inputs)
            handles[number] = end.handles
            for dependency in () if end.reason else stage.after:
                readers[dependency].discard(number)
                if not readers[dependency]:
                    self.pools.tell(
                        FreeResults(stages[dependency].service, handles.pop(dependency, ()))
                    )
            return end.reason

        async with asyncio.TaskGroup() as group:
            for number in range(len(stages)):
                tasks[number] = group.create_task(run(number))
        return next((task.result() for task in tasks.values() if task.result()), "")

    async def _submit(
        self, exchange: Exchange, attempt: int, number: int, inputs: tuple[str, ...]
    ) -> StageEnd:
        stage = exchange.route.stages[number]
        count = exchange.req.piece_counts[number]
        work = StageWork(
            exchange.req.request_id,
            stage.service,
            number,
            tuple(range(count)),
            "" if stage.after else exchange.req.piece_key,
            inputs,
            exchange.rank,
            exchange.due - self._remaining_time_s(exchange, number),
            exchange.answer_deadline,
            self._preferred_zone(exchange, number, count, inputs),
            stage.result_bytes,
            attempt,
        )
        started_at = self.clock.monotonic()
        end = await self.pools.ask(SubmitStage(work))
        log_event(
            "stage_ended",
            request=work.request_id,
            stage=number,
            service=work.service,
            pieces=count,
            rank=work.rank,
            took_ms=round((self.clock.monotonic() - started_at) * 1000),
            due_in_ms=round((work.due - self.clock.monotonic()) * 1000),
            reason=end.reason,
        )
        return end

    def _remaining_time_s(self, exchange: Exchange, number: int) -> float:
        """Return the time from the end of a stage to the beginning of the answer."""
        stages = exchange.route.stages
        service_times = [self._service_time_s(exchange, item) for item in range(len(stages))]
        after = longest_path(exchange.route, service_times)[number] - service_times[number]
        return after + self.first_event_latency.expected_s(exchange.route)

    def _preferred_zone(
        self, exchange: Exchange, number: int, count: int, inputs: tuple[str, ...]
    ) -> str:
        """Return the data centre that exchanges most bytes with the stage, or an empty string.

        Each piece reads all inputs; the replica that runs the request reads the results of the
        final stages.
        """
        route = exchange.route
        stage = route.stages[number]
        bytes_read = sum(route.stages[item].result_bytes for item in stage.after)
        bytes_read *= len(inputs) * count / max(1, len(stage.after))
        if bytes_read >= LARGE_RESULT_BYTES:
            zones = self.table.value.zones_by_address()
            inputs_by_zone = Counter(zones.get(item.partition("/")[0], "") for item in inputs)
            return inputs_by_zone.most_common(1)[0][0]
        if stage.result_bytes * count >= LARGE_RESULT_BYTES and number in final_stages(route):
            return exchange.home.zone if exchange.home is not None else ""
        return ""


def longest_path(route: Route, times: list[float]) -> list[float]:
    """Return for each stage the time of the longest path from its start to the end of the graph.

    :param times: time of each stage in seconds.
    """
    stages = route.stages
    remaining = list(times)
    for number in reversed(range(len(stages))):
        for dependency in stages[number].after:
            remaining[dependency] = max(
                remaining[dependency], times[dependency] + remaining[number]
            )
    return remaining


def final_stages(route: Route) -> tuple[int, ...]:
    """Return the stages that no other stage follows; the request reads their results."""
    followed = {dependency for stage in route.stages for dependency in stage.after}
    return tuple(number for number in range(len(route.stages)) if number not in followed)


def start_dependencies(route: Route) -> tuple[tuple[int, ...], ...]:
    """Return for each stage the stages that must end before it starts.

    A stage with large results and no inputs starts as late as the longest chain allows, because its
    results occupy memory of their replicas until the request reads them.
    """
    stages = route.stages
    remaining = [1] * len(stages)
    for number in reversed(range(len(stages))):
        for dependency in stages[number].after:
            remaining[dependency] = max(remaining[dependency], remaining[number] + 1)
    return tuple(
        (
            tuple(
                other for other in range(len(stages)) if remaining[other] == remaining[number] + 1
            )
            if stage.result_bytes >= LARGE_RESULT_BYTES and not stage.after
            else stage.after
        )
        for number, stage in enumerate(stages)
    )
