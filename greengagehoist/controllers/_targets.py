"""Controller that owns the target roster and the choice of targets."""

import asyncio
import random
from typing import Any, NamedTuple

from returns.result import Failure, Success

from greengagehoist.base import ErrorCode, not_run
from greengagehoist.platform_client import ListVms, Vm
from greengagehoist.targets import Target, TargetLink
from greengagehoist.utils import Clock, Controller, Reply, Tick, log_event, tick

ROSTER_PERIOD_S = 0.5
ENTRY_ROLE = "entry"


class Route(NamedTuple):
    """Ask for a target; replied by ``Result[Assignment, StepError]``.

    :param model: model that the target must have loaded, empty if none.
    :param exclude: names of targets that this request has tried.
    """

    request_id: str
    stage: str
    role: str
    model: str = ""
    exclude: tuple[str, ...] = ()


class Assignment(NamedTuple):
    """A chosen target and the link that sends to it."""

    target: Target
    link: TargetLink


class FindTarget(NamedTuple):
    """Ask for a listed target by name; replied by ``Assignment | None``, without reserving it."""

    name: str


class Completed(NamedTuple):
    """Tell the end of a call.

    :param latency: seconds from the dispatch to the end.
    :param ok: False if the target failed.
    """

    target: Target
    latency: float
    ok: bool


class _Listed(NamedTuple):
    vms: tuple[Vm, ...]


class _Replica:
    """State of one target."""

    def __init__(self, target: Target, link: TargetLink, task: asyncio.Task):
        self.target = target
        self.link = link
        self.task = task
        self.in_flight = 0
        self.leaving = False


class TargetController(Controller):
    """Keeps the roster of targets in line with the VM list and chooses among them."""

    def __init__(self, platform: Controller, clock: Clock, rng: random.Random, data_centre: str):
        super().__init__("targets")
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.data_centre = data_centre
        self._replicas: dict[str, _Replica] = {}

    async def run(self) -> None:
        """Poll the VM list until cancelled."""
        self.start(tick(self, self.clock, ROSTER_PERIOD_S))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Tick():
                self.start(self._fetch())
            case _Listed(vms):
                self._update(vms)
            case Route():
                reply(self._route(message))
            case FindTarget(name):
                replica = self._replicas.get(name)
                reply(Assignment(replica.target, replica.link) if replica else None)
            case Completed(target):
                replica = self._replicas.get(target.name)
                if replica is not None:
                    replica.in_flight -= 1

    async def _fetch(self) -> None:
        match await self.platform.ask(ListVms()):
            case Success(vms):
                self.tell(_Listed(vms))

    def _update(self, vms: tuple[Vm, ...]) -> None:
        for vm in vms:
            if vm.role == ENTRY_ROLE:
                continue
            replica = self._replicas.get(vm.vm)
            if replica is None or vm.incarnation > replica.target.incarnation:
                self._add(vm)
            elif vm.state == "leaving" and not replica.leaving:
                replica.leaving = True
                log_event("target_leaving", target=vm.vm, incarnation=vm.incarnation)

    def _add(self, vm: Vm) -> None:
        target = Target(vm.vm, vm.address, vm.data_centre, vm.role, vm.incarnation)
        link = TargetLink(target, self.clock)
        self._replicas[vm.vm] = _Replica(target, link, self.start(link.run()))
        log_event("target_added", target=vm.vm, role=vm.role, address=vm.address)

    def _route(self, message: Route) -> Any:
        candidates = [
            replica
            for replica in self._replicas.values()
            if replica.target.role == message.role
            and not replica.leaving
            and replica.target.name not in message.exclude
        ]
        if not candidates:
            text = f"no target with role {message.role}"
            return Failure(not_run(message.stage, ErrorCode.UNAVAILABLE, text))
        chosen = min(candidates, key=lambda item: (item.in_flight, self.rng.random()))
        chosen.in_flight += 1
        return Success(Assignment(chosen.target, chosen.link))
