"""Simulation of daemons that share their view of the replicas, without an event loop."""

import heapq
import itertools
import random
from collections import Counter

from greengagehoist.gateway.controllers import (
    LoadViewController,
    OwnLoadChanged,
    Reach,
    ReachChanged,
    SpeedSample,
    Topology,
)
from greengagehoist.gateway.tests.recorder import deliver
from greengagehoist.membership import Member, choose_hub_links, choose_hubs
from greengagehoist.peers import Broadcast, FromPeer, Hello, SendTo, SendToEach
from greengagehoist.peers._wire import PEER_CODEC
from greengagehoist.replicas import (
    OwnSends,
    PromptWork,
    Replica,
    ReplicaTable,
    add_counts,
)
from greengagehoist.utils import Controller, Published

# One way inside a data centre and between two.
NEAR_S, FAR_S = 0.0002, 0.0009


class EventClock:
    """Time of the simulation."""

    def __init__(self):
        self.time = 0.0

    def monotonic(self):
        return self.time


class Links(Controller):
    """Peer links of one daemon."""

    def __init__(self, simulation, vm, daemon):
        super().__init__("links")
        self.simulation = simulation
        self.vm = vm
        self.daemon = daemon

    def tell(self, message):
        if self.simulation.daemons.get(self.vm) is not self.daemon:
            return
        match message:
            case Broadcast(inner):
                for vm in self.simulation.daemons:
                    self.simulation.send(self.vm, vm, inner)
            case SendTo(vm, inner):
                self.simulation.send(self.vm, vm, inner)
            case SendToEach(vms, inner):
                for vm in vms:
                    self.simulation.send(self.vm, vm, inner)


class Daemon(LoadViewController):
    """A daemon whose timers and messages the simulation plays."""

    def __init__(self, simulation, member, topology):
        self.simulation = simulation
        self.sends = OwnSends()
        self.is_frozen = False
        self.side = 0
        self.kept = []
        super().__init__(
            Links(simulation, member.vm, self),
            member,
            topology,
            Published(Reach()),
            simulation.table,
            simulation.clock,
        )

    def tell(self, message):
        if self.is_frozen:
            self.kept.append(message)
        else:
            deliver(self, message)

    def tell_later(self, message, delay_s):
        self.simulation.at(delay_s, lambda: self.tell(message))

    def thaw(self):
        self.is_frozen = False
        kept, self.kept = self.kept, []
        for message in kept:
            self.tell(message)

    def tell_counts(self, sample=None):
        self.tell(OwnLoadChanged(self.sends.counts(), sample))


