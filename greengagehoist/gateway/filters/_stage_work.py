"""Filter that has the stages of a request done before the request itself."""

import asyncio
from collections import Counter

from greengagehoist.deployment import Route
from greengagehoist.gateway import (
    Exchange,
    InputsLost,
    NotRun,
    Proceed,
    Prompt,
    Reply,
    without_answer,
)
from greengagehoist.gateway.controllers import (
    CancelStages,
    FindHome,
    FreeResults,
    ReserveStages,
    StageEnd,
    StagePlan,
    SubmitStage,
)
from greengagehoist.gateway.filters._engine_starts import EngineStarts
from greengagehoist.pieces import StageWork, estimate_completion_s
from greengagehoist.replicas import Affinity, AnyReplica, PromptAffinity, ReplicaTable
from greengagehoist.utils import Clock, Controller, Published, log_event

# Wait at a pool below which no request is refused for it.
LEAST_BACKLOG_S = 0.1
# Estimated lateness up to which a request is admitted: pools plan for a part of their time only.
LATE_TOLERANCE_S = 0.15
# Wait up to which a request that can no longer be answered in time is served all the same.
LATE_BACKLOG_S = 0.4
# A client comes back when a burst is probably over; clients wait for a third of their time at most.
RETRY_BACKLOG_S = 2.5
# Bytes moved by a stage from which its replica should be where they come from or go to.
LARGE_RESULT_BYTES = 500_000
# Shared tokens of a prompt from which it goes to the replica that holds them, wherever that is.
FEWEST_HOME_TOKENS = 1500
# A stage whose results are lost is done again this often.
MOST_ROUNDS = 2


