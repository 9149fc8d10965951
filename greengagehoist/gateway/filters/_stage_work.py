"""Filter that has the stages of a request done before the request itself."""

import asyncio

from greengagehoist.deployment import Route, Streaming
from greengagehoist.gateway import Exchange, NotRun, Proceed, Reply
from greengagehoist.gateway.controllers import (
    CancelStages,
    FreeResults,
    GetBacklog,
    StageEnd,
    SubmitStage,
)
from greengagehoist.pieces import StageWork
from greengagehoist.utils import Clock, Controller, log_event

# Work of the pools above which requests of the least urgent rank are refused at arrival.
BACKLOG_LIMIT_S = 0.4
# Rank from which requests count as least urgent.
LEAST_URGENT_RANK = 2
RETRY_BACKLOG_S = 0.6
# Result size from which the replica's zone is chosen by the reader of the result.
LARGE_RESULT_BYTES = 500_000
# A stage whose results are lost is done again this often.
MOST_ROUNDS = 2


class StageFilter:
    """Runs the stages of the route as a graph, independent ones at the same time.

    :param pools: controller of the stage pools.
    """

    def __init__(self, pools: Controller, clock: Clock):
        self.pools = pools
        self.clock = clock

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> Reply:
        """Pass the request on with the handles of its results, and free them at its end."""
        route = exchange.route
        if not route.stages:
            return await proceed(exchange)
        refusal = await self._refuse_overload(exchange)
        if refusal is not None:
            return refusal
        handles: dict[int, tuple[str, ...]] = {}
        try:
            for _ in range(MOST_ROUNDS):
                reason = await self._run_stages(exchange, handles)
                if reason != "gone":
                    break
                handles.clear()
            if reason:
                log_event(
                    "stages_failed",
                    request=exchange.req.request_id,
                    reason=reason,
                    age_ms=round((self.clock.monotonic() - exchange.arrived) * 1000),
                )
                return NotRun(f"a stage failed: {reason}", RETRY_BACKLOG_S)
            final = final_stages(route)
            inputs = tuple(item for number in final for item in handles.get(number, ()))
            return await proceed(exchange._replace(inputs=inputs))
        finally:
            self.pools.tell(CancelStages(exchange.req.request_id))
            left = tuple(item for found in handles.values() for item in found)
            self.pools.tell(FreeResults(left))

    async def _refuse_overload(self, exchange: Exchange) -> NotRun | None:
        if exchange.rank < LEAST_URGENT_RANK:
            return None
        services = tuple(item.service for item in exchange.route.stages)
        backlog = await self.pools.ask(GetBacklog(services))
        if backlog <= BACKLOG_LIMIT_S:
            return None
        return NotRun(f"stage pools are {backlog:.2f} s behind", RETRY_BACKLOG_S)

    async def _run_stages(self, exchange: Exchange, handles: dict[int, tuple[str, ...]]) -> str:
        """Run all stages; returns why one failed, or an empty reason."""
        stages, counts = exchange.route.stages, exchange.req.piece_counts
        ends: dict[int, asyncio.Task] = {}

        async def run(number: int) -> str:
            stage = stages[number]
            for before in stage.after:
                reason = await ends[before]
                if reason:
                    return reason
            inputs = tuple(item for before in stage.after for item in handles.get(before, ()))
            count = counts[number] if number < len(counts) else 0
            if count == 0:
                handles[number] = ()
                return ""
            end = await self._submit(exchange, number, count, inputs)
            handles[number] = end.handles
            return end.reason

        async with asyncio.TaskGroup() as group:
            for number in range(len(stages)):
                ends[number] = group.create_task(run(number))
        return next((task.result() for task in ends.values() if task.result()), "")

    async def _submit(
        self, exchange: Exchange, number: int, count: int, inputs: tuple[str, ...]
    ) -> StageEnd:
        stage = exchange.route.stages[number]
        large = stage.result_bytes >= LARGE_RESULT_BYTES
        zone = exchange.home.zone if large and exchange.home is not None else ""
        work = StageWork(
            exchange.req.request_id,
            stage.service,
            number,
            tuple(range(count)),
            "" if stage.after else exchange.req.piece_key,
            inputs,
            exchange.rank,
            exchange.arrived + exchange.route.target_latency_s,
            exchange.final_by,
            zone,
        )
        return await self.pools.ask(SubmitStage(work))


def final_stages(route: Route) -> tuple[int, ...]:
    """Return the stages that no other stage follows: the request needs their results."""
    followed = {before for stage in route.stages for before in stage.after}
    return tuple(number for number in range(len(route.stages)) if number not in followed)


def results_needed_after_start(route: Route) -> bool:
    """Return whether the stage results are needed after the answer has started."""
    return isinstance(route.kind, Streaming) and route.kind.resumable
