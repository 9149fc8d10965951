"""Discrete-event model of daemons, targets, their network and delayed load reports."""

import random
from collections import Counter
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from benchmarks._daemon import Daemon
from benchmarks._loop import Loop
from benchmarks._targets import SPECS, Job, PoolSpec, Target
from benchmarks._traffic import (
    BLOCK_COST_S,
    DECODE_STEP_S,
    MEAN_TOKENS,
    SHARED_BLOCKS,
    Deployment,
    LoadShape,
    Request,
    generate_arrivals,
)
from greengagehoist.routing import Policy

DATA_CENTRES = ("dc0", "dc1", "dc2", "dc3")
DAEMONS = 7
REPORT_PERIOD_S = 0.5
REPORT_LAG_S = 0.25
CACHE_EVENT_LAG_S = 0.5
MAX_LATENCY_US = 60_000_000
WARM_UP_S = 5.0


class Setup(NamedTuple):
    """One run of the model.

    :param duration: seconds of arrivals; the first ``WARM_UP_S`` are excluded.
    :param plain: whether to disable admission, deadline checks, hedging and resumption, so that
        requests are sent at once and queue in order of arrival at the targets.
    """

    deployment: Deployment
    policy: Policy
    shape: LoadShape
    duration: float
    seed: int = 1
    attainment_weight: float | None = None
    specs: tuple[PoolSpec, ...] = SPECS
    plain: bool = False


class RunMetrics(NamedTuple):
    """Metrics of a run; latencies are measured from the scheduled arrival time.

    :param answered: requests answered completely within the deadline, by customer.
    :param offered: arrivals by customer.
    :param pipelines: pipeline requests answered completely within the deadline.
    :param busy: busy seconds by role, without wasted work.
    :param wasted: busy seconds by role of attempts whose result was not used.
    :param first: first attempts by role.
    :param sent: attempts by role, retries and hedges included.
    :param by_data_centre: offered and answered requests by the data centre of the daemon.
    """

    answered: Counter
    offered: Counter
    pipelines: int
    refused: int
    busy: dict[str, float]
    wasted: Counter
    first: Counter
    sent: Counter
    latency_p50: float
    latency_p99: float
    first_token_p95: float
    between_tokens_p95: float
    cached_share: float
    replica_seconds: dict[str, float]
    by_data_centre: dict[str, tuple[int, int]]

    @property
    def attainment(self) -> float:
        """Percentage of the offered requests answered completely within the deadline."""
        return 100.0 * self.answered.total() / max(1, self.offered.total())


