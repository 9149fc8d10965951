"""Filter that admits requests within adaptive concurrency limits."""

import asyncio

from returns.result import Failure, Success

from greengagehoist.admission import EntryOutcome
from greengagehoist.base import (
    ErrorCode,
    Exchange,
    ExchangeResult,
    PipelineCall,
    Proceed,
    ServiceCall,
    StepError,
)
from greengagehoist.controllers import Admit, Finish, Grant, SetWeight
from greengagehoist.filters._retry import RatioRetryPolicy
from greengagehoist.utils import Controller

# Number of generated tokens that cost as much as the fixed part of a generation.
TOKENS_PER_UNIT = 64


class AdmissionFilter:
    """Waits for admission, and reports the end of each admitted request.

    :param targets: target controller, to which changes of the attainment weight are sent.
    :param retries: retry policy; each admitted request adds to its retry budget.
    """

    def __init__(self, admission: Controller, targets: Controller, retries: RatioRetryPolicy):
        self.admission = admission
        self.targets = targets
        self.retries = retries
        self._weight: float | None = None

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> ExchangeResult:
        """Proceed if the request is admitted, else return the failure."""
        self._apply_weight(exchange.cfg.attainment_weight)
        customer, weight = exchange.holding.customer, exchange.usage.weight
        route, cost, stages = _admission_parameters(exchange)
        wait = self.admission.ask(Admit(route, customer, weight, cost, exchange.deadline))
        match await _await_grant(self.admission, wait):
            case Success(Grant() as grant):
                self.retries.count_first_attempts(stages)
                return await self._proceed(exchange, proceed, grant)
            case rejection:
                return rejection

    async def _proceed(self, exchange: Exchange, proceed: Proceed, grant: Grant) -> ExchangeResult:
        ending = EntryOutcome.FAILED
        try:
            result = await proceed(exchange)
            ending = _classify_ending(result)
            return result
        finally:
            self.admission.tell(Finish(grant, ending))

    def _apply_weight(self, weight: float) -> None:
        if weight != self._weight:
            self._weight = weight
            self.targets.tell(SetWeight(weight))


async def _await_grant(admission: Controller, wait):
    """Wait for the reply; if cancelled, release a grant that arrives later."""
    task = asyncio.ensure_future(wait)
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(lambda done: _release_grant(admission, done))
        raise


def _release_grant(admission: Controller, task: asyncio.Future) -> None:
    if not task.cancelled() and isinstance(task.result(), Success):
        admission.tell(Finish(task.result().unwrap(), EntryOutcome.FAILED))


def _classify_ending(result: ExchangeResult) -> EntryOutcome:
    match result:
        case Success():
            return EntryOutcome.COMPLETED
        case Failure(StepError(code=ErrorCode.DEADLINE)):
            return EntryOutcome.MISSED
        case _:
            return EntryOutcome.FAILED


def _admission_parameters(exchange: Exchange) -> tuple[str, float, tuple[str, ...]]:
    """Return the route, the relative cost and the stages of a request."""
    match exchange.call:
        case PipelineCall(pipeline, _, max_tokens):
            stages = tuple(stage.name for stage in exchange.cfg.pipelines[pipeline].stages)
            return f"pipeline:{pipeline}", 1.0 + max_tokens / TOKENS_PER_UNIT, stages
        case ServiceCall(service):
            return f"service:{service}", 1.0, (service,)
