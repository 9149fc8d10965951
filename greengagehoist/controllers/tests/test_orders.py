"""Guards against orders from two issuers at once or under an expired lease, and lost responses."""

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
    SetDesiredState,
    TargetController,
    VmsListed,
)
from greengagehoist.orders import DesiredState
from greengagehoist.platform_client import PlatformController, Vm, WriteRow
from greengagehoist.server import serve
from greengagehoist.standins import build_engine, build_platform
from greengagehoist.utils import SystemClock

CONVERGENCE_TIMEOUT_S = 20.0


class ShiftedClock(SystemClock):
    """System clock set forward by ``ahead`` seconds, which simulates a pause of the process."""

    def __init__(self):
        self.ahead = 0.0

    def now(self):
        return super().now() + timedelta(seconds=self.ahead)

    def monotonic(self):
        return super().monotonic() + self.ahead


class LosingClient(PlatformController):
    """Platform client that drops the responses to the next ``responses_to_lose`` writes.

    The writes themselves take effect.
    """

    responses_to_lose = 0

    async def _call(self, client, message, reply):
        if not isinstance(message, WriteRow) or self.responses_to_lose == 0:
            await super()._call(client, message, reply)
            return
        self.responses_to_lose -= 1
        await super()._call(client, message, lambda result: None)
        text = "response lost after the write took effect"
        error = StepError("platform", self.address, Outcome.UNKNOWN, ErrorCode.PLATFORM, text)
        reply(Failure(error))


class Issuers:
    """Two issuers of orders, an engine and a platform."""

    def __init__(self, engine, platform, clients, controllers, clocks):
        self.engine, self.platform, self.clients = engine, platform, clients
        self.controllers, self.clocks = controllers, clocks

    async def wait_converged(self, index):
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
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
def test_two_issuers_reach_the_desired_state_with_one_holder(issuers, checks_fence):
    async def scenario():
        async with issuers(checks_fence) as env:
            desired = DesiredState(("a", "b"), ("x",), "decode")
            for controller in env.controllers:
                controller.tell(SetDesiredState("e", desired))
            await env.wait_converged(0)
            await env.wait_converged(1)
            load = await env.get(env.engine, "/load")
            rows = await env.get(env.platform, "/table/range?prefix=order/")
            records = await env.get(env.engine, "/control/records")
            return load, rows["rows"], records

    load, rows, records = asyncio.run(scenario())
    assert (load["models"], load["adapters"]) == (["a", "b"], ["x"])
    assert load["serves_as"] == "decode"
    assert [row["value"]["fence"] for row in rows] == [1]
    assert {record["fence"] for record in records} == {1} and len(records) == 3


def test_lost_answer_of_the_lease_is_settled_by_reading(issuers):
    async def scenario():
        async with issuers(True) as env:
            env.clients[0].responses_to_lose = 1
            lease = await env.controllers[0]._acquire_lease("e")
            assert lease.fence == 1 and env.clients[0].responses_to_lose == 0
            assert (await env.controllers[0]._acquire_lease("e")).version == lease.version + 1

    asyncio.run(scenario())


def test_order_is_not_sent_by_an_issuer_whose_lease_has_passed(issuers):
    async def scenario():
        async with issuers(False) as env:
            orders = env.controllers[0]
            lease = await orders._acquire_lease("e")
            assert orders._lease_covers_send(lease)
            env.clocks[0].ahead = 100.0
            assert not orders._lease_covers_send(lease)
            assert await env.controllers[1]._acquire_lease("e") is None

    asyncio.run(scenario())