class LoadModel:
    """One run of the model."""

    def __init__(self, setup: Setup):
        self.setup = setup
        self.seed = setup.seed
        self.loop = Loop()
        self.specs = setup.specs
        self.data_centres = DATA_CENTRES
        self.rng = random.Random(setup.seed)
        self.work = {spec.role: spec.work for spec in setup.specs}
        self.targets: dict[str, Target] = {}
        self.isolated = ""
        weight = setup.attainment_weight
        weight = setup.deployment.attainment_weight if weight is None else weight
        self.daemons = [
            Daemon(self, f"vm{index}", DATA_CENTRES[index % 4], setup.policy, weight)
            for index in range(DAEMONS)
        ]
        for spec in setup.specs:
            for index in range(spec.replicas):
                self.add_target(spec, index)
        self._answered: Counter = Counter()
        self._offered: Counter = Counter()
        self._by_data_centre: dict[str, list[int]] = {name: [0, 0] for name in DATA_CENTRES}
        self._daemon_of: dict[int, Daemon] = {}
        self._refused = 0
        self._pipelines = 0
        self._retired_busy: Counter = Counter()
        self._wasted: Counter = Counter()
        self._first: Counter = Counter()
        self._sent: Counter = Counter()
        self._blocks = [0, 0]
        self._histograms = [HdrHistogram(1, MAX_LATENCY_US, 3) for _ in range(3)]
        self.replica_seconds: Counter = Counter()

    def add_target(self, spec: PoolSpec, index: int, *, slow_start: bool = False) -> Target:
        """Start a target and add it to the daemons' rosters."""
        name = f"{spec.role}-{index}"
        rng = random.Random(f"{self.seed}/{name}")
        target = Target(self.loop, name, DATA_CENTRES[index % 4], spec, rng)
        self.targets[name] = target
        for daemon in self.daemons:
            daemon.add(target, slow_start=slow_start)
        self.loop.after(rng.random() * REPORT_PERIOD_S, self._report, target)
        return target

    def retire_target(self, name: str) -> None:
        """Remove an idle target."""
        target = self.targets.pop(name)
        self._retired_busy[target.spec.role] += target.busy_s

    def _report(self, target: Target) -> None:
        if self.targets.get(target.name) is not target or target.dead:
            return
        report, events = target.report(), target.drain_cache_events()
        for daemon in self.daemons:
            if not self.can_reach(daemon.data_centre, target):
                continue
            roster = daemon.rosters[target.spec.role]
            self.loop.after(REPORT_LAG_S, roster.observe_report, target.name, report)
            if events is not None:
                self.loop.after(
                    CACHE_EVENT_LAG_S, self._deliver_cache_events, roster, target.name, events
                )
        self.loop.after(REPORT_PERIOD_S, self._report, target)

    def _deliver_cache_events(self, roster: Any, name: str, events: Any) -> None:
        roster.observe_cache_events(name, events, self.loop.now)

    def can_reach(self, data_centre: str, target: Target) -> bool:
        """Return whether a target is running and the network path to it is up."""
        if target.dead:
            return False
        cut = self.isolated in (data_centre, target.data_centre)
        return not cut or data_centre == target.data_centre

    def run(self) -> RunMetrics:
        """Simulate all arrivals until every deadline has passed and return the metrics."""
        arrivals = generate_arrivals(
            self.setup.deployment, self.setup.shape, self.setup.duration, self.rng
        )
        self._schedule(arrivals)
        self.loop.run(self.setup.duration + self.setup.deployment.deadline + 1.0)
        return self._collect_metrics()

    def _schedule(self, arrivals: Any) -> None:
        request = next(arrivals, None)
        if request is not None:
            self.loop.at(request.arrived, self._arrive, request, arrivals)

    def _arrive(self, request: Request, arrivals: Any) -> None:
        self._schedule(arrivals)
        daemon = self.daemons[self.rng.randrange(DAEMONS)]
        self._daemon_of[request.number] = daemon
        if request.arrived >= WARM_UP_S:
            self._offered[request.customer.name] += 1
            self._by_data_centre[daemon.data_centre][0] += 1
        daemon.receive(request)

    def record_refusal(self, request: Request) -> None:
        """Count a request that was rejected before it was run."""
        self._daemon_of.pop(request.number, None)
        self._refused += request.arrived >= WARM_UP_S

    def record_completion(self, request: Request, succeeded: bool) -> None:
        """Count an admitted request that has ended."""
        daemon = self._daemon_of.pop(request.number, None)
        if request.arrived < WARM_UP_S or not succeeded or daemon is None:
            return
        self._answered[request.customer.name] += 1
        self._by_data_centre[daemon.data_centre][1] += 1
        self._pipelines += len(request.stages) > 1
        self._histograms[0].record_value(int((self.loop.now - request.arrived) * 1e6) + 1)

    def record_stream(self, request: Request, job: Job) -> None:
        """Record the token latencies and cache hits of a finished generation."""
        if request.arrived < WARM_UP_S:
            return
        slowdown = job.target.slowdown
        first = job.first_token - request.arrived
        self._histograms[1].record_value(int(first * 1e6) + 1)
        self._histograms[2].record_value(int(DECODE_STEP_S * slowdown * 1e6) + 1, request.tokens)
        self._blocks[0] += min(job.cached, SHARED_BLOCKS)
        self._blocks[1] += SHARED_BLOCKS

    def count_first_attempt(self, role: str) -> None:
        """Count a first attempt of a stage."""
        self._first[role] += 1

    def count_attempt(self, role: str) -> None:
        """Count an attempt of a stage."""
        self._sent[role] += 1

    def record_wasted_work(self, role: str, seconds: float) -> None:
        """Count busy seconds of an attempt whose result was not used."""
        self._wasted[role] += seconds

    def _collect_metrics(self) -> RunMetrics:
        busy = Counter(self._retired_busy)
        for target in self.targets.values():
            busy[target.spec.role] += target.busy_s
        latency, first, between = self._histograms
        replicas = dict(self.replica_seconds) or {
            spec.role: spec.replicas * self.setup.duration for spec in self.specs
        }
        return RunMetrics(
            self._answered,
            self._offered,
            self._pipelines,
            self._refused,
            {role: busy[role] - self._wasted[role] for role in busy},
            self._wasted,
            self._first,
            self._sent,
            latency.get_value_at_percentile(50) / 1e6,
            latency.get_value_at_percentile(99) / 1e6,
            first.get_value_at_percentile(95) / 1e6,
            between.get_value_at_percentile(95) / 1e6,
            100.0 * self._blocks[0] / max(1, self._blocks[1]),
            replicas,
            {name: tuple(counts) for name, counts in self._by_data_centre.items()},
        )


def engine_work(cached_share: float) -> float:
    """Return the mean busy seconds of a generation at a share of cached shared blocks (0..1)."""
    prefix = BLOCK_COST_S * (10 - SHARED_BLOCKS * cached_share)
    return prefix + DECODE_STEP_S * MEAN_TOKENS
