"""Guards against new calls to a leaving target while the VM list lags, and cut-off calls."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from returns.result import Failure, Success

from greengagehoist.controllers import Completed, LoadReported, Route, TargetController, VmsListed
from greengagehoist.peers import (
    Broadcast,
    FromPeer,
    Heartbeat,
    Hello,
    LeaveMark,
    SendTo,
    UpdateHeartbeat,
)
from greengagehoist.platform_client import Vm
from greengagehoist.targets import TargetLeaving
from greengagehoist.utils import Controller

ROUTE = Route("r1", "encode", "encoder")


class Peers(Controller):
    """Fake peer controller that records the messages it receives."""

    def __init__(self):
        super().__init__("peers")
        self.sent = []

    def handle(self, message, reply):
        self.sent.append(message)


def listed(incarnation=1, state="live"):
    names = ("encoder-a", "encoder-b")
    return VmsListed(
        tuple(
            Vm(name, "127.0.0.1:1", "dc1", "encoder", state if name == names[0] else "live", number)
            for name, number in zip(names, (incarnation, 1), strict=True)
        )
    )


@pytest.fixture
def running(clock):
    """Return a context manager that runs a target controller with two targets."""

    @asynccontextmanager
    async def start():
        peers = Peers()
        targets = TargetController(None, clock, random.Random(1), "dc1", peers)
        tasks = [asyncio.create_task(item.run()) for item in (peers, targets)]
        targets.tell(listed())
        yield targets, peers
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    return start


async def route_calls(targets, rounds=20):
    """Route ``rounds`` calls that end at once and return the names of their targets."""
    names = set()
    for _ in range(rounds):
        match await targets.ask(ROUTE):
            case Success(assignment):
                names.add(assignment.target.name)
                targets.tell(Completed(assignment.target, 0.01, True))
            case Failure():
                pass
    return names


async def route_until_assigned(targets, name):
    """Route calls until one is assigned to ``name``; that call stays in flight."""
    while True:
        assignment = (await targets.ask(ROUTE)).unwrap()
        if assignment.target.name == name:
            return assignment
        targets.tell(Completed(assignment.target, 0.01, True))


def refusal(target):
    return TargetLeaving(target)


def report(target):
    return LoadReported(target, {"state": "leaving", "incarnation": target.incarnation})


def peer_mark(target):
    return FromPeer("vm9", "dc1", 1, LeaveMark(target.name, target.incarnation))


def peer_heartbeat(target):
    marks = (LeaveMark(target.name, target.incarnation),)
    return FromPeer("vm9", "dc1", 1, Heartbeat(1, 1, True, 0, 0.0, marks))


def vm_list(target):
    return listed(target.incarnation, "leaving")


@pytest.mark.parametrize("source", [refusal, report, peer_mark, peer_heartbeat, vm_list])
def test_mark_from_any_source_ends_new_work_although_the_list_lags(running, source):
    async def scenario():
        async with running() as (targets, peers):
            assert await route_calls(targets) == {"encoder-a", "encoder-b"}
            target = (await route_until_assigned(targets, "encoder-a")).target
            targets.tell(source(target))
            targets.tell(listed())
            assert await route_calls(targets) == {"encoder-b"}
            await asyncio.sleep(0)
            mark = LeaveMark("encoder-a", 1)
            assert [m for m in peers.sent if m == Broadcast(mark)] == [Broadcast(mark)]
            heartbeats = [m for m in peers.sent if isinstance(m, UpdateHeartbeat)]
            assert heartbeats[-1].leave_marks == (mark,)
            targets.tell(listed(incarnation=2))
            assert await route_calls(targets) == {"encoder-a", "encoder-b"}

    asyncio.run(scenario())


def test_work_on_a_leaving_target_ends_before_its_link(running, clock):
    async def scenario():
        async with running() as (targets, _):
            assignment = await route_until_assigned(targets, "encoder-a")
            task = targets._replicas["encoder-a"].task
            targets.tell(refusal(assignment.target))
            await clock.advance(60.0)
            assert not task.done()
            targets.tell(Completed(assignment.target, 60.0, True))
            await clock.advance(10.0)
            assert task.done()

    asyncio.run(scenario())


def test_new_peer_is_sent_the_known_marks(running):
    async def scenario():
        async with running() as (targets, peers):
            target = (await route_until_assigned(targets, "encoder-a")).target
            targets.tell(refusal(target))
            targets.tell(FromPeer("vm3", "dc2", 1, Hello("vm3", "dc2", 1, "127.0.0.1:2")))
            await route_calls(targets, 1)
            await asyncio.sleep(0)
            assert SendTo("vm3", LeaveMark("encoder-a", 1)) in peers.sent

    asyncio.run(scenario())
