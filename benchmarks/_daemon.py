"""Daemon of the load model: runs the product's decision logic in the order of its filters."""

import random
from typing import Any

from benchmarks._targets import Job, Target
from benchmarks._traffic import BLOCK_COST_S, DECODE_STEP_S, MEAN_TOKENS, Request
from greengagehoist.admission import Admitted, Entry, EntryOutcome, Gate, Refused
from greengagehoist.base import ErrorCode, not_run, unknown
from greengagehoist.config import EngineStage, PoolStage
from greengagehoist.deadlines import QuantileEstimator, StageEstimates, can_finish
from greengagehoist.retries import Hedge, RequestBudget, Retry, RetryRatio, backoff, classify, hedge
from greengagehoist.routing import Demand, Member, Policy, Roster

CONNECT_TIMEOUT_S = 0.5
LOCAL_LATENCY_S = 0.0001
REMOTE_LATENCY_S = 0.0012
PROGRESS_PERIOD_S = 0.5
# A stream slower than this fraction of the nominal token rate is resumed on another engine.
SLOW_STREAM_RATIO = 0.34
FIRST_TOKEN_RATIO = 4.0


def role_of(stage: Any) -> str:
    """Return the role of the targets that run a stage."""
    return stage.role if isinstance(stage, PoolStage | EngineStage) else "service:job-desk"


class RequestState:
    """Progress of a request at its daemon."""

    __slots__ = (
        "admitted_at",
        "attempts",
        "budget",
        "done",
        "jobs",
        "offset",
        "request",
        "stage",
        "tried",
    )

    def __init__(self, request: Request):
        self.request = request
        self.stage = 0
        self.budget = RequestBudget()
        self.jobs: list[Job] = []
        self.attempts = 0
        self.offset = 0
        self.tried: tuple[str, ...] = ()
        self.admitted_at = 0.0
        self.done = False


