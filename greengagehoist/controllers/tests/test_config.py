"""Guards against wrong outcomes of proposals, malformed rows and versions not sent to peers."""

import asyncio
import random
from typing import Any

import pytest
from returns.result import Failure, Success

from greengagehoist.base import ErrorCode, Outcome, unknown
from greengagehoist.config import Change
from greengagehoist.controllers import ConfigController, GetConfig, GetConfigStatus, Propose
from greengagehoist.peers import Broadcast, ConfigPush, ConfigRequest, FromPeer, Heartbeat, SendTo
from greengagehoist.platform_client import (
    GetObject,
    PutObject,
    ReadRange,
    ReadRow,
    Refused,
    Row,
    Rows,
    WriteRow,
    Written,
)
from greengagehoist.utils import Controller

WEIGHT = (Change("settings", "attainment_weight", 0.25),)
LOST = Failure(unknown("platform", ErrorCode.PLATFORM, "lost"))


class Table(Controller):
    """Fake platform; a call whose type is in ``lost`` takes effect, but its response is lost."""

    def __init__(self):
        super().__init__("platform")
        self.rows: dict[str, Any] = {}
        self.objects: dict[str, bytes] = {}
        self.lost: list[type] = []
        self.down = False

    def handle(self, message, reply):
        response = LOST if self.down else Success(self.execute(message))
        if type(message) in self.lost:
            self.lost.remove(type(message))
            response = LOST
        reply(response)

    def row(self, key):
        return Row(key, 1, self.rows[key], 0.0)

    def execute(self, message):
        match message:
            case WriteRow(key, value):
                if key in self.rows:
                    return Refused(self.row(key), 0.0)
                self.rows[key] = value
                return Written(1, 0.0)
            case ReadRow(key):
                return Rows((self.row(key),) if key in self.rows else (), 0.0)
            case ReadRange(prefix, after):
                keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
                return Rows(tuple(self.row(key) for key in keys), 0.0)
            case GetObject(name):
                return self.objects.get(name)
            case PutObject(name, data):
                self.objects[name] = data
        return None


class Peers(Controller):
    """Fake peer controller that records the messages it receives."""

    def __init__(self):
        super().__init__("peers")
        self.messages = []

    def handle(self, message, reply):
        self.messages.append(message)


@pytest.fixture
def daemon(clock):
    """Return a function that runs a scenario with a table, peers and a config controller."""

    def run(scenario):
        async def main():
            table, peers = Table(), Peers()
            configs = ConfigController(table, clock, random.Random(1), peers)
            tasks = [asyncio.create_task(item.run()) for item in (table, peers, configs)]
            await clock.advance(0)
            try:
                await scenario(table, peers, configs)
            finally:
                for task in tasks:
                    task.cancel()

        asyncio.run(main())

    return run


async def propose(clock, configs, base=0, op_id="op-1", seconds=15.0):
    task = asyncio.create_task(configs.ask(Propose(op_id, "anna", base, WEIGHT)))
    await clock.advance(seconds)
    return await task


def test_accepted_version_is_pushed_to_peers(daemon, clock):
    async def scenario(table, peers, configs):
        assert await propose(clock, configs) == Success(1)
        assert (await configs.ask(GetConfig())).attainment_weight == 0.25
        pushed = [item.message for item in peers.messages if isinstance(item, Broadcast)]
        assert pushed == [ConfigPush(1, table.rows["config/000000000001"])]

    daemon(scenario)


def test_lost_answer_is_settled_by_reading_back(daemon, clock):
    async def scenario(table, peers, configs):
        table.lost = [WriteRow, ReadRow]
        assert await propose(clock, configs) == Success(1)
        assert await propose(clock, configs) == Success(1)
        assert len(table.rows) == 1

    daemon(scenario)


def test_outcome_is_unknown_only_if_the_table_stays_unreadable(daemon, clock):
    async def scenario(table, peers, configs):
        table.down = True
        rejection = (await propose(clock, configs)).failure()
        assert rejection.error.outcome is Outcome.UNKNOWN

    daemon(scenario)


def test_conflict_carries_the_other_operators_version(daemon, clock):
    async def scenario(table, peers, configs):
        assert await propose(clock, configs) == Success(1)
        rejection = (await propose(clock, configs, op_id="op-2")).failure()
        assert rejection.error.code is ErrorCode.CONFLICT
        assert [(item.author, item.changes) for item in rejection.others] == [("anna", WEIGHT)]

    daemon(scenario)


@pytest.mark.parametrize(
    "value",
    [
        None,
        {"op_id": "x", "author": "a", "digest": "0" * 64, "changes": [["settings", "a", 1]]},
        {"op_id": "x", "author": "a", "digest": "0" * 64, "changes": [list(WEIGHT[0])]},
    ],
)
def test_malformed_row_is_not_applied(daemon, clock, value):
    async def scenario(table, peers, configs):
        table.rows["config/000000000001"] = value
        configs.tell(FromPeer("vm-2", "dc", 1, ConfigPush(1, value)))
        await clock.advance(3)
        state = await configs.ask(GetConfigStatus())
        assert state.version == 0
        assert state.blocked.startswith("version 1: ")

    daemon(scenario)


def test_daemon_that_is_behind_asks_the_peer_and_is_answered(daemon, clock):
    async def scenario(table, peers, configs):
        table.down = True
        configs.tell(FromPeer("vm-2", "dc", 1, Heartbeat(1, 2, True, 0, 0.0, ())))
        await clock.advance(1)
        assert SendTo("vm-2", ConfigRequest(0)) in peers.messages
        table.down = False
        assert await propose(clock, configs) == Success(1)
        configs.tell(FromPeer("vm-3", "dc", 1, ConfigRequest(0)))
        await clock.advance(1)
        push = ConfigPush(1, table.rows["config/000000000001"])
        assert SendTo("vm-3", push) in peers.messages

    daemon(scenario)


def test_starting_daemon_is_ready_only_with_a_confirmed_version(daemon, clock):
    async def scenario(table, peers, configs):
        table.down = True
        assert "no configuration" in (await configs.ask(GetConfigStatus())).not_ready
        table.down = False
        assert await propose(clock, configs) == Success(1)
        assert (await configs.ask(GetConfigStatus())).not_ready == ""

    daemon(scenario)
