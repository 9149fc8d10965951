"""Filter that keeps requests within the plan, quiet hours included."""

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
    """Reserves what a request draws and settles it with what was generated."""

    def __init__(self, quotas: Controller, clock: Clock):
        self.quotas = quotas
        self.clock = clock

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> ExchangeResult:
        """Pass the request on only if all its draws were granted."""
        ledger = _Account(self, exchange)
        match await ledger.reserve(max_tokens_of(exchange), counted=True):
            case Failure() as failure:
                return failure
        outcome = None
        try:
            outcome = await proceed(
                exchange._replace(count_tokens=ledger.count, reserve_tokens=ledger.reserve)
            )
            return outcome
        finally:
            ledger.settle(outcome)


class _Account:
    """Reservations of one request and the tokens that it generated."""

    def __init__(self, owner: QuotaFilter, exchange: Exchange):
        self.owner = owner
        self.exchange = exchange
        self.reserved: list[tuple[str, int]] = []
        self.generated = 0

    def count(self, tokens: int) -> None:
        """Add tokens that any attempt has generated."""
        self.generated += tokens

    async def reserve(self, tokens: int, *, counted: bool = False) -> Result[Any, StepError]:
        """Reserve tokens of an attempt; only the first reservation counts as a request."""
        exchange, owner = self.exchange, self.owner
        number = len(self.reserved)
        request_id = exchange.request_id if counted else f"{exchange.request_id}+{number}"
        lasting = max(0.0, exchange.deadline - owner.clock.monotonic())
        customer = exchange.holding.customer
        message = Reserve(request_id, customer, exchange.cfg, tokens, lasting, counted)
        try:
            result = await owner.quotas.ask(message)
        except asyncio.CancelledError:
            owner.quotas.tell(Abandon(request_id))
            raise
        if isinstance(result, Success):
            self.reserved.append((request_id, tokens))
        return result

    def settle(self, outcome: ExchangeResult | None) -> None:
        """Settle all reservations.

        A failed or cancelled request that may have run is charged in full, because an engine may
        have generated tokens that did not arrive.
        """
        match outcome:
            case Success(answer):
                left = max(self.generated, answer.tokens)
            case Failure(StepError(outcome=Outcome.NOT_RUN)):
                left = self.generated
            case _:
                left = sum(tokens for _, tokens in self.reserved)
        for request_id, tokens in self.reserved:
            used = min(left, tokens)
            left -= used
            self.owner.quotas.tell(Settle(request_id, used))


def max_tokens_of(exchange: Exchange) -> int:
    """Return the most tokens that a request generates, 0 without a generation stage."""
    match exchange.call:
        case PipelineCall(pipeline, max_tokens=max_tokens):
            stages = exchange.cfg.pipelines[pipeline].stages
            return max_tokens * sum(isinstance(stage, EngineStage) for stage in stages)
        case ServiceCall():
            return 0
