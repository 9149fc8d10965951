"""Faults and autoscaling that an experiment adds to a run of the load model."""

import math
from dataclasses import dataclass

from benchmarks._load_model import LoadModel, RunMetrics, Setup
from benchmarks._targets import PoolSpec, Target
from greengagehoist.scaling import (
    Grow,
    Replica,
    Shrink,
    Signal,
    StageScaler,
    choose_drain,
)

DECISION_PERIOD_S = 2.0
WEIGHT_LOAD_S = 8.0
FETCH_PERIOD_S = 2.0


@dataclass(frozen=True, slots=True)
class SlowReplica:
    """One engine runs slower by ``factor`` from ``at`` (s) on."""

    at: float
    factor: float = 10.0


@dataclass(frozen=True, slots=True)
class DeadPool:
    """All targets of a role in a data centre stop at ``at`` (s)."""

    at: float
    role: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class CutOff:
    """A data centre is partitioned from the others from ``at`` (s) on."""

    at: float
    data_centre: str


@dataclass(frozen=True, slots=True)
class FailingStage:
    """All targets of a role fail every job from ``at`` (s) on."""

    at: float
    role: str


@dataclass(frozen=True, slots=True)
class Autoscaled:
    """The replicas of all stages are autoscaled."""


Fault = SlowReplica | DeadPool | CutOff | FailingStage | Autoscaled


def simulate(setup: Setup, fault: Fault | None = None) -> RunMetrics:
    """Run the load model with a fault and return its metrics."""
    model = LoadModel(setup)
    match fault:
        case None:
            pass
        case SlowReplica(at, factor):
            model.loop.at(at, setattr, model.targets["engine-0"], "slowdown", factor)
        case DeadPool(at, role, data_centre):
            for target in _select(model, role):
                if target.data_centre == data_centre:
                    model.loop.at(at, target.kill)
        case CutOff(at, data_centre):
            model.loop.at(at, setattr, model, "isolated", data_centre)
        case FailingStage(at, role):
            for target in _select(model, role):
                model.loop.at(at, setattr, target, "failing", True)
        case Autoscaled():
            autoscaler = Autoscaler(model)
            model.loop.after(DECISION_PERIOD_S, autoscaler.decide)
    return model.run()


def _select(model: LoadModel, role: str) -> list[Target]:
    return [target for target in model.targets.values() if target.spec.role == role]


class Autoscaler:
    """Starts and drains replicas as the stage scalers decide.

    A token bucket (``fetch_tokens``) limits the starts to the throughput of the weight store.
    """

    def __init__(self, model: LoadModel):
        self.model = model
        weight = model.setup.attainment_weight
        weight = model.setup.deployment.attainment_weight if weight is None else weight
        self.scalers = {
            spec.role: StageScaler(2, 2 * spec.replicas, weight) for spec in model.specs
        }
        self.starting = dict.fromkeys(self.scalers, 0)
        self.next_index = {spec.role: spec.replicas for spec in model.specs}
        self.fetch_tokens = 2.0
        self._previous: dict[str, tuple[float, float, int]] = {}

    def decide(self) -> None:
        """Make one scaling decision per stage and schedule the next round."""
        model, now = self.model, self.model.loop.now
        self.fetch_tokens = min(4.0, self.fetch_tokens + DECISION_PERIOD_S / FETCH_PERIOD_S)
        for spec in model.specs:
            serving = [target for target in _select(model, spec.role) if not target.draining]
            signal = self._measure_load(spec, serving)
            match self.scalers[spec.role].decide(signal, math.floor(self.fetch_tokens), now):
                case Grow(count):
                    self.fetch_tokens -= count
                    self.starting[spec.role] += count
                    for _ in range(count):
                        model.loop.after(WEIGHT_LOAD_S, self._start, spec)
                case Shrink():
                    self._drain(serving)
            replica_count = len(_select(model, spec.role)) + self.starting[spec.role]
            model.replica_seconds[spec.role] += replica_count * DECISION_PERIOD_S
        self._retire_idle()
        if now < model.setup.duration:
            model.loop.after(DECISION_PERIOD_S, self.decide)

    def _measure_load(self, spec: PoolSpec, serving: list[Target]) -> Signal:
        busy = waited = 0.0
        runs = 0
        for target in serving:
            now = target.busy_s + sum(self.model.loop.now - j.started for j in target.running)
            before = self._previous.get(target.name, (now, target.waited_s, target.runs))
            busy, waited = busy + now - before[0], waited + target.waited_s - before[1]
            runs += target.runs - before[2]
            self._previous[target.name] = (now, target.waited_s, target.runs)
        capacity = spec.capacity * len(serving) * DECISION_PERIOD_S
        wait = waited / runs if runs else 0.0
        return Signal(busy / capacity, wait, 0.0, len(serving), self.starting[spec.role])

    def _start(self, spec: PoolSpec) -> None:
        self.starting[spec.role] -= 1
        self.model.add_target(spec, self.next_index[spec.role], slow_start=True)
        self.next_index[spec.role] += 1

    def _drain(self, serving: list[Target]) -> None:
        replicas = [
            Replica(item.name, item.data_centre, len(item.queue) + len(item.running))
            for item in serving
        ]
        name = choose_drain(replicas)
        self.model.targets[name].draining = True
        for daemon in self.model.daemons:
            daemon.rosters[self.model.targets[name].spec.role].remove(name)

    def _retire_idle(self) -> None:
        for name, target in list(self.model.targets.items()):
            if target.draining and not target.queue and not target.running:
                self.model.retire_target(name)
