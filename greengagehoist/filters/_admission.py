"""Filter that admits requests within the adaptive limits."""

import asyncio

from returns.result import Failure, Success

from greengagehoist.admission import Ending
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

# Tokens that count as much as the fixed part of a generation.
TOKENS_PER_UNIT = 64


class AdmissionFilter:
    """Waits for an entry, and returns it at the end of the request.

    :param targets: target controller, which is told of a changed attainment weight.
    :param retries: earns retries with each admitted request.
    """

    def __init__(self, admission: Controller, targets: Controller, retries: RatioRetryPolicy):
        self.admission = admission
        self.targets = targets
        self.retries = retries
        self._weight: float | None = None

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> ExchangeResult:
        """Proceed with an entry, or return the refusal."""
        self._apply_weight(exchange.cfg.attainment_weight)
        customer, weight = exchange.holding.customer, exchange.usage.weight
        route, cost, stages = _describe(exchange)
        wait = self.admission.ask(Admit(route, customer, weight, cost, exchange.deadline))
        match await _ask_or_return(self.admission, wait):
            case Success(Grant() as grant):
                self.retries.observe_first(stages)
                return await self._proceed(exchange, proceed, grant)
            case refusal:
                return refusal

    async def _proceed(self, exchange: Exchange, proceed: Proceed, grant: Grant) -> ExchangeResult:
        ending = Ending.FAILED
        try:
            outcome = await proceed(exchange)
            ending = _classify_ending(outcome)
            return outcome
        finally:
            self.admission.tell(Finish(grant, ending))

    def _apply_weight(self, weight: float) -> None:
        if weight != self._weight:
            self._weight = weight
            self.targets.tell(SetWeight(weight))


async def _ask_or_return(admission: Controller, wait):
    """Wait for the reply; an entry granted to a caller that has gone is returned."""
    task = asyncio.ensure_future(wait)
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(lambda done: _return_entry(admission, done))
        raise


def _return_entry(admission: Controller, task: asyncio.Future) -> None:
    if not task.cancelled() and isinstance(task.result(), Success):
        admission.tell(Finish(task.result().unwrap(), Ending.FAILED))


def _classify_ending(outcome: ExchangeResult) -> Ending:
    match outcome:
        case Success():
            return Ending.WHOLE
        case Failure(StepError(code=ErrorCode.DEADLINE)):
            return Ending.MISSED
        case _:
            return Ending.FAILED


def _describe(exchange: Exchange) -> tuple[str, float, tuple[str, ...]]:
    """Return the route, the relative cost and the stages of a request."""
    match exchange.call:
        case PipelineCall(pipeline, _, max_tokens):
            stages = tuple(stage.name for stage in exchange.cfg.pipelines[pipeline].stages)
            return f"pipeline:{pipeline}", 1.0 + max_tokens / TOKENS_PER_UNIT, stages
        case ServiceCall(service):
            return f"service:{service}", 1.0, (service,)
