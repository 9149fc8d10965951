"""Controller that owns the target roster and assigns targets to calls."""

import asyncio
import random
from typing import Any, NamedTuple

from returns.result import Failure, Success

from greengagehoist.base import ErrorCode, not_run
from greengagehoist.controllers._balancer import Balancer
from greengagehoist.controllers._roster import ENTRY_ROLE, VmsListed
from greengagehoist.membership import Listing, Mark, TargetRoster, TargetState
from greengagehoist.peers import (
    Broadcast,
    FromPeer,
    Heartbeat,
    Hello,
    LeaveMark,
    SendTo,
    Subscribe,
    UpdateHeartbeat,
)
from greengagehoist.platform_client import Vm
from greengagehoist.targets import LoadWire, ReadLoad, Target, TargetLeaving, TargetLink
from greengagehoist.utils import Clock, Controller, Reply, Tick, log_event, tick

MAINTENANCE_PERIOD_S = 0.5
# Rate of load polls over all targets together, however many there are.
LOAD_POLLS_PER_S = 10.0
POLL = "poll"
# The link of a leaving or replaced target stays open at least this long, so that calls that are not
# counted as in flight, such as load polls, can complete.
LINK_LINGER_S = 5.0
# A target that is missing from the VM list may reappear, so its link stays open for longer.
MISSING_LINGER_S = 30.0
# Leave marks up to this age are sent to a peer when its link opens.
MAX_SENT_MARK_AGE_S = 600.0


class Route(NamedTuple):
    """Ask for a target; replied by ``Result[Assignment, StepError]``.

    :param model: model that the target must have loaded, empty if none.
    :param exclude: names of targets that this request has tried.
    :param prefix: hashes of the prompt's leading blocks, see
        :func:`greengagehoist.routing.hash_prefix`.
    """

    request_id: str
    stage: str
    role: str
    model: str = ""
    exclude: tuple[str, ...] = ()
    prefix: tuple[int, ...] = ()


class Assignment(NamedTuple):
    """A chosen target and the link that sends to it.

    :param ticket: identifier of the call, to be passed back in :class:`Completed`.
    """

    target: Target
    link: TargetLink
    ticket: str = ""


class FindTarget(NamedTuple):
    """Ask for a target by name, even if it is leaving; replied by ``Assignment | None``."""

    name: str


class Completed(NamedTuple):
    """Report the end of a call.

    :param latency: seconds from the dispatch to the end.
    :param ok: False if the target failed.
    :param cancelled: whether the daemon ended the call before the target answered.
    :param unreachable: whether the connection to the target failed.
    """

    target: Target
    latency: float
    ok: bool
    ticket: str = ""
    cancelled: bool = False
    unreachable: bool = False


class SetWeight(NamedTuple):
    """Set the weight of deadline attainment relative to cost, from 0 to 1."""

    attainment_weight: float


class GetLink(NamedTuple):
    """Ask for a target by name; replied by :class:`Assignment`, or None if it accepts no work."""

    name: str


class GetTargetCounts(NamedTuple):
    """Ask for the number of targets; replied by ``dict``, role to state to number."""


class LoadReported(NamedTuple):
    """Pass on the load report of a target."""

    target: Target
    load: LoadWire


class _Replica:
    """State of one target.

    :param close_after: monotonic time in seconds before which a retired link is not closed.
    """

    def __init__(self, target: Target, link: TargetLink, task: asyncio.Task):
        self.target = target
        self.link = link
        self.task = task
        self.in_flight = 0
        self.close_after = 0.0


