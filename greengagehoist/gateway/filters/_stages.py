"""Filter that runs the stages of a request before the request itself."""

import asyncio
from collections import Counter

from greengagehoist.deployment import Route
from greengagehoist.gateway import (
    Exchange,
    InputsLost,
    Proceed,
    Reply,
    failure_reply,
)
from greengagehoist.gateway.controllers import (
    CancelStages,
    FindHome,
    FreeResults,
    StageEnd,
    SubmitStage,
)
from greengagehoist.gateway.filters._first_event_latency import FirstEventLatency
from greengagehoist.gateway.filters._late_start import refuse_late_start
from greengagehoist.gateway.filters._need import affinity_of, shared_tokens, timed_send
from greengagehoist.gateway.filters._shutdown import ShutdownGate
from greengagehoist.gateway.filters._stage_admission import StageAdmission
from greengagehoist.gateway.filters._stage_graph import (
    LARGE_RESULT_BYTES,
    final_stages,
    start_dependencies,
)
from greengagehoist.overload import longest_retry_after_s
from greengagehoist.pieces import StageWork
from greengagehoist.replicas import MIN_SINGLE_HOME_TOKENS, Replica, ReplicaTable
from greengagehoist.utils import Clock, Controller, Published, log_event

# Retry-After of a request whose stages have failed, after which a burst is probably over.
FAILED_RETRY_AFTER_S = 2.5
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
        self.admission = StageAdmission(pools, first_event_latency, shutdown, clock)
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
            refusal = refusal or await self.admission.refuse(exchange)
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
        return self._failure(exchange, "stage results were lost repeatedly")

    def _failure(self, exchange: Exchange, reason: str) -> Reply:
        left_s = exchange.answer_deadline - self.clock.monotonic()
        retry_after_s = min(FAILED_RETRY_AFTER_S, longest_retry_after_s(left_s))
        return failure_reply(exchange.progress, reason, retry_after_s)

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
            return self._failure(exchange, f"stage failed: {reason}")
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
            exchange.due - self.admission.remaining_time_s(exchange, number),
            exchange.answer_deadline - self.admission.later_stages_s(exchange, number),
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
