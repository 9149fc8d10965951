"""Experiments on the load model that compare the product with baseline routing policies."""

from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from benchmarks._faults import (
    Autoscaled,
    CutOff,
    DeadPool,
    FailingStage,
    Fault,
    SlowReplica,
    simulate,
)
from benchmarks._load_model import RunMetrics, Setup
from benchmarks._rows import Row
from benchmarks._targets import SPECS
from benchmarks._traffic import DISPATCH, KIOSK, Deployment, LoadShape
from greengagehoist.routing import (
    ExpectedTime,
    LeastReported,
    Policy,
    PowerOfTwo,
    RandomChoice,
    RoundRobin,
)

WORKERS = 4
# Pipeline requests per second that keep the engines fully busy under random routing.
CAPACITY = 70.0
FAULT_AT_S = 20.0
DAY_S = 900.0
ATTAINMENT_WEIGHTS = (0.0, 0.25, 0.5, 0.75, 1.0)
PRODUCT_POLICY = "expected-time"
POLICIES: dict[str, Policy] = {
    PRODUCT_POLICY: ExpectedTime(),
    "random": RandomChoice(),
    "round-robin": RoundRobin(),
    "least-reported": LeastReported(),
    "power-of-two": PowerOfTwo(),
}
HEADER = (
    "policy",
    "attained %",
    "refused",
    "p50 s",
    "p99 s",
    "first token p95 s",
    "between tokens p95 ms",
    "cached %",
    "busy s",
    "wasted s",
)


class ExperimentRun(NamedTuple):
    """One run of an experiment."""

    experiment: str
    column: str
    setup: Setup
    fault: Fault | None = None


class Results:
    """Metrics by experiment and column."""

    def __init__(self, runs: list[ExperimentRun], metrics: list[RunMetrics]):
        self.by_experiment: dict[str, dict[str, RunMetrics]] = {}
        for run, run_metrics in zip(runs, metrics, strict=True):
            self.by_experiment.setdefault(run.experiment, {})[run.column] = run_metrics

    def get(self, experiment: str, column: str = PRODUCT_POLICY) -> RunMetrics:
        """Return the metrics of a run."""
        return self.by_experiment[experiment][column]


def list_runs(quick: bool) -> list[ExperimentRun]:
    """Return all runs; the quick set has shorter runs and fewer baselines."""
    length = 45.0 if quick else 120.0
    runs = []

    def add(name: str, deployment: Deployment, shape: LoadShape, fault=None, policies=POLICIES):
        for column, policy in policies.items():
            runs.append(
                ExperimentRun(name, column, Setup(deployment, policy, shape, length), fault)
            )

    compared = {name: POLICIES[name] for name in (PRODUCT_POLICY, "round-robin", "power-of-two")}
    compared = compared if quick else POLICIES
    ours = {PRODUCT_POLICY: POLICIES[PRODUCT_POLICY]}
    for deployment in (DISPATCH, KIOSK):
        add(f"{deployment.name} at 80 %", deployment, LoadShape(0.80 * CAPACITY), policies=compared)
    bursts = LoadShape(0.95 * CAPACITY, bursts=True)
    for deployment in (DISPATCH, KIOSK):
        add(f"{deployment.name} at 95 % with bursts", deployment, bursts, policies=compared)
    normal = LoadShape(0.80 * CAPACITY)
    add("slow replica", DISPATCH, normal, SlowReplica(FAULT_AT_S), compared)
    add("dead pool", DISPATCH, normal, DeadPool(FAULT_AT_S, "reranker", "dc1"), compared)
    add("data centre cut off", DISPATCH, normal, CutOff(FAULT_AT_S, "dc0"), compared)
    failing = FailingStage(FAULT_AT_S, "retriever")
    add("failing stage", DISPATCH, normal, failing, ours)
    for times in (1, 2, 4):
        add(f"overload {times}x", DISPATCH, LoadShape(times * CAPACITY), policies=ours)
    add("customer bursts 10x", DISPATCH, LoadShape(0.80 * CAPACITY, bursting="c2"), policies=ours)
    return runs + _plain_runs(bursts, length) + _scaling_runs(quick)


def _plain_runs(shape: LoadShape, length: float) -> list[ExperimentRun]:
    """Return the baseline runs with a routing policy alone, without the product's other logic."""
    return [
        ExperimentRun(
            f"{deployment.name} at 95 % with bursts",
            f"plain {column}",
            Setup(deployment, POLICIES[column], shape, length, plain=True),
        )
        for deployment in (DISPATCH, KIOSK)
        for column in ("round-robin", "power-of-two")
    ]


def _scaling_runs(quick: bool) -> list[ExperimentRun]:
    days = 1
    shape = LoadShape(0.80 * CAPACITY, day=DAY_S)
    policy = POLICIES[PRODUCT_POLICY]
    fixed = Setup(KIOSK, policy, shape, days * DAY_S)
    runs = [
        ExperimentRun("autoscaling", "fixed fleet", fixed),
        ExperimentRun("autoscaling", "scaled", fixed, Autoscaled()),
    ]
    for weight in () if quick else ATTAINMENT_WEIGHTS:
        setup = fixed._replace(attainment_weight=weight)
        runs.append(ExperimentRun("attainment weight", f"{weight}", setup, Autoscaled()))
    return runs


