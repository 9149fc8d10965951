"""Guards against orders from two issuers, from a paused issuer, and against lost answers."""

import asyncio
import random
from contextlib import asynccontextmanager
from datetime import timedelta

import aiosonic
import pytest
from returns.result import Failure

from greengagehoist.base import ErrorCode, Outcome, StepError
from greengagehoist.controllers import (
    GetOrderStates,
    OrderController,
    TargetController,
    VmsListed,
    Want,
)
from greengagehoist.orders import DesiredState
from greengagehoist.platform_client import PlatformController, Vm, WriteRow
from greengagehoist.server import serve
from greengagehoist.standins import build_engine, build_platform
from greengagehoist.utils import SystemClock

WAIT_S = 20.0


class ShiftedClock(SystemClock):
    """The system clock, ahead by ``ahead`` seconds, as after a pause of that length."""

    def __init__(self):
        self.ahead = 0.0

    def now(self):
        return super().now() + timedelta(seconds=self.ahead)

    def monotonic(self):
        return super().monotonic() + self.ahead


class LosingClient(PlatformController):
    """A platform client that loses the answers of the next ``lose`` writes after their effect."""

    lose = 0

    async def _call(self, client, message, reply):
        if not isinstance(message, WriteRow) or self.lose == 0:
            await super()._call(client, message, reply)
            return
        self.lose -= 1
        await super()._call(client, message, lambda result: None)
        text = "answer lost after the effect"
        error = StepError("platform", self.address, Outcome.UNKNOWN, ErrorCode.PLATFORM, text)
        reply(Failure(error))


class Issuers:
    """Two issuers of orders, an engine and a platform."""

    def __init__(self, engine, platform, clients, controllers, clocks):
        self.engine, self.platform, self.clients = engine, platform, clients
        self.controllers, self.clocks = controllers, clocks

    async def settled(self, index):
        async with asyncio.timeout(WAIT_S):
            while not all((await self.controllers[index].ask(GetOrderStates())).values()):
                await asyncio.sleep(0.05)

    async def get(self, address, path):
        response = await aiosonic.HTTPClient().request(f"http://{address}{path}", "GET")
        return await response.json()


@pytest.fixture
def issuers():
    """Return a context manager that starts two issuers over real sockets."""

    @asynccontextmanager
    async def start(checks_fence):
        engine = await serve(build_engine("a", checks_fence=checks_fence), "127.0.0.1", 0)
        platform = await serve(build_platform(), "127.0.0.1", 0)
        clocks = [ShiftedClock(), ShiftedClock()]
        clients, controllers, running = [], [], []
        for index, clock in enumerate(clocks):
            rng = random.Random(index)
            client = LosingClient(platform.address, clock, rng)
            targets = TargetController(client, clock, rng, "dc1")
            orders = OrderController(client, targets, clock, rng, f"vm{index}", 1)
            clients.append(client)
            controllers.append(orders)
            running += [client, targets, orders]
            targets.tell(VmsListed((Vm("e", engine.address, "dc1", "engine", "live", 1),)))
        tasks = [asyncio.create_task(item.run()) for item in running]
        yield Issuers(engine.address, platform.address, clients, controllers, clocks)
        for task in tasks:
            task.cancel()
        for listener in (engine, platform):
            listener.server.force_exit = True
            await listener.stop()

    return start


@pytest.mark.parametrize("checks_fence", [True, False])
def test_two_issuers_reach_the_wanted_state_with_one_holder(issuers, checks_fence):
    async def scenario():
        async with issuers(checks_fence) as found:
            wanted = DesiredState(("a", "b"), ("x",), "decode")
            for controller in found.controllers:
                controller.tell(Want("e", wanted))
            await found.settled(0)
            await found.settled(1)
            load = await found.get(found.engine, "/load")
            rows = await found.get(found.platform, "/table/range?prefix=order/")
            records = await found.get(found.engine, "/control/records")
            return load, rows["rows"], records

    load, rows, records = asyncio.run(scenario())
    assert (load["models"], load["adapters"]) == (["a", "b"], ["x"])
    assert load["serves_as"] == "decode"
    assert [row["value"]["fence"] for row in rows] == [1]
    assert {record["fence"] for record in records} == {1} and len(records) == 3


def test_lost_answer_of_the_lease_is_settled_by_reading(issuers):
    async def scenario():
        async with issuers(True) as found:
            found.clients[0].lose = 1
            lease = await found.controllers[0]._take_lease("e")
            assert lease.fence == 1 and found.clients[0].lose == 0
            assert (await found.controllers[0]._take_lease("e")).version == lease.version + 1

    asyncio.run(scenario())


def test_order_is_not_sent_by_an_issuer_whose_lease_has_passed(issuers):
    async def scenario():
        async with issuers(False) as found:
            orders = found.controllers[0]
            lease = await orders._take_lease("e")
            assert orders._covers(lease)
            found.clocks[0].ahead = 100.0
            assert not orders._covers(lease)
            assert await found.controllers[1]._take_lease("e") is None

    asyncio.run(scenario())