class LoadSimulation:
    """Daemons, their links, and requests at replicas.

    :param sizes: number of daemons in each data centre.
    :param replicas: number of replicas.
    """

    def __init__(self, sizes, replicas=30, seed=1):
        self.clock = EventClock()
        self.rng = random.Random(seed)
        self.events = []
        self.order = itertools.count()
        self.tickets = itertools.count(1)
        self.messages, self.bytes, self.received = Counter(), Counter(), Counter()
        zones = [chr(ord("a") + n) for n in range(len(sizes))]
        self.table = Published(
            ReplicaTable(
                {
                    f"i-{n:06d}": Replica(
                        f"i-{n:06d}", "llm", "h", n + 1, zones[n % len(zones)], 64, 1, False
                    )
                    for n in range(replicas)
                }
            )
        )
        self.members = tuple(
            Member(f"vm-{zone}{n}", zone, "h:1", 1, float(n < 2))
            for zone, size in zip(zones, sizes, strict=True)
            for n in range(size)
        )
        self.daemons = {item.vm: self.new_daemon(item) for item in self.members}
        self.update_reach()

    def new_daemon(self, member):
        hubs = choose_hubs(self.members)
        shared = len(hubs) < len(self.members)
        topology = Topology(
            Published(True),
            Published(len(self.members)),
            Published(choose_hub_links(member.vm, member.data_centre, self.members)),
            Published(hubs),
            Published(shared),
        )
        return Daemon(self, member, topology)

    def at(self, delay_s, action):
        entry = (self.clock.time + max(0.0, delay_s), next(self.order), action)
        heapq.heappush(self.events, entry)

    def run(self, seconds):
        until = self.clock.time + seconds
        while self.events and self.events[0][0] <= until:
            self.clock.time, _, action = heapq.heappop(self.events)
            action()
        self.clock.time = until

    def are_linked(self, one, other):
        if one == other or not {one, other} <= self.daemons.keys():
            return False
        first, second = self.daemons[one], self.daemons[other]
        hubs = first.topology.hubs.value
        return first.side == second.side and bool({one, other} & hubs)

    def send(self, origin, vm, message):
        if not self.are_linked(origin, vm):
            return
        one, other = self.daemons[origin].own, self.daemons[vm].own
        near = one.data_centre == other.data_centre
        kind = type(message).__name__
        self.messages[kind] += 1
        self.received[vm] += 1
        size = len(PEER_CODEC.encode(message))
        self.bytes["near" if near else "far"] += size
        self.bytes[vm] += size
        received = FromPeer(origin, one.data_centre, one.incarnation, message)

        def arrive():
            if self.daemons.get(origin) and vm in self.daemons:
                self.daemons[vm].tell(received)

        self.at(NEAR_S if near else FAR_S, arrive)

    def update_reach(self):
        """Let each daemon see the links that it has now."""
        for vm, daemon in self.daemons.items():
            if daemon.is_frozen:
                continue
            seen = frozenset(
                item
                for item in self.daemons
                if self.are_linked(vm, item) and not self.daemons[item].is_frozen
            )
            before, reach = daemon.reach.value, Reach(seen, seen)
            if reach == before:
                continue
            daemon.reach.value = reach
            daemon.tell(ReachChanged(reach))
            for item in seen - before.linked:
                other = self.daemons[item].own
                hello = Hello(item, other.data_centre, other.incarnation, "h:1")
                daemon.tell(FromPeer(item, other.data_centre, other.incarnation, hello))

    # Requests.

    def request(self, vm, replica_id, read_s=0.2, run_s=1.5, work=None):
        """Let a daemon send a request; its answer begins and ends after some time."""
        daemon, ticket = self.daemons[vm], next(self.tickets)
        if daemon.is_frozen:
            return
        work = work or PromptWork(3_000, 0, 200)
        daemon.sends.begin(ticket, replica_id, work, False, 0.1, self.clock.time)
        daemon.tell_counts()

        def begin():
            daemon.sends.begin_answer(ticket)
            daemon.tell_counts(SpeedSample(replica_id, 1.3))

        def end():
            daemon.sends.end(ticket)
            daemon.tell_counts()

        self.at(read_s, begin)
        self.at(read_s + run_s, end)

    def requests(self, per_s, seconds):
        """Let daemons chosen at random send requests to replicas chosen at random."""
        names, replicas = sorted(self.daemons), sorted(self.table.value.replicas)
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(per_s)
            vm, replica_id = self.rng.choice(names), self.rng.choice(replicas)
            self.at(
                at,
                lambda vm=vm, replica_id=replica_id: vm in self.daemons
                and self.request(vm, replica_id),
            )

    def truth(self, without=()):
        """Return the counts of all daemons by replica, except those in ``without``."""
        total = {}
        for vm, daemon in self.daemons.items():
            if vm not in without:
                for key, item in daemon.sends.counts().items():
                    total[key] = add_counts(total[key], item) if key in total else item
        return total

    def seen_by(self, vm):
        """Return the counts of the others that a daemon knows of, and its own."""
        daemon = self.daemons[vm]
        total = dict(daemon.sends.counts())
        for key in daemon.view.value.replicas:
            item = daemon.view.value.figures(key, self.clock.time).counts
            if any(item):
                total[key] = add_counts(total[key], item) if key in total else item
        return total