class StageFilter:
    """Runs the stages of the route as a graph, independent ones at the same time.

    :param pools: controller of the stage pools.
    :param placement: controller that chooses the replica that reads the results.
    :param table: the known replicas.
    :param starts: observed times from the send to the first event.
    """

    def __init__(
        self,
        pools: Controller,
        placement: Controller,
        table: Published[ReplicaTable],
        starts: EngineStarts,
        clock: Clock,
    ):
        self.pools = pools
        self.starts = starts
        self.table = table
        self.placement = placement
        self.clock = clock

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> Reply:
        """Pass the request on with the handles of its results, and free them at its end."""
        route = exchange.route
        if not route.stages:
            return await proceed(exchange)
        handles: dict[int, tuple[str, ...]] = {}
        try:
            refusal = await self._refuse_overload(exchange)
            if refusal is not None:
                return refusal
            return await self._serve(exchange, handles, proceed)
        finally:
            reserved = not exchange.progress.stages_done
            self.pools.tell(CancelStages(exchange.req.request_id, reserved))
            self._free(route, handles)

    async def _serve(
        self, exchange: Exchange, handles: dict[int, tuple[str, ...]], proceed: Proceed
    ) -> Reply:
        prompt = exchange.req.prompt
        if prompt is None or shared_tokens(prompt) >= FEWEST_HOME_TOKENS:
            home = await self.placement.ask(
                FindHome(exchange.service, affinity_of(prompt), prompt.model if prompt else "")
            )
            exchange = exchange._replace(home=home)
        for attempt in range(MOST_ROUNDS):
            reply = await self._run_round(exchange, attempt, handles, proceed)
            if not isinstance(reply, InputsLost):
                return reply
            # Some of the results may still take up memory.
            self._free(exchange.route, handles)
        return without_answer(exchange.progress, "stage results are lost again", RETRY_BACKLOG_S)

    def _free(self, route: Route, handles: dict[int, tuple[str, ...]]) -> None:
        for number, found in handles.items():
            self.pools.tell(FreeResults(route.stages[number].service, found))
        handles.clear()

    async def _run_round(
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
            return without_answer(exchange.progress, f"a stage failed: {reason}", RETRY_BACKLOG_S)
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
        """Return the data centre with most bytes of the results, if it should run the request.

        Reading the shared parts of a short prompt again costs less than moving large results.
        """
        prompt, stages = exchange.req.prompt, exchange.route.stages
        if prompt is None or shared_tokens(prompt) >= FEWEST_HOME_TOKENS:
            return ""
        zones, found = self.table.value.zones_by_address(), Counter()
        for number, (_, handles) in zip(final_stages(exchange.route), inputs, strict=True):
            for handle in handles:
                found[zones.get(handle.partition("/")[0], "")] += stages[number].result_bytes
        zone, size = max(found.items(), key=lambda item: item[1], default=("", 0))
        return zone if size >= LARGE_RESULT_BYTES else ""

    async def _refuse_overload(self, exchange: Exchange) -> NotRun | None:
        """Reserve the stage work, or refuse a request at once whose answer would be late."""
        stages, req = exchange.route.stages, exchange.req
        usual = [self._usual_s(exchange, number) for number in range(len(stages))]
        start_s, now = self.starts.expected_s(exchange.route), self.clock.monotonic()
        fastest = estimate_completion_s(start_after(exchange.route), usual, [0.0] * len(stages))
        in_time_at_best = now + fastest + start_s <= exchange.due
        plans: dict[str, StagePlan] = {}
        for number, stage in enumerate(stages):
            if usual[number]:
                # What cannot be answered in time counts as late in all pools.
                due = exchange.due - self._time_after(exchange, number) if in_time_at_best else now
                before = plans.get(stage.service, StagePlan(stage.service, 0, due))
                pieces = before.pieces + req.piece_counts[number]
                plans[stage.service] = StagePlan(stage.service, pieces, max(before.due, due))
        if not plans:
            return None
        waits = await self.pools.ask(
            ReserveStages(req.request_id, exchange.rank, tuple(plans.values()))
        )
        longest = max(waits.values(), default=0.0)
        needed = estimate_completion_s(
            start_after(exchange.route), usual, [waits.get(item.service, 0.0) for item in stages]
        )
        late = now + needed + start_s - exchange.due
        negligible_s = LEAST_BACKLOG_S if in_time_at_best else LATE_BACKLOG_S
        if late <= LATE_TOLERANCE_S or longest < negligible_s:
            return None
        log_event(
            "request_refused",
            request=req.request_id,
            reason="stage pools are behind",
            rank=exchange.rank,
            backlog_ms=round(longest * 1000),
            late_ms=round(late * 1000),
        )
        return NotRun(f"stage pools are {longest:.2f} s behind", RETRY_BACKLOG_S)

    def _usual_s(self, exchange: Exchange, number: int) -> float:
        """Return the time of a stage without waiting, 0 if the request leaves it out."""
        counts = exchange.req.piece_counts
        count = counts[number] if number < len(counts) else 0
        service = exchange.known.deployment.services.get(exchange.route.stages[number].service)
        if not count or service is None or service.pool is None:
            return 0.0
        return service.pool.call_s + min(count, service.pool.batch) * service.pool.piece_s

    async def _run_stages(
        self, exchange: Exchange, attempt: int, handles: dict[int, tuple[str, ...]]
    ) -> str:
        """Run all stages; returns why one failed, or an empty reason.

        Results are freed as soon as all stages that need them have ended.
        """
        stages, counts = exchange.route.stages, exchange.req.piece_counts
        ends: dict[int, asyncio.Task] = {}
        earlier = start_after(exchange.route)
        readers = {
            number: {other for other, stage in enumerate(stages) if number in stage.after}
            for number in range(len(stages))
        }

        async def run(number: int) -> str:
            stage = stages[number]
            for before in earlier[number]:
                reason = await ends[before]
                if reason:
                    return reason
            inputs = tuple(item for before in stage.after for item in handles.get(before, ()))
            count = counts[number] if number < len(counts) else 0
            end = StageEnd((), "")
            if count:
                end = await self._submit(exchange, attempt, number, inputs)
            handles[number] = end.handles
            for before in () if end.reason else stage.after:
                readers[before].discard(number)
                if not readers[before]:
                    self.pools.tell(FreeResults(stages[before].service, handles.pop(before, ())))
            return end.reason

        async with asyncio.TaskGroup() as group:
            for number in range(len(stages)):
                ends[number] = group.create_task(run(number))
        return next((task.result() for task in ends.values() if task.result()), "")

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
            exchange.due - self._time_after(exchange, number),
            exchange.final_by,
            self._zone_of_bytes(exchange, number, count, inputs),
            stage.result_bytes,
            attempt,
        )
        began = self.clock.monotonic()
        end = await self.pools.ask(SubmitStage(work))
        log_event(
            "stage_ended",
            request=work.request_id,
            stage=number,
            service=work.service,
            pieces=count,
            rank=work.rank,
            took_ms=round((self.clock.monotonic() - began) * 1000),
            due_in_ms=round((work.due - self.clock.monotonic()) * 1000),
            reason=end.reason,
        )
        return end

    def _time_after(self, exchange: Exchange, number: int) -> float:
        """Return the time from the end of a stage to the beginning of the answer."""
        stages = exchange.route.stages
        usual = [self._usual_s(exchange, item) for item in range(len(stages))]
        after = longest_path(exchange.route, usual)[number] - usual[number]
        return after + self.starts.expected_s(exchange.route)

    def _zone_of_bytes(
        self, exchange: Exchange, number: int, count: int, inputs: tuple[str, ...]
    ) -> str:
        """Return the data centre between which and the stage most bytes move, or none.

        Each piece reads all inputs; the replica of the request reads the results of the last
        stages.
        """
        route = exchange.route
        stage = route.stages[number]
        read = sum(route.stages[item].result_bytes for item in stage.after)
        read *= len(inputs) * count / max(1, len(stage.after))
        if read >= LARGE_RESULT_BYTES:
            zones = self.table.value.zones_by_address()
            found = Counter(zones.get(item.partition("/")[0], "") for item in inputs)
            return found.most_common(1)[0][0]
        if stage.result_bytes * count >= LARGE_RESULT_BYTES and number in final_stages(route):
            return exchange.home.zone if exchange.home is not None else ""
        return ""