def _run(run: ExperimentRun) -> RunMetrics:
    return simulate(run.setup, run.fault)


def run_all(quick: bool) -> Results:
    """Run all experiments in a process pool."""
    runs = list_runs(quick)
    with ProcessPoolExecutor(WORKERS) as pool:
        return Results(runs, list(pool.map(_run, runs)))


def make_rows(results: Results) -> list[Row]:
    """Return the rows that have bounds."""
    rows = []
    for name in ("dispatch", "kiosk"):
        healthy = results.get(f"{name} at 80 %")
        rows.append(Row(f"{name}-healthy-attainment", healthy.attainment, ">= 99.9", "%"))
        first, between = healthy.first_token_p95, 1000.0 * healthy.between_tokens_p95
        rows.append(Row(f"{name}-first-token-p95", first, "<= 1.6", "s"))
        rows.append(Row(f"{name}-between-tokens-p95", between, "<= 64", "ms"))
        bursts = f"{name} at 95 % with bursts"
        ours = results.get(bursts).attainment
        over_round_robin = ours - results.get(bursts, "round-robin").attainment
        over_power_of_two = ours - results.get(bursts, "power-of-two").attainment
        rows.append(Row(f"{name}-bursts-over-round-robin", over_round_robin, ">= 15", "points"))
        rows.append(Row(f"{name}-bursts-over-power-of-two", over_power_of_two, ">= 5", "points"))
        for column, bound in (("round-robin", ">= 15"), ("power-of-two", ">= 5")):
            over = ours - results.get(bursts, f"plain {column}").attainment
            rows.append(Row(f"{name}-bursts-system-over-plain-{column}", over, bound, "points"))
    healthy = results.get("dispatch at 80 %").attainment
    slow = healthy - results.get("slow replica").attainment
    rows.append(Row("slow-replica-loss", slow, "< 1", "points"))
    for name in ("slow replica", "dead pool", "data centre cut off"):
        label = name.replace(" ", "-")
        # The remaining capacity exceeds the load, so in principle every request can be answered.
        rows.append(Row(f"{label}-attainment", results.get(name).attainment, ">= 98", "%"))
    failing = results.get("failing stage")
    amplified = failing.sent["retriever"] / failing.first["retriever"]
    rows.append(Row("failing-stage-amplification", amplified, "<= 1.1", "ratio"))
    baseline = results.get("overload 1x").pipelines
    for times in (2, 4):
        share = 100.0 * results.get(f"overload {times}x").pipelines / baseline
        rows.append(Row(f"goodput-{times}x", share, ">= 95", "% of 1x"))
    bursting = results.get("customer bursts 10x")
    others = [name for name in bursting.offered if name != "c2"]
    worst = min(100.0 * bursting.answered[name] / bursting.offered[name] for name in others)
    rows.append(Row("customer-burst-others-attainment", worst, ">= 99", "%"))
    return rows + _scaling_rows(results)


def _scaling_rows(results: Results) -> list[Row]:
    fixed, scaled = (results.get("autoscaling", name) for name in ("fixed fleet", "scaled"))
    rows = []
    for spec in SPECS:
        saved = 100.0 * (1.0 - scaled.replica_seconds[spec.role] / fixed.replica_seconds[spec.role])
        rows.append(Row(f"autoscaling-saved-{spec.role}", saved, ">= 20", "%"))
    lost = fixed.attainment - scaled.attainment
    rows.append(Row("autoscaling-attainment-loss", lost, "<= 0.1", "points"))
    return rows


def format_tables(results: Results) -> str:
    """Return one Markdown table per experiment."""
    parts = []
    for experiment, columns in results.by_experiment.items():
        lines = [f"### {experiment}", "", "| " + " | ".join(HEADER) + " |"]
        lines.append("|" + "---|" * len(HEADER))
        lines += ["| " + " | ".join(_cells(name, item)) + " |" for name, item in columns.items()]
        parts.append("\n".join(lines))
    return "\n\n".join(parts)


def _cells(name: str, metrics: RunMetrics) -> list[str]:
    busy = {role.removeprefix("service:"): f"{value:.0f}" for role, value in metrics.busy.items()}
    return [
        name,
        f"{metrics.attainment:.2f}",
        str(metrics.refused),
        f"{metrics.latency_p50:.2f}",
        f"{metrics.latency_p99:.2f}",
        f"{metrics.first_token_p95:.2f}",
        f"{1000 * metrics.between_tokens_p95:.0f}",
        f"{metrics.cached_share:.0f}",
        ", ".join(f"{role} {value}" for role, value in busy.items()),
        f"{sum(metrics.wasted.values()):.0f}",
    ]
