"""Guards against asking replicas that are known to be full, and refusals without a useful time."""

import asyncio

import pytest

from greengagehoist.deployment import Idempotent, Route, Streaming
from greengagehoist.gateway import Exchange, NotRun, Progress
from greengagehoist.gateway.controllers import NotBefore, RequestEnded
from greengagehoist.gateway.filters._replica_choice import RETRY_AFTER_S, ReplicaChooser
from greengagehoist.gateway.tests.recorder import Recorder
from greengagehoist.replicas import Granted, Replica

REPLICAS = [
    Replica(name, "s", "10.0.0.1", 80 + number, "a", 6, 1, False)
    for number, name in enumerate(("r0", "r1"))
]
PLAIN = Route("r", "h", "/", Idempotent(), 30.0, 1.5, 1, (), 2, (), False)


class Placement(Recorder):
    """Chooses the first replica that is not excluded.

    :ivar paused: the other replicas want no requests before this time, None if they want some.
    """

    paused = None

    async def ask(self, message):
        self.told.append(message)
        left = [item for item in REPLICAS if item.replica_id not in message.exclude]
        if self.paused is not None and left and left[0] != REPLICAS[0]:
            return NotBefore(self.paused, left[0])
        return next(iter(left), None)


class Permissive:
    """Stands for the gates, which refuse nothing here."""

    def refuse(self, exchange):
        return None

    refuse_send = refuse

    async def acquire(self, exchange, replica):
        return Granted()


@pytest.fixture
def chooser(clock):
    allow = Permissive()
    return ReplicaChooser(Placement("placement"), allow, allow, allow, clock)


@pytest.fixture
def plain(make_exchange) -> Exchange:
    return make_exchange()._replace(route=PLAIN, progress=Progress())


def reject(chooser, clock, *names):
    for name in names:
        chooser.room.observe_rejection("s", name, 24, 6, clock.monotonic())


def test_full_replica_is_left_out(chooser, clock, plain):
    reject(chooser, clock, "r0")
    assert asyncio.run(chooser.choose(plain)) == REPLICAS[1]
    assert RequestEnded("r0", "cancelled") in chooser.placement.told


def test_only_one_replica_is_tried_if_all_are_full(chooser, clock, plain):
    """Each full replica costs a connection and a rejection, and delays the refusal."""
    reject(chooser, clock, "r0", "r1")
    assert asyncio.run(chooser.choose(plain)) == REPLICAS[0]
    plain.progress.tried = frozenset({"r0"})
    reject(chooser, clock, "r0")
    reply = asyncio.run(chooser.choose(plain))
    assert isinstance(reply, NotRun)
    assert 0.1 <= reply.retry_after_s < RETRY_AFTER_S


def test_full_replica_is_tried_rather_than_one_that_pauses(chooser, clock, plain):
    """Otherwise a pause of the others refuses what a full replica can run in some milliseconds."""
    chooser.placement.paused = clock.monotonic() + 60.0
    reject(chooser, clock, "r0")
    assert asyncio.run(chooser.choose(plain)) == REPLICAS[0]


def test_replicas_are_tried_again_when_their_queues_are_shorter(chooser, clock, plain):
    reject(chooser, clock, "r0", "r1")

    async def scenario():
        await clock.advance(0.3)
        return await chooser.choose(plain)

    assert asyncio.run(scenario()) == REPLICAS[0]


def test_rejection_of_an_engine_says_nothing_of_the_next_request(chooser, clock, plain):
    reject(chooser, clock, "r0", "r1")
    stream = plain._replace(route=PLAIN._replace(kind=Streaming(True, 0.8)))
    assert asyncio.run(chooser.choose(stream)) == REPLICAS[0]
    assert chooser.retry_after_s(stream) == RETRY_AFTER_S
