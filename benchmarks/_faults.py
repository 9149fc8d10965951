"""Faults and scaling that an experiment adds to a run of the model."""

import math
from dataclasses import dataclass

from benchmarks._targets import Spec, Target
from benchmarks._world import Figures, Setup, World
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
    """One engine runs slower by a factor from an instant on."""

    at: float
    factor: float = 10.0


@dataclass(frozen=True, slots=True)
class DeadPool:
    """All targets of a role in a data centre die."""

    at: float
    role: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class CutOff:
    """A data centre loses its paths to the others."""

    at: float
    data_centre: str


@dataclass(frozen=True, slots=True)
class FailingStage:
    """All targets of a role fail every run from an instant on."""

    at: float
    role: str


@dataclass(frozen=True, slots=True)
class Autoscaled:
    """All stages are scaled."""


Fault = SlowReplica | DeadPool | CutOff | FailingStage | Autoscaled


def simulate(setup: Setup, fault: Fault | None = None) -> Figures:
    """Run the model with a fault."""
    world = World(setup)
    match fault:
        case None:
            pass
        case SlowReplica(at, factor):
            world.loop.at(at, setattr, world.targets["engine-0"], "slowdown", factor)
        case DeadPool(at, role, data_centre):
            for target in _select(world, role):
                if target.data_centre == data_centre:
                    world.loop.at(at, target.kill)
        case CutOff(at, data_centre):
            world.loop.at(at, setattr, world, "isolated", data_centre)
        case FailingStage(at, role):
            for target in _select(world, role):
                world.loop.at(at, setattr, target, "failing", True)
        case Autoscaled():
            fleet = Fleet(world)
            world.loop.after(DECISION_PERIOD_S, fleet.decide)
    return world.run()


def _select(world: World, role: str) -> list[Target]:
    return [target for target in world.targets.values() if target.spec.role == role]


class Fleet:
    """Starts and drains replicas as the scalers decide; the weight store limits the starts."""

    def __init__(self, world: World):
        self.world = world
        weight = world.setup.attainment_weight
        weight = world.setup.deployment.attainment_weight if weight is None else weight
        self.scalers = {
            spec.role: StageScaler(2, 2 * spec.replicas, weight) for spec in world.specs
        }
        self.starting = dict.fromkeys(self.scalers, 0)
        self.next_index = {spec.role: spec.replicas for spec in world.specs}
        self.fetches = 2.0
        self._last: dict[str, tuple[float, float, int]] = {}

    def decide(self) -> None:
        """Take one decision for each stage."""
        world, now = self.world, self.world.loop.now
        self.fetches = min(4.0, self.fetches + DECISION_PERIOD_S / FETCH_PERIOD_S)
        for spec in world.specs:
            serving = [target for target in _select(world, spec.role) if not target.draining]
            signal = self._signal(spec, serving)
            match self.scalers[spec.role].decide(signal, math.floor(self.fetches), now):
                case Grow(count):
                    self.fetches -= count
                    self.starting[spec.role] += count
                    for _ in range(count):
                        world.loop.after(WEIGHT_LOAD_S, self._start, spec)
                case Shrink():
                    self._drain(serving)
            present = len(_select(world, spec.role)) + self.starting[spec.role]
            world.replica_seconds[spec.role] += present * DECISION_PERIOD_S
        self._drop_idle()
        if now < world.setup.duration:
            world.loop.after(DECISION_PERIOD_S, self.decide)

    def _signal(self, spec: Spec, serving: list[Target]) -> Signal:
        busy = waited = 0.0
        runs = 0
        for target in serving:
            now = target.busy_s + sum(self.world.loop.now - j.started for j in target.running)
            before = self._last.get(target.name, (now, target.waited_s, target.runs))
            busy, waited = busy + now - before[0], waited + target.waited_s - before[1]
            runs += target.runs - before[2]
            self._last[target.name] = (now, target.waited_s, target.runs)
        capacity = spec.capacity * len(serving) * DECISION_PERIOD_S
        wait = waited / runs if runs else 0.0
        return Signal(busy / capacity, wait, 0.0, len(serving), self.starting[spec.role])

    def _start(self, spec: Spec) -> None:
        self.starting[spec.role] -= 1
        self.world.add_target(spec, self.next_index[spec.role], slow_start=True)
        self.next_index[spec.role] += 1

    def _drain(self, serving: list[Target]) -> None:
        replicas = [
            Replica(item.name, item.data_centre, len(item.queue) + len(item.running))
            for item in serving
        ]
        name = choose_drain(replicas)
        self.world.targets[name].draining = True
        for daemon in self.world.daemons:
            daemon.rosters[self.world.targets[name].spec.role].remove(name)

    def _drop_idle(self) -> None:
        for name, target in list(self.world.targets.items()):
            if target.draining and not target.queue and not target.running:
                self.world.retire_target(name)