def longest_path(route: Route, times: list[float]) -> list[float]:
    """Return for each stage the time from its start to the end of the last stage after it.

    :param times: time of each stage in seconds.
    """
    stages = route.stages
    left = list(times)
    for number in reversed(range(len(stages))):
        for before in stages[number].after:
            left[before] = max(left[before], times[before] + left[number])
    return left


def final_stages(route: Route) -> tuple[int, ...]:
    """Return the stages that no other stage follows: the request needs their results."""
    followed = {before for stage in route.stages for before in stage.after}
    return tuple(number for number in range(len(route.stages)) if number not in followed)


def start_after(route: Route) -> tuple[tuple[int, ...], ...]:
    """Return for each stage the stages at whose end it starts.

    A stage with large results starts as late as the longest chain of stages allows, because its
    results take up the memory of their replicas until the request reads them.
    """
    stages = route.stages
    left = [1] * len(stages)
    for number in reversed(range(len(stages))):
        for before in stages[number].after:
            left[before] = max(left[before], left[number] + 1)
    return tuple(
        (
            tuple(other for other in range(len(stages)) if left[other] == left[number] + 1)
            if stage.result_bytes >= LARGE_RESULT_BYTES and not stage.after
            else stage.after
        )
        for number, stage in enumerate(stages)
    )


def affinity_of(prompt: Prompt | None, zone: str = "") -> Affinity:
    """Return what the replica of a request should hold: the deepest shared part of the prompt.

    :param zone: data centre of the stage results that the request reads, empty if that is open.
    """
    if prompt is None or len(prompt.parts) < 2:
        return AnyReplica()
    return PromptAffinity(prompt.parts[-2].part_id, zone)


def shared_tokens(prompt: Prompt) -> int:
    """Return the tokens of the parts that other requests may share."""
    return sum(part.tokens for part in prompt.parts[:-1])
