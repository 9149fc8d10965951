"""Filters that determine the customer, the plan and the deadline of a request."""

import hashlib
import hmac
from datetime import timedelta

from returns.result import Failure

from greengagehoist.base import (
    Call,
    ErrorCode,
    Exchange,
    ExchangeResult,
    PipelineCall,
    Proceed,
    ServiceCall,
    StepError,
    not_run,
)
from greengagehoist.config import Config, Holding, PlanUsage
from greengagehoist.controllers import GetConfig
from greengagehoist.utils import Clock, Controller


class IdentifyFilter:
    """Authenticates the customer by the bearer credential."""

    def __init__(self, configs: Controller):
        self.configs = configs
        self._version = -1
        self._by_digest: dict[str, Holding] = {}

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> ExchangeResult:
        """Add the configuration and the customer's holding to the exchange."""
        cfg = await self.configs.ask(GetConfig())
        holding = self._find(cfg, exchange.credential)
        if holding is None:
            return Failure(not_run("identify", ErrorCode.UNAUTHENTICATED, "unknown credential"))
        return await proceed(exchange._replace(cfg=cfg, holding=holding))

    async def is_known_credential(self, credential: str) -> bool:
        """Return True if the credential belongs to a customer."""
        return self._find(await self.configs.ask(GetConfig()), credential) is not None

    def _find(self, cfg: Config, credential: str) -> Holding | None:
        if cfg.version != self._version:
            self._by_digest = {item.credential_sha256: item for item in cfg.holdings.values()}
            self._version = cfg.version
        digest = hashlib.sha256(credential.encode()).hexdigest()
        holding = self._by_digest.get(digest)
        if holding is None or not hmac.compare_digest(holding.credential_sha256, digest):
            return None
        return holding


class PlanFilter:
    """Looks up the plan's usage and rejects calls that the plan does not include."""

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> ExchangeResult:
        """Add the usage of the customer's plan to the exchange."""
        usage = exchange.cfg.usage.get(exchange.holding.plan)
        if usage is None:
            text = f"plan {exchange.holding.plan} has no usage entry"
            return Failure(not_run("plan", ErrorCode.FORBIDDEN, text))
        rejection = _check_included(exchange.cfg, usage, exchange.call)
        if rejection is not None:
            return Failure(rejection)
        return await proceed(exchange._replace(usage=usage))


def _check_included(cfg: Config, usage: PlanUsage, call: Call) -> StepError | None:
    match call:
        case PipelineCall(pipeline):
            if pipeline not in cfg.pipelines:
                return not_run("plan", ErrorCode.NOT_FOUND, f"no pipeline {pipeline}")
            included = pipeline in usage.pipelines
        case ServiceCall(service, operation):
            if service not in cfg.services or operation not in cfg.services[service].operations:
                text = f"no operation {service}/{operation}"
                return not_run("plan", ErrorCode.NOT_FOUND, text)
            included = service in usage.services
    if not included:
        return not_run("plan", ErrorCode.FORBIDDEN, f"not included in plan {usage.plan}")
    return None


class DeadlineFilter:
    """Sets the deadline from the plan; the caller may shorten it."""

    def __init__(self, clock: Clock):
        self.clock = clock

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> ExchangeResult:
        """Add the deadline to the exchange; reject the request if it has passed."""
        allowed = exchange.usage.deadline
        if exchange.requested_deadline is not None:
            allowed = min(allowed, exchange.requested_deadline)
        deadline = exchange.arrived + allowed / timedelta(seconds=1)
        if deadline <= self.clock.monotonic():
            return Failure(not_run("deadline", ErrorCode.DEADLINE, "deadline passed on arrival"))
        return await proceed(exchange._replace(deadline=deadline))
