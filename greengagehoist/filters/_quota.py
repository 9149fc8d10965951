"""Filter that enforces the quota of the plan, including quiet hours."""

import asyncio
from typing import Any

from returns.result import Failure, Result, Success

from greengagehoist.base import (
    Exchange,
    ExchangeResult,
    Outcome,
    PipelineCall,
    Proceed,
    ServiceCall,
    StepError,
)
from greengagehoist.config import EngineStage
from greengagehoist.controllers import Abandon, Reserve, Settle
from greengagehoist.utils import Clock, Controller


class QuotaFilter:
    """Reserves quota for a request and settles it with the tokens that were generated."""

    def __init__(self, quotas: Controller, clock: Clock):
        self.quotas = quotas
        self.clock = clock

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> ExchangeResult:
        """Proceed only if the whole reservation is granted."""
        account = _Account(self, exchange)
        match await account.reserve(max_generated_tokens(exchange), counted=True):
            case Failure() as failure:
                return failure
        result = None
        try:
            result = await proceed(
                exchange._replace(count_tokens=account.count, reserve_tokens=account.reserve)
            )
            return result
        finally:
            account.settle(result)


class _Account:
    """Reservations of one request and the tokens that it generated."""

    def __init__(self, quota_filter: QuotaFilter, exchange: Exchange):
        self.quota_filter = quota_filter
        self.exchange = exchange
        self.reserved: list[tuple[str, int]] = []
        self.generated = 0

    def count(self, tokens: int) -> None:
        """Add tokens that an attempt has generated."""
        self.generated += tokens

    async def reserve(self, tokens: int, *, counted: bool = False) -> Result[Any, StepError]:
        """Reserve tokens for an attempt; only a ``counted`` reservation counts as a request."""
        exchange, quota_filter = self.exchange, self.quota_filter
        number = len(self.reserved)
        request_id = exchange.request_id if counted else f"{exchange.request_id}+{number}"
        lasting = max(0.0, exchange.deadline - quota_filter.clock.monotonic())
        customer = exchange.holding.customer
        message = Reserve(request_id, customer, exchange.cfg, tokens, lasting, counted)
        try:
            result = await quota_filter.quotas.ask(message)
        except asyncio.CancelledError:
            quota_filter.quotas.tell(Abandon(request_id))
            raise
        if isinstance(result, Success):
            self.reserved.append((request_id, tokens))
        return result

    def settle(self, result: ExchangeResult | None) -> None:
        """Settle all reservations.

        A failed or cancelled request that may have run is charged for the whole reservation,
        because an engine may have generated tokens that did not arrive.
        """
        match result:
            case Success(answer):
                unsettled = max(self.generated, answer.tokens)
            case Failure(StepError(outcome=Outcome.NOT_RUN)):
                unsettled = self.generated
            case _:
                unsettled = sum(tokens for _, tokens in self.reserved)
        for request_id, tokens in self.reserved:
            used = min(unsettled, tokens)
            unsettled -= used
            self.quota_filter.quotas.tell(Settle(request_id, used))


def max_generated_tokens(exchange: Exchange) -> int:
    """Return the most tokens that a request generates, 0 without an engine stage.

    Tokens of retries are reserved separately.
    """
    match exchange.call:
        case PipelineCall(pipeline, max_tokens=max_tokens):
            stages = exchange.cfg.pipelines[pipeline].stages
            return max_tokens * sum(isinstance(stage, EngineStage) for stage in stages)
        case ServiceCall():
            return 0
