"""Filter that runs a non-idempotent operation at most once."""

import asyncio
import hashlib
import json
import random
from typing import Any

from returns.result import Failure, Success

from greengagehoist.base import (
    Answer,
    ErrorCode,
    Exchange,
    ExchangeResult,
    Outcome,
    Proceed,
    ServiceCall,
    StepError,
    not_run,
    unknown,
)
from greengagehoist.claims import (
    Claim,
    ClaimEvent,
    Own,
    Reconcile,
    Replay,
    Reused,
    StoredClaim,
    apply_event,
    decide_claim,
    event_of,
    scoped_key,
)
from greengagehoist.config import NonIdempotent
from greengagehoist.controllers import (
    Assignment,
    CloseClaim,
    Completed,
    FindTarget,
    OpenClaim,
    ReadClaim,
    Route,
)
from greengagehoist.filters._retry import RetryPolicy
from greengagehoist.targets import ReadRecord
from greengagehoist.utils import Clock, Controller, log_event

RECORD_READ_TIMEOUT_S = 1.0
RECORD_INITIAL_BACKOFF_S = 0.05
MAX_RECORD_READS = 6


class ClaimFilter:
    """Claims the idempotency key of a non-idempotent operation before it is sent.

    The filter chooses the target, so that the claim's row names it before anything is sent. An
    operation continues if its caller disconnects.
    """

    def __init__(
        self,
        claims: Controller,
        targets: Controller,
        retries: RetryPolicy,
        clock: Clock,
        rng: random.Random,
    ):
        self.claims = claims
        self.targets = targets
        self.retries = retries
        self.clock = clock
        self.rng = rng
        self.has_ended = False
        self._tasks: dict[asyncio.Task, _OperationRun] = {}

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> ExchangeResult:
        """Return the answer, the stored answer of a repeated key, or the failure."""
        match exchange.call:
            case ServiceCall(service, operation):
                kind = exchange.cfg.services[service].operations[operation]
                if isinstance(kind, NonIdempotent):
                    run = self._build_run(exchange, proceed)
                    task = asyncio.get_running_loop().create_task(run.run())
                    self._tasks[task] = run
                    task.add_done_callback(self._on_task_done)
                    return await asyncio.shield(task)
        return await proceed(exchange)

    async def wait_idle(self) -> None:
        """Wait for the running operations, also those whose callers have disconnected."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def end_running(self) -> None:
        """End the running operations; each closes its claim as not run or unknown."""
        self.has_ended = True
        for task, run in self._tasks.items():
            if not run.is_opening:
                task.cancel()

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            log_event("operation_failed", "ERROR", error=repr(task.exception()))

    def _build_run(self, exchange: Exchange, proceed: Proceed) -> "_OperationRun":
        if not exchange.idempotency_key:
            exchange = exchange._replace(idempotency_key=exchange.request_id)
        key = scoped_key(exchange.holding.customer, exchange.idempotency_key)
        return _OperationRun(self, exchange, proceed, key)


class _OperationRun:
    """Execution of one operation, from its claim to the claim's final state.

    While it is opening, the claim controller may still write the claim, so it is not cancelled.
    """

    def __init__(self, claim_filter: ClaimFilter, exchange: Exchange, proceed: Proceed, key: str):
        self.claim_filter = claim_filter
        self.exchange = exchange
        self.proceed = proceed
        self.key = key
        self.claim = Claim(exchange.request_id, request_digest(exchange.call), "")
        self.version = 0
        self.is_opening = False
        # How an open claim ends if the operation is cancelled.
        self._final_event: ClaimEvent | None = None

    async def run(self) -> ExchangeResult:
        """Run the operation; if it is cancelled, close its claim truthfully."""
        try:
            return await self._run()
        except asyncio.CancelledError:
            if self._final_event is not None:
                self._close(self._final_event)
            raise

    async def _run(self) -> ExchangeResult:
        """Try targets in turn until one may have received the operation."""
        call = self.exchange.call
        route = Route(self.exchange.request_id, call.service, f"service:{call.service}")
        tried: tuple[str, ...] = ()
        number = 1
        while True:
            assigned = await self.claim_filter.targets.ask(route._replace(exclude=tried))
            if isinstance(assigned, Failure):
                return await self._answer_without_target(assigned, tried)
            assignment = assigned.unwrap()
            opened = await self._open(assignment)
            if opened is not None:
                self.claim_filter.targets.tell(
                    Completed(assignment.target, 0.0, True, assignment.ticket, True)
                )
                return opened
            result = await self._send(assignment, number)
            if isinstance(result, Success):
                self._close(ClaimEvent.ANSWERED, result.unwrap().body)
                return result
            error = result.failure()
            if error.outcome is not Outcome.NOT_RUN:
                return await self._resolve_outcome(assignment, error)
            final = error.code is ErrorCode.KEY_REUSED
            if final or not self.claim_filter.retries.allow_retry(error, number, self._left_s()):
                self._close(ClaimEvent.REFUSED)
                return result
            self._final_event = ClaimEvent.REFUSED
            tried += (assignment.target.name,)
            number += 1

    async def _open(self, assignment: Assignment) -> ExchangeResult | None:
        """Write the claim for a target; return the result, or None if the operation may be sent."""
        self.claim = self.claim._replace(target=assignment.target.name)
        until = self.exchange.deadline
        message = OpenClaim(self.key, self.claim, until, self.version)
        self.is_opening = True
        opened = await self.claim_filter.claims.ask(message)
        self.is_opening = False
        match opened:
            case Success(Own(version)):
                self.version = version
            case Success(decision):
                return await self._answer_from_claim(decision)
            case Failure() if self._service_keeps_keys() and self._left_s() > 0:
                # The service deduplicates by key itself, so no row is needed to send.
                self.version = 0
            case Failure() as failure:
                # A write that is still in flight must not leave a claim that is never sent.
                self.version = 0
                self._close(ClaimEvent.REFUSED)
                return failure
        if self._left_s() <= 0:
            self._close(ClaimEvent.REFUSED)
            text = "deadline passed before the operation was sent"
            return Failure(not_run("claim", ErrorCode.DEADLINE, text))
        if self.claim_filter.has_ended:
            self._close(ClaimEvent.REFUSED)
            text = "the daemon is stopping; use another one"
            return Failure(not_run("claim", ErrorCode.DRAINING, text))
        return None

    async def _send(self, assignment: Assignment, number: int) -> ExchangeResult:
        self._final_event = ClaimEvent.LOST
        try:
            return await self.proceed(self.exchange._replace(assigned=assignment, attempt=number))
        except Exception as exc:
            text = f"{type(exc).__name__} {exc}".rstrip()
            return Failure(unknown("claim", ErrorCode.TARGET_FAILED, text))

    async def _answer_without_target(
        self, failure: ExchangeResult, tried: tuple[str, ...]
    ) -> ExchangeResult:
        """Return a stored answer if there is one, else the failure to assign a target."""
        if tried:
            self._close(ClaimEvent.REFUSED)
            return failure
        match await self.claim_filter.claims.ask(ReadClaim(self.key)):
            case Success(stored) if stored is not None:
                decision = decide_claim(stored, self.claim)
                if isinstance(decision, Replay | Reused | Reconcile):
                    return await self._answer_from_claim(decision)
        return failure

    async def _answer_from_claim(self, decision: Replay | Reused | Reconcile) -> ExchangeResult:
        self._final_event = None
        match decision:
            case Replay(result):
                return Success(Answer(self.exchange.request_id, result, replayed=True))
            case Reused():
                text = "the key was used for another request"
                return Failure(not_run("claim", ErrorCode.KEY_REUSED, text))
            case Reconcile(stored):
                return await self._reconcile(stored)

    async def _reconcile(self, stored: StoredClaim) -> ExchangeResult:
        """Determine from the target's record whether the claim owner's operation ran."""
        if self.exchange.mark_sent is not None:
            self.exchange.mark_sent()
        text = "an earlier request with this key has no known end"
        error = unknown("claim", ErrorCode.CONFLICT, text, peer=stored.claim.target)
        assignment = await self.claim_filter.targets.ask(FindTarget(stored.claim.target))
        if assignment is None:
            return Failure(error)
        found = await self._read_record(assignment, stored.claim.owner)
        if found is None:
            return Failure(error)
        final = apply_event(stored.claim, ClaimEvent.FOUND, found.result)
        self.claim_filter.claims.tell(CloseClaim(self.key, final, stored.version))
        return Success(Answer(self.exchange.request_id, found.result, replayed=True))

    async def _resolve_outcome(self, assignment: Assignment, error: StepError) -> ExchangeResult:
        """Determine from the target's record whether this operation ran."""
        found = await self._read_record(assignment, self.claim.owner)
        if found is None:
            self._close(event_of(Outcome.UNKNOWN))
            return Failure(error._replace(outcome=Outcome.UNKNOWN))
        self._close(ClaimEvent.FOUND, found.result)
        return Success(Answer(self.exchange.request_id, found.result))

    async def _read_record(self, assignment: Assignment, owner: str) -> Any:
        """Read the target's record until it shows the owner's operation or the deadline passes."""
        delay = RECORD_INITIAL_BACKOFF_S
        for _ in range(MAX_RECORD_READS):
            left = self._left_s()
            if left <= 0:
                return None
            message = ReadRecord(self.key, min(left, RECORD_READ_TIMEOUT_S))
            match await assignment.link.ask(message):
                case Success(found) if found is not None:
                    # A service that keeps keys may have run another request with this key while
                    # the table was down; its result must not answer this request.
                    return found if found.request_id == owner else None
                case Failure(error) if error.code is ErrorCode.NOT_FOUND:
                    return None
            await self.claim_filter.clock.sleep(self.claim_filter.rng.uniform(delay / 2, delay))
            delay *= 2
        return None

    def _close(self, event: ClaimEvent, result: Any = None) -> None:
        self._final_event = None
        final = apply_event(self.claim, event, result)
        self.claim_filter.claims.tell(CloseClaim(self.key, final, self.version or None))

    def _left_s(self) -> float:
        return self.exchange.deadline - self.claim_filter.clock.monotonic()

    def _service_keeps_keys(self) -> bool:
        return self.exchange.cfg.services[self.exchange.call.service].keeps_keys


def request_digest(call: ServiceCall) -> str:
    """Return a digest by which reuse of a key for a different request is detected."""
    text = json.dumps(
        [call.service, call.operation, call.args], sort_keys=True, separators=(",", ":")
    )
    return hashlib.sha256(text.encode()).hexdigest()
