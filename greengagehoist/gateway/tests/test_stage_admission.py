"""Guards against refusals without a useful time, and owners that do not learn of a refusal."""

import asyncio

import pytest

from greengagehoist.gateway import NotRun
from greengagehoist.gateway.controllers import CancelStages, ReserveStages
from greengagehoist.gateway.filters import FirstEventLatency, ShutdownGate
from greengagehoist.gateway.filters._stage_admission import StageAdmission
from greengagehoist.gateway.tests.recorder import Recorder
from greengagehoist.overload import PoolWait


class Pools(Recorder):
    """Stands for the pool controller; replies with fixed waits."""

    def __init__(self, waits):
        super().__init__("pools")
        self.waits = waits

    async def ask(self, message):
        self.told.append(message)
        return self.waits


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
