"""Last filter of the chain, which runs the stages of a pipeline or calls a service."""

from typing import Any

from returns.result import Failure, Result, Success

from greengagehoist.answers import digest_tokens
from greengagehoist.base import (
    Answer,
    ErrorCode,
    Exchange,
    ExchangeResult,
    Outcome,
    PipelineCall,
    Proceed,
    ServiceCall,
    StepError,
    not_run,
)
from greengagehoist.claims import scoped_key
from greengagehoist.config import EngineStage, Idempotent, NonIdempotent, PoolStage, Stage
from greengagehoist.controllers import Route
from greengagehoist.filters._retry import RetryPolicy
from greengagehoist.filters._sender import Sender
from greengagehoist.filters._stages import Output, StageRun, StageRunner
from greengagehoist.routing import hash_prefix
from greengagehoist.targets import Attempt, GenerateCall, OperationCall, PoolCall
from greengagehoist.utils import Metrics, NullMetrics


class DispatchFilter:
    """Runs the stages in order on targets that the target controller assigns.

    A non-idempotent operation is sent once, to the target that the claim filter assigned.
    """

    def __init__(self, sender: Sender, retries: RetryPolicy, metrics: Metrics | None = None):
        self.sender = sender
        self.retries = retries
        self.runner = StageRunner(sender, retries, metrics or NullMetrics())

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> ExchangeResult:
        """Return the answer without calling ``proceed``."""
        match exchange.call:
            case PipelineCall() as call:
                return await self._run_pipeline(exchange, call)
            case ServiceCall(service, operation) as call:
                match exchange.cfg.services[service].operations[operation]:
                    case NonIdempotent():
                        return await self._send_once(exchange, call)
                    case Idempotent():
                        return await self._run_operation(exchange, call)

    async def _run_pipeline(self, exchange: Exchange, call: PipelineCall) -> ExchangeResult:
        output, ran = Output(call.text), False
        for stage in exchange.cfg.pipelines[call.pipeline].stages:
            result = await self._run_stage(exchange, call, stage, output.text)
            match result:
                case Success(found):
                    output, ran = found, True
                case Failure(error) if ran and error.outcome is Outcome.NOT_RUN:
                    return Failure(error._replace(outcome=Outcome.RAN))
                case Failure() as failure:
                    return failure
        tokens = output.tokens
        return Success(Answer(exchange.request_id, output.text, len(tokens), digest_tokens(tokens)))

    async def _run_stage(
        self, exchange: Exchange, call: PipelineCall, stage: Stage, text: str
    ) -> Result[Output, StepError]:
        match stage:
            case PoolStage(name, role):

                def make_pool(attempt: Attempt, run: StageRun) -> PoolCall:
                    return PoolCall(attempt, text, self.sender.left_ms(exchange))

                route = Route(exchange.request_id, name, role)
                return await self.runner.run(exchange, route, make_pool)
            case EngineStage(name, role, model):

                def make_generate(attempt: Attempt, run: StageRun) -> GenerateCall:
                    return GenerateCall(
                        attempt,
                        text,
                        call.max_tokens,
                        run.offset,
                        exchange.usage.priority,
                        self.sender.left_ms(exchange),
                        run.accept,
                        model,
                    )

                prefix = hash_prefix(text)
                route = Route(exchange.request_id, name, role, model, prefix=prefix)
                return await self.runner.run(exchange, route, make_generate, call.max_tokens)

    async def _run_operation(self, exchange: Exchange, call: ServiceCall) -> ExchangeResult:
        route = Route(exchange.request_id, call.service, f"service:{call.service}")
        tried: tuple[str, ...] = ()
        sent, number = False, 1
        while True:
            assigned = await self.sender.targets.ask(route._replace(exclude=tried))
            if isinstance(assigned, Failure):
                break
            result = await self._send(exchange, call, assigned.unwrap(), number)
            if isinstance(result, Success):
                return result
            error, left = result.failure(), self.sender.left(exchange)
            sent = sent or error.outcome is not Outcome.NOT_RUN
            assigned = result
            if left <= 0 or not self.retries.allow_retry(error, number, left):
                break
            tried += (error.peer,)
            number += 1
        if sent and assigned.failure().outcome is Outcome.NOT_RUN:
            return assigned.alt(lambda error: error._replace(outcome=Outcome.UNKNOWN))
        return assigned

    async def _send_once(self, exchange: Exchange, call: ServiceCall) -> ExchangeResult:
        if exchange.assigned is None:
            text = "non-idempotent operation without a claim"
            return Failure(not_run("dispatch", ErrorCode.UNAVAILABLE, text))
        return await self._send(exchange, call, exchange.assigned, exchange.attempt)

    async def _send(
        self, exchange: Exchange, call: ServiceCall, assignment: Any, number: int
    ) -> ExchangeResult:
        attempt = Attempt(exchange.request_id, call.service, number)
        key = ""
        if exchange.assigned is not None:
            key = scoped_key(exchange.holding.customer, exchange.idempotency_key)
        sent = OperationCall(attempt, call.operation, key, call.args, exchange.deadline)
        result = await self.sender.send(exchange, assignment, sent)
        return result.bind(lambda reply: _accept_reply(exchange, assignment, reply))


def _accept_reply(exchange: Exchange, assignment: Any, reply: Any) -> ExchangeResult:
    """Accept a reply to this request, or a replay by a service that keeps idempotency keys."""
    if reply.request_id != exchange.request_id:
        if (
            exchange.assigned is not None
            and exchange.cfg.services[exchange.call.service].keeps_keys
        ):
            return Success(Answer(exchange.request_id, reply.result, replayed=True))
        stage, peer = exchange.call.service, assignment.target.name
        text = "reply names another request"
        return Failure(StepError(stage, peer, Outcome.UNKNOWN, ErrorCode.TARGET_FAILED, text))
    return Success(Answer(exchange.request_id, reply.result))