class Daemon:
    """Admits, routes and retries requests.

    :param model: load model that holds the targets and the network and collects the metrics.
    """

    def __init__(self, model: Any, name: str, data_centre: str, policy: Policy, weight: float):
        self.model = model
        self.loop = model.loop
        self.name = name
        self.data_centre = data_centre
        self.weight = weight
        self.plain = model.setup.plain
        self.rng = random.Random(f"{model.seed}/{name}")
        self.gates = {"pipeline": Gate(), "service": Gate()}
        self.estimates = StageEstimates()
        self.first_token = QuantileEstimator(0.95)
        self.ratios = {spec.role: RetryRatio() for spec in model.specs}
        distances = dict.fromkeys(model.data_centres, REMOTE_LATENCY_S)
        self.rosters: dict[str, Roster] = {
            spec.role: Roster(name, data_centre, distances, policy, weight) for spec in model.specs
        }

    def add(self, target: Target, *, slow_start: bool = False) -> None:
        """Add a target to the roster of its role."""
        member = Member(target.name, target.data_centre)
        self.rosters[target.spec.role].add(member, self.loop.now, slow_start=slow_start)

    def receive(self, request: Request) -> None:
        """Admit, queue or refuse an arriving request."""
        if self.plain:
            self._start(RequestState(request))
            return
        gate = self._gate(request)
        left = request.deadline - self.loop.now
        if not can_finish(left, self._stage_estimates(request, 0)):
            self.model.record_refusal(request)
            return
        latest = request.deadline - sum(item.p50 for item in self._stage_estimates(request, 0))
        cost = 1.0 + request.tokens / MEAN_TOKENS
        weight = request.customer.weight
        entry = Entry(request.customer.name, weight, cost, latest, RequestState(request))
        self._apply_verdicts(gate.submit(entry, self.loop.now))

    def _gate(self, request: Request) -> Gate:
        return self.gates["pipeline" if len(request.stages) > 1 else "service"]

    def _stage_estimates(self, request: Request, first: int) -> list:
        return [self.estimates.snapshot(role_of(stage)) for stage in request.stages[first:]]

    def _apply_verdicts(self, verdicts: list) -> None:
        for verdict in verdicts:
            match verdict:
                case Admitted(entry):
                    self._start(entry.item)
                case Refused(entry, _):
                    self.model.record_refusal(entry.item.request)

    def _start(self, state: RequestState) -> None:
        state.admitted_at = self.loop.now
        self.loop.at(state.request.deadline, self._expire, state)
        self._begin_stage(state)

    def _begin_stage(self, state: RequestState) -> None:
        state.tried, state.attempts = (), 0
        left = state.request.deadline - self.loop.now
        if not self.plain and not can_finish(
            left, self._stage_estimates(state.request, state.stage)
        ):
            self._finish(state, False)
            return
        role = role_of(state.request.stages[state.stage])
        self.ratios[role].observe_first()
        self.model.count_first_attempt(role)
        self._send(state)

    def _send(self, state: RequestState) -> None:
        if state.done:
            return
        request, stage, now = state.request, state.request.stages[state.stage], self.loop.now
        role = role_of(stage)
        state.attempts += 1
        key = f"{request.number}/{state.stage}/{state.attempts}"
        if isinstance(stage, EngineStage):
            work = BLOCK_COST_S * len(request.prefix) + DECODE_STEP_S * MEAN_TOKENS
            demand = Demand(key, work, request.prefix, BLOCK_COST_S, state.tried)
        else:
            demand = Demand(key, self.model.work[role], exclude=state.tried)
        name = self.rosters[role].choose(demand, now, self.rng)
        if name is None:
            self._handle_failure(state, not_run(role, ErrorCode.UNAVAILABLE, "no target"))
            return
        target = self.model.targets[name]
        self.rosters[role].observe_sent(name, demand, now)
        state.tried = (*state.tried, name)
        index = state.stage
        job = Job(key, request, lambda job, ok: self._deliver_reply(state, index, job, now, ok))
        job.target, job.offset = target, state.offset
        state.jobs.append(job)
        self.model.count_attempt(role)
        if not self.model.can_reach(self.data_centre, target):
            self.loop.after(CONNECT_TIMEOUT_S, self._handle_unreachable, state, index, job, now)
            return
        self.loop.after(self._latency(target), self._arrive, job)
        if not self.plain:
            self._schedule_checks(state, index, stage, role, job)

    def _arrive(self, job: Job) -> None:
        if not job.ended:
            job.target.submit(job)

    def _latency(self, target: Target) -> float:
        return LOCAL_LATENCY_S if target.data_centre == self.data_centre else REMOTE_LATENCY_S

    def _schedule_checks(
        self, state: RequestState, index: int, stage: Any, role: str, job: Job
    ) -> None:
        """Schedule the progress checks of a generation, or the hedge of another stage."""
        if isinstance(stage, EngineStage):
            self.loop.after(PROGRESS_PERIOD_S, self._check_progress, state, index, job)
            return
        after = self.estimates.snapshot(role).p95
        match hedge(stage, after, self._gate(state.request).is_overloaded, self.weight):
            case Hedge(delay) if state.attempts == 1:
                self.loop.after(delay, self._hedge, state, index)

    def _hedge(self, state: RequestState, index: int) -> None:
        if (
            not state.done
            and state.stage == index
            and state.attempts == 1
            and self._may_retry(state)
        ):
            state.budget = state.budget.spend()
            self._send(state)

    def _check_progress(self, state: RequestState, index: int, job: Job) -> None:
        """Resume a stalled or slow stream on another engine."""
        if state.done or state.stage != index or job.ended:
            return
        produced, waited = job.progress(self.loop.now)
        expected_wait = max(PROGRESS_PERIOD_S, FIRST_TOKEN_RATIO * self.first_token.value)
        silent = produced == job.offset and waited > expected_wait
        silent = silent or not self.model.can_reach(self.data_centre, job.target)
        streamed = waited - PROGRESS_PERIOD_S
        slow = (
            produced > job.offset
            and produced - job.offset < SLOW_STREAM_RATIO * streamed / DECODE_STEP_S
        )
        if (silent or slow) and self._may_retry(state):
            state.budget = state.budget.spend()
            state.offset = produced
            self._cancel_jobs(state)
            self._send(state)
        else:
            self.loop.after(PROGRESS_PERIOD_S, self._check_progress, state, index, job)

    def _may_retry(self, state: RequestState) -> bool:
        overloaded = self._gate(state.request).is_overloaded
        role = role_of(state.request.stages[state.stage])
        return state.budget.left > 0 and not overloaded and self.ratios[role].try_acquire()

    def _handle_unreachable(
        self, state: RequestState, index: int, job: Job, sent_at: float
    ) -> None:
        if job.ended:
            return
        job.ended = True
        roster = self.rosters[job.target.spec.role]
        roster.observe_unreachable(job.target.name, job.key, self.loop.now)
        if not state.done and state.stage == index:
            error = not_run(job.target.spec.role, ErrorCode.CONNECTION, "no connection")
            self._handle_failure(state, error)

    def _deliver_reply(
        self, state: RequestState, index: int, job: Job, sent_at: float, ok: bool
    ) -> None:
        latency = self._latency(job.target)
        if not self.model.can_reach(self.data_centre, job.target):
            ok, latency = False, CONNECT_TIMEOUT_S
        self.loop.after(latency, self._handle_reply, state, index, job, sent_at, ok)

    def _handle_reply(
        self, state: RequestState, index: int, job: Job, sent_at: float, ok: bool
    ) -> None:
        self._observe(job, sent_at, ok)
        role = job.target.spec.role
        if state.done or state.stage != index:
            self.model.record_wasted_work(role, job.work)
        elif not ok:
            self.model.record_wasted_work(role, job.work)
            self._handle_failure(state, unknown(role, ErrorCode.TARGET_FAILED, "failed"))
        else:
            self.estimates.observe(role, self.loop.now - sent_at)
            if role == "engine":
                self.first_token.observe(job.first_token - sent_at)
            self._complete_stage(state, job)

    def _observe(self, job: Job, sent_at: float, ok: bool) -> None:
        latency = self.loop.now - sent_at
        role = job.target.spec.role
        self.rosters[role].observe_done(job.target.name, job.key, latency, ok, self.loop.now)

    def _complete_stage(self, state: RequestState, job: Job) -> None:
        state.jobs.remove(job)
        self._cancel_jobs(state)
        state.stage += 1
        if isinstance(state.request.stages[state.stage - 1], EngineStage):
            self.model.record_stream(state.request, job)
        if state.stage < len(state.request.stages):
            self._begin_stage(state)
        else:
            self._finish(state, True)

    def _handle_failure(self, state: RequestState, error: Any) -> None:
        stage = state.request.stages[state.stage]
        decision = classify(error, stage, self._gate(state.request).is_overloaded)
        pending = [job for job in state.jobs if not job.ended]
        if pending:
            return
        if not isinstance(decision, Retry) or state.budget.left <= 0:
            self._finish(state, False)
            return
        if decision.counted and not self.ratios[role_of(stage)].try_acquire():
            self._finish(state, False)
            return
        delay = backoff(state.attempts - 1, self.rng) if decision.delayed else 0.0
        state.budget = state.budget.spend()
        self.loop.after(delay, self._send, state)

    def _expire(self, state: RequestState) -> None:
        if not state.done:
            self._finish(state, False)

    def _cancel_jobs(self, state: RequestState) -> None:
        for job in state.jobs:
            if job.ended:
                continue
            kept = DECODE_STEP_S * max(0, state.offset - job.offset)
            used = job.target.cancel(job)
            self.model.record_wasted_work(job.target.spec.role, max(0.0, used - kept))
            roster = self.rosters[job.target.spec.role]
            roster.observe_cancelled(job.target.name, job.key, self.loop.now)
        state.jobs.clear()

    def _finish(self, state: RequestState, succeeded: bool) -> None:
        state.done = True
        self._cancel_jobs(state)
        now = self.loop.now
        self.model.record_completion(state.request, succeeded and now <= state.request.deadline)
        if self.plain:
            return
        late = now >= state.request.deadline
        ending = (
            EntryOutcome.COMPLETED
            if succeeded
            else EntryOutcome.MISSED if late else EntryOutcome.FAILED
        )
        gate = self._gate(state.request)
        self._apply_verdicts(gate.finish(now - state.admitted_at, ending, now))
