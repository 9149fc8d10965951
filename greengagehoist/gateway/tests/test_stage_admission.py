"""Guards against refusals without a useful time, and owners that do not learn of a refusal."""

import asyncio

import pytest

from greengagehoist.deployment import (
    Deployment,
    DeploymentSnapshot,
    Limits,
    PoolLimits,
    Route,
    Service,
    Stage,
    Streaming,
    Tenant,
)
from greengagehoist.gateway import Exchange, GatewayRequest, NotRun, Progress
from greengagehoist.gateway.controllers import CancelStages, ReserveStages
from greengagehoist.gateway.filters import FirstEventLatency, ShutdownGate
from greengagehoist.gateway.filters._stage_admission import StageAdmission
from greengagehoist.gateway.tests.recorder import Recorder
from greengagehoist.overload import PoolWait

STAGES = (Stage("p1", (), 8e3), Stage("p2", (0,), 60e3))
ROUTE = Route("r", "h", "/", Streaming(True, 0.8), 30.0, 1.5, 1, (), 2, STAGES, False)
SERVICES = {name: Service(name, PoolLimits(8, 0.15, 0.01, 10e6)) for name in ("p1", "p2")}


class Pools(Recorder):
    """Stands for the pool controller; replies with fixed waits."""

    def __init__(self, waits):
        super().__init__("pools")
        self.waits = waits

    async def ask(self, message):
        self.told.append(message)
        return self.waits


@pytest.fixture
def make_exchange(clock):
    def make(counts=(2, 4), age_s=0.0, deadline_s=8.0):
        now = clock.monotonic()
        req = GatewayRequest(
            "id", b"POST", b"/", "h", "/", (), b"", None, deadline_s, None, counts, "k", None
        )
        deployment = Deployment(1, {}, SERVICES, {}, False, Limits())
        return Exchange(
            req,
            None,
            now,
            Progress(),
            DeploymentSnapshot(deployment, now),
            ROUTE,
            "s",
            Tenant("t", 1),
            answer_deadline=now + deadline_s,
            due=now - age_s + ROUTE.target_latency_s,
        )

    return make


def run(clock, waits, exchange):
    pools = Pools(waits)
    admission = StageAdmission(pools, FirstEventLatency(), ShutdownGate(clock), clock)
    return asyncio.run(admission.refuse(exchange)), pools.told


def test_request_that_will_be_in_time_is_admitted_with_what_its_owners_must_know(
    clock, make_exchange
):
    reply, (sent,) = run(clock, {"p1": PoolWait(0.3, 9.0)}, make_exchange())
    assert reply is None
    assert isinstance(sent, ReserveStages)
    assert (sent.tenant, sent.kind, sent.size, sent.further) == ("t", "r", 6, False)


def test_refusal_names_the_time_of_room_and_reaches_the_owners(clock, make_exchange):
    waits = {"p1": PoolWait(1.4, 0.7), "p2": PoolWait(0.2, 1.9)}
    reply, (_, told) = run(clock, waits, make_exchange())
    assert isinstance(reply, NotRun)
    assert reply.retry_after_s == 1.9
    assert told == CancelStages("id", reserved=True, refused=True, returns_in_s=1.9)


@pytest.mark.parametrize("deadline_s", [8.0, 3.0])
def test_retry_after_is_what_the_client_honours(clock, make_exchange, deadline_s):
    """A longer one makes clients come back before the time that was reserved for them."""
    waits = {"p1": PoolWait(5.0, 50.0)}
    reply, (_, told) = run(clock, waits, make_exchange(deadline_s=deadline_s))
    assert reply.retry_after_s == pytest.approx(deadline_s / 3)
    assert (told.refused, told.returns_in_s) == (True, None)


def test_further_attempt_is_known_by_its_age(clock, make_exchange):
    _, told = run(clock, {}, make_exchange(age_s=2.0, deadline_s=6.0))
    assert told[0].further


def test_request_without_pieces_asks_nobody(clock, make_exchange):
    assert run(clock, {}, make_exchange(counts=(0, 0))) == (None, [])
