"""Simulation of the daemons that keep one replica's limit, on a stepped clock."""

import asyncio
import random
from bisect import bisect_left
from typing import NamedTuple

from greengagehoist.deployment import Deployment, DeploymentSnapshot, Limits, Service
from greengagehoist.gateway.controllers import (
    AcquireSend,
    LimitObserved,
    Reach,
    SendLimitController,
    SetColdRule,
    Topology,
)
from greengagehoist.gateway.controllers._reach import ReachChanged
from greengagehoist.membership import Member
from greengagehoist.peers import Broadcast, FromPeer, Hello, SendTo
from greengagehoist.replicas import ColdRule, Granted, Limited, Replica
from greengagehoist.utils import Controller, Published, SteppedClock

COLD_START_S = 3.0
COLD_RULE = ColdRule(1.5, 5.0)
REPLICA = Replica("r", "llm", "10.0.0.1", 80, "a", 8, 1, False)
STEP_S = 0.1
# The time after which a silent peer counts as lost, and that of a start to its first links.
SILENT_S = 1.2
LINK_S = 0.3
# A daemon that reads the members through others learns of new ones this late.
MEMBERS_READ_S = 6.0
# Excused until this time after a fault of the daemon.
CONTACT_S = 3.0
WINDOW_S = 4.0


class Grant(NamedTuple):
    """A request that a daemon may send."""

    at: float
    vm: str


class Links(Controller):
    """Peer links of one daemon, which lead to the other daemons of the simulation."""

    def __init__(self, simulation, vm):
        super().__init__("links")
        self.simulation = simulation
        self.vm = vm

    def tell(self, message):
        match message:
            case Broadcast(inner):
                for vm in self.simulation.daemons:
                    self.simulation.deliver(self.vm, vm, inner)
            case SendTo(vm, inner):
                self.simulation.deliver(self.vm, vm, inner)

    async def ask(self, message):
        self.tell(message)
        return message.vm in self.simulation.daemons


class FreezableController(SendLimitController):
    """Handles nothing while its daemon is frozen; its timers end all at once when it wakes."""

    def __init__(self, daemon, *args):
        super().__init__(*args)
        self.daemon = daemon

    def tell(self, message):
        if self.daemon.is_frozen:
            self.daemon.frozen.append(message)
        else:
            super().tell(message)


class Daemon:
    """One daemon: its controller, its views, and whether it can be reached."""

    def __init__(self, simulation, vm, count):
        self.vm = vm
        self.known, self.count = Published(True), Published(count)
        hubs, shared = simulation.hubs, bool(simulation.hubs)
        links = Published(())
        self.topology = Topology(self.known, self.count, links, Published(hubs), Published(shared))
        self.reach = Published(Reach())
        member = Member(vm, "a", "x:1", 1)
        self.frozen: list = []
        self.is_frozen = False
        self.evacuated = Published(frozenset())
        self.controller = FreezableController(
            self,
            Links(simulation, vm),
            member,
            self.topology,
            self.reach,
            simulation.clock,
            simulation.snapshot,
            self.evacuated,
        )
        self.controller.tell(SetColdRule(simulation.cold_rule))
        self.task = asyncio.create_task(self.controller.run())
        self.side = 0