class TargetController(Controller):
    """Keeps the target roster in sync with the VM list and chooses among the targets.

    :param peers: peer controller, or None if there are no peers.
    :param vm: name of this daemon's VM.
    """

    def __init__(
        self,
        platform: Controller,
        clock: Clock,
        rng: random.Random,
        data_centre: str,
        peers: Controller | None = None,
        vm: str = "",
    ):
        super().__init__("targets")
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.data_centre = data_centre
        self.peers = peers
        self._replicas: dict[str, _Replica] = {}
        self._retired: list[_Replica] = []
        self._roster = TargetRoster()
        self._has_vm_list = False
        self._balancer = Balancer(vm, data_centre, rng)

    async def run(self) -> None:
        """Maintain the roster until cancelled."""
        if self.peers is not None:
            self.peers.tell(Subscribe((Hello, Heartbeat, LeaveMark), self))
        self.start(tick(self, self.clock, MAINTENANCE_PERIOD_S))
        self.start(tick(self, self.clock, 1.0 / LOAD_POLLS_PER_S, POLL))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Route():
                reply(self._route(message))
            case FindTarget(name):
                replica = self._replicas.get(name)
                reply(Assignment(replica.target, replica.link) if replica else None)
            case Completed():
                self._complete(message)
            case SetWeight(attainment_weight):
                self._balancer.set_weight(attainment_weight)
            case Tick("poll"):
                self._poll_load()
            case Tick():
                self._close_idle_links()
                self._publish_marks()
            case VmsListed(vms):
                self._update(vms)
            case TargetLeaving(target):
                self._apply_mark(Mark(target.name, target.incarnation), "refusal")
            case LoadReported(target, load):
                self._apply_report(target, load)
            case FromPeer():
                self._handle_peer(message)
            case GetLink(name):
                reply(self._find_link(name))
            case GetTargetCounts():
                roles = {name: item.target.role for name, item in self._replicas.items()}
                reply(self._roster.count_states(roles))

    def _update(self, vms: tuple[Vm, ...]) -> None:
        targets = [vm for vm in vms if vm.role != ENTRY_ROLE]
        listings = [Listing(vm.vm, vm.incarnation, vm.state == "leaving") for vm in targets]
        for mark in self._roster.apply_list(listings, self.clock.monotonic()):
            self._announce_mark(mark, "vm_list")
        for vm in targets:
            replica = self._replicas.get(vm.vm)
            if replica is None or vm.incarnation > replica.target.incarnation:
                self._add(vm)
            elif not self._balancer.has(replica.target) and self._accepts_work(replica.target):
                self._add_to_balancer(replica.target)
        self._has_vm_list = True

    def _add_to_balancer(self, target: Target) -> None:
        """Add a target to the balancer, with slow start unless it is in the first VM list."""
        now = self.clock.monotonic()
        self._balancer.add(target, now, slow_start=self._has_vm_list)

    def _add(self, vm: Vm) -> None:
        if vm.vm in self._replicas:
            self._retire(vm.vm, LINK_LINGER_S)
        if not self._roster.is_routable(vm.vm, vm.incarnation):
            return
        target = Target(vm.vm, vm.address, vm.data_centre, vm.role, vm.incarnation)
        link = TargetLink(target, self.clock, self)
        self._replicas[vm.vm] = _Replica(target, link, self.start(link.run()))
        self._add_to_balancer(target)
        self.start(self._read_load(self._replicas[vm.vm]))
        log_event("target_added", target=vm.vm, role=vm.role, address=vm.address)

    def _complete(self, message: Completed) -> None:
        target, latency, ok, ticket, cancelled, unreachable = message
        for replica in (self._replicas.get(target.name), *self._retired):
            if replica is not None and replica.target == target:
                replica.in_flight -= 1
                break
        now = self.clock.monotonic()
        if unreachable:
            self._balancer.record_unreachable(target, ticket, now)
        elif cancelled:
            self._balancer.cancel(target, ticket, now)
        else:
            self._balancer.complete(target, ticket, latency, ok, now)

    def _poll_load(self) -> None:
        for name in self._balancer.next_to_poll(1):
            replica = self._replicas.get(name)
            if replica is not None:
                self.start(self._read_load(replica))

    async def _read_load(self, replica: _Replica) -> None:
        match await replica.link.ask(ReadLoad()):
            case Success(load):
                self.tell(LoadReported(replica.target, load))

    def _apply_report(self, target: Target, load: LoadWire) -> None:
        self._balancer.apply_report(target, load, self.clock.monotonic())
        if load.get("state") == "leaving":
            self._apply_mark(Mark(target.name, load.get("incarnation", target.incarnation)), "load")

    def _handle_peer(self, message: FromPeer) -> None:
        match message.message:
            case LeaveMark(target, incarnation):
                self._apply_mark(Mark(target, incarnation), f"peer:{message.vm}")
            case Heartbeat(leave_marks=marks):
                for mark in marks:
                    self._apply_mark(Mark(*mark), f"peer:{message.vm}")
            case Hello():
                now = self.clock.monotonic()
                for mark in self._roster.marks.recent(now, MAX_SENT_MARK_AGE_S):
                    self.peers.tell(SendTo(message.vm, LeaveMark(*mark)))

    def _apply_mark(self, mark: Mark, source: str) -> None:
        if self._roster.apply_mark(mark, self.clock.monotonic()):
            self._announce_mark(mark, source)

    def _announce_mark(self, mark: Mark, source: str) -> None:
        log_event("target_leaving", target=mark.target, incarnation=mark.incarnation, source=source)
        if self.peers is not None:
            self.peers.tell(Broadcast(LeaveMark(*mark)))
            self._publish_marks()

    def _publish_marks(self) -> None:
        if self.peers is not None:
            marks = self._roster.marks.recent(self.clock.monotonic())
            self.peers.tell(UpdateHeartbeat(leave_marks=tuple(LeaveMark(*m) for m in marks)))

    def _close_idle_links(self) -> None:
        """Close the links of targets that get no new work and have no calls in flight."""
        now = self.clock.monotonic()
        for name, replica in list(self._replicas.items()):
            status = self._roster.status(name)
            leaving = status.state is TargetState.LEAVING
            linger = LINK_LINGER_S if leaving else MISSING_LINGER_S
            unused = leaving or status.state is TargetState.SUSPECT
            if unused and replica.in_flight <= 0 and now - status.since >= linger:
                self._roster.release(name, now)
                self._retire(name, 0.0)
        for replica in [item for item in self._retired if item.in_flight <= 0]:
            if replica.close_after > now:
                continue
            replica.task.cancel()
            self._retired.remove(replica)
            log_event("target_dropped", target=replica.target.name)

    def _retire(self, name: str, linger: float) -> None:
        replica = self._replicas.pop(name)
        replica.close_after = self.clock.monotonic() + linger
        self._retired.append(replica)

    def _find_link(self, name: str) -> Assignment | None:
        replica = self._replicas.get(name)
        if replica is None or not self._accepts_work(replica.target):
            return None
        return Assignment(replica.target, replica.link)

    def _accepts_work(self, target: Target) -> bool:
        return self._roster.is_routable(target.name, target.incarnation)

    def _route(self, message: Route) -> Any:
        exclude, now = message.exclude, self.clock.monotonic()
        while pick := self._balancer.choose(
            message.role, message.prefix, exclude, now, message.model
        ):
            chosen = self._replicas.get(pick.name)
            if chosen is not None and self._accepts_work(chosen.target):
                chosen.in_flight += 1
                return Success(Assignment(chosen.target, chosen.link, pick.ticket))
            self._balancer.remove(message.role, pick.name)
        text = f"no target with role {message.role} {message.model}".rstrip()
        return Failure(not_run(message.stage, ErrorCode.UNAVAILABLE, text))