class Simulation:
    """Daemons that send to one replica with a limit, and faults between them.

    :param count: number of daemons; with more than ``hubs`` of them, only hubs are linked to all.
    :param per_s: limit of the replica.
    :param cold_per_s: requests a second that the replica takes while it is cold.
    :param skew_s: daemons notice a change of the links up to this much later than others.
    """

    def __init__(self, count, per_s, seed, hubs=0, cold_per_s=0.0, skew_s=0.0):
        service = Service("llm", None, COLD_START_S, cold_per_s)
        deployment = Deployment(1, {}, {"llm": service}, {}, False, Limits())
        self.snapshot = Published(DeploymentSnapshot(deployment, 0.0))
        self.cold_rule = COLD_RULE if cold_per_s else None
        self.skew_s = skew_s
        self.clock = SteppedClock()
        self.rng = random.Random(seed)
        self.per_s = per_s
        names = [f"vm{number}" for number in range(count)]
        self.hubs = frozenset(names[:hubs])
        self.daemons = {vm: Daemon(self, vm, count) for vm in names}
        self.grants: list[Grant] = []
        self.disturbances: list[Grant] = []
        self.asks: set[asyncio.Task] = set()
        self.started = count

    def are_linked(self, one, other):
        if one == other or not {one, other} <= self.daemons.keys():
            return False
        apart = self.hubs and not {one, other} & self.hubs
        return not apart and self.daemons[one].side == self.daemons[other].side

    def deliver(self, origin, vm, message):
        if not self.are_linked(origin, vm):
            return
        self.daemons[vm].controller.tell(FromPeer(origin, "a", 1, message))

    def update_reach(self):
        """Let each daemon see the links that it has; called after the time that it takes."""
        for vm, daemon in self.daemons.items():
            if not self.skew_s:
                self._update_reach_of(vm, daemon)
                continue
            task = asyncio.create_task(self._update_reach_later(vm, daemon))
            self.asks.add(task)
            task.add_done_callback(self.asks.discard)

    async def _update_reach_later(self, vm, daemon):
        await self.clock.sleep(self.rng.uniform(0.0, self.skew_s))
        self._update_reach_of(vm, daemon)

    def _update_reach_of(self, vm, daemon):
        seen = {
            item
            for item in self.daemons
            if self.are_linked(vm, item) and not self.daemons[item].is_frozen
        }
        before, reach = daemon.reach.value, Reach(frozenset(seen), frozenset(seen))
        if reach == before:
            return
        daemon.reach.value = reach
        daemon.controller.tell(ReachChanged(reach))
        for item in reach.linked - before.linked:
            self.deliver(item, vm, Hello(item, "a", 1, "x:1"))

    def start(self, daemon):
        """Let a daemon that starts read what it needs."""

    def disturb(self, *vms):
        for vm in vms:
            self.disturbances.append(Grant(self.clock.monotonic(), vm))

    async def run(self, seconds, faults=()):
        """Send requests for some time; ``faults`` are coroutine functions of this object."""
        running = [asyncio.create_task(fault(self)) for fault in faults]
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self._ask_for_some()
            await self.clock.advance(STEP_S)
        for task in running:
            await asyncio.wait((task,), timeout=0)

    def _ask_for_some(self):
        """Ask for twice the limit, at daemons with different shares of the requests."""
        names = sorted(self.daemons)
        for _ in range(max(1, round(2 * self.per_s * STEP_S))):
            vm = names[int(len(names) * self.rng.random() ** 2)]
            if self.daemons[vm].is_frozen:
                continue
            wait_s = self.rng.choice((0.0, 1.0, 2.0))
            ask = AcquireSend(REPLICA, self.rng.randrange(3), wait_s)
            task = asyncio.create_task(self._send(vm, ask))
            self.asks.add(task)
            task.add_done_callback(self.asks.discard)

    async def _send(self, vm, ask):
        daemon = self.daemons[vm]
        if await daemon.controller.ask(ask) != Granted():
            return
        now = self.clock.monotonic()
        self.grants.append(Grant(now, vm))
        daemon.controller.tell(LimitObserved(REPLICA, Limited(self.per_s), now))

    def most_in_window(self, since):
        """Return the most requests in four seconds by daemons without a fault shortly before."""
        counted = sorted(
            item.at for item in self.grants if item.at >= since and not self._is_excused(item)
        )
        most = (bisect_left(counted, at + WINDOW_S) - n for n, at in enumerate(counted))
        return max(most, default=0)

    def _is_excused(self, grant):
        return any(
            item.vm == grant.vm and 0 <= grant.at - item.at < CONTACT_S
            for item in self.disturbances
        )

    def stop(self):
        for daemon in self.daemons.values():
            daemon.task.cancel()
        for task in self.asks:
            task.cancel()


async def kill_and_start(simulation):
    """Kill a daemon, often the owner, and start another one that learns the members late."""
    clock, rng = simulation.clock, simulation.rng
    await clock.sleep(rng.uniform(5.0, 9.0))
    vm = rng.choice(sorted(simulation.daemons))
    simulation.daemons.pop(vm).task.cancel()
    await clock.sleep(SILENT_S)
    simulation.update_reach()
    await clock.sleep(rng.uniform(0.0, 3.0))
    count = len(simulation.daemons) + 1
    new = f"new{simulation.started}"
    simulation.started += 1
    daemon = simulation.daemons[new] = Daemon(simulation, new, count)
    simulation.start(daemon)
    daemon.known.value = False
    simulation.disturb(new)
    await clock.sleep(LINK_S)
    daemon.known.value = True
    simulation.update_reach()
    await clock.sleep(MEMBERS_READ_S)
    for item in simulation.daemons.values():
        item.count.value = count


async def freeze(simulation):
    """Freeze a daemon; what it receives meanwhile is handled when it wakes."""
    clock, rng = simulation.clock, simulation.rng
    await clock.sleep(rng.uniform(3.0, 12.0))
    vm = rng.choice(sorted(simulation.daemons))
    daemon = simulation.daemons[vm]
    daemon.is_frozen = True
    simulation.disturb(vm)
    await clock.sleep(SILENT_S)
    simulation.update_reach()
    await clock.sleep(rng.uniform(0.0, 4.0))
    daemon.is_frozen = False
    simulation.disturb(vm)
    for message in daemon.frozen:
        daemon.controller.tell(message)
    daemon.frozen = []
    await clock.sleep(LINK_S)
    simulation.update_reach()


async def cut(simulation):
    """Cut some daemons off from the others."""
    clock, rng = simulation.clock, simulation.rng
    await clock.sleep(rng.uniform(3.0, 10.0))
    names = sorted(simulation.daemons)
    away = rng.sample(names, rng.randint(1, max(1, len(names) // 2)))
    for vm in away:
        simulation.daemons[vm].side = 1
    simulation.disturb(*away)
    await clock.sleep(SILENT_S)
    simulation.update_reach()
    await clock.sleep(rng.uniform(2.0, 6.0))
    for daemon in simulation.daemons.values():
        daemon.side = 0
    simulation.disturb(*away)
    await clock.sleep(LINK_S)
    simulation.update_reach()
