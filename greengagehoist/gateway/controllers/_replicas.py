"""Controller that follows the platform's list of replicas."""

import hashlib
import random
from typing import Any, NamedTuple

from returns.result import Result, Success

from greengagehoist.gateway.controllers._deployment import SetReadPeriod
from greengagehoist.gateway.controllers._relay import (
    Confirmed,
    ask_relay,
    next_read_delay_s,
    should_read_platform,
)
from greengagehoist.platform_client import ListReplicas
from greengagehoist.replicas import Replica, ReplicaTable, apply_outage, apply_read
from greengagehoist.utils import Clock, Controller, Published, Reply, Tick, log_event


class ReplicasChanged(NamedTuple):
    """Tell followers that the list has changed."""

    table: ReplicaTable


class _ReadEnded(NamedTuple):
    replicas: tuple[Replica, ...] | None
    unreadable: int
    sent_at: float


class ReplicaController(Controller):
    """Reads the list periodically and publishes the replicas that may be used.

    The whole list is polled: a change feed would report each heartbeat of each replica.

    :param relay: controller that asks hubs for their newest reads.
    :param shared: whether hubs read for the other daemons.
    :param read_period_s: seconds between reads.
    :param followers: controllers that receive :class:`ReplicasChanged`.
    :ivar confirmed: published digest of the list and time of the newest read.
    """

    def __init__(
        self,
        platform: Controller,
        relay: Controller,
        shared: Published[bool],
        clock: Clock,
        rng: random.Random,
        read_period_s: float,
        followers: tuple[Controller, ...] = (),
    ):
        super().__init__("replicas")
        self.platform = platform
        self.relay = relay
        self.shared = shared
        self.confirmed: Published[Confirmed | None] = Published(None)
        self._listed: tuple[Replica, ...] = ()
        self._read_at = float("-inf")
        self.clock = clock
        self.rng = rng
        self.read_period_s = read_period_s
        self.followers = followers
        self.table: Published[ReplicaTable] = Published(ReplicaTable())
        self._unreadable = 0

    async def run(self) -> None:
        """Read until cancelled."""
        self.tell(Tick())
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Tick():
                self.start(self._read())
            case SetReadPeriod(seconds):
                self.read_period_s = seconds
            case _ReadEnded():
                self._apply(message)

    async def _read(self) -> None:
        sent_at, held = self.clock.monotonic(), self.confirmed.value
        token = held.token if held is not None else ""
        answer = await ask_relay(self.relay, "replicas", token, sent_at, self.read_period_s)
        if isinstance(answer, Confirmed):
            self.tell(_ReadEnded(self._listed, self._unreadable, answer.at))
            await self._pause(True)
            return
        if not should_read_platform(answer, sent_at - self._read_at):
            await self._pause(False)
            return
        self._read_at = sent_at = self.clock.monotonic()
        replicas: list[Replica] = []
        unreadable, after, ok = 0, "", True
        while ok:
            result: Result = await self.platform.ask(ListReplicas(after))
            ok = isinstance(result, Success)
            if not ok:
                break
            page = result.unwrap()
            replicas.extend(page.replicas)
            unreadable += page.unreadable
            after = page.last
            if not after:
                break
        self.tell(_ReadEnded(tuple(replicas) if ok else None, unreadable, sent_at))
        await self._pause(bool(ok and replicas))

    async def _pause(self, ok: bool) -> None:
        pause = next_read_delay_s(ok, self.read_period_s, self.shared.value, self.rng)
        await self.clock.sleep(pause)
        self.tell(Tick())

    def _apply(self, read: _ReadEnded) -> None:
        before = self.table.value
        if read.replicas is None:
            if before.missing_allowed_until <= read.sent_at:
                log_event("replica_list_unavailable", "WARNING", replicas=len(before.replicas))
            self.table.value = apply_outage(before, self.clock.monotonic())
            return
        if read.unreadable != self._unreadable:
            log_event("replica_entries_unreadable", "WARNING", count=read.unreadable)
            self._unreadable = read.unreadable
        table = apply_read(before, read.replicas, read.sent_at)
        self.table.value = table
        self._update_confirmed(read)
        if table.replicas != before.replicas:
            self._log_changes(before, table)
            for follower in self.followers:
                follower.tell(ReplicasChanged(table))

    def _update_confirmed(self, read: _ReadEnded) -> None:
        held = self.confirmed.value
        if held is None or read.replicas != self._listed:
            self._listed = read.replicas
            self.confirmed.value = Confirmed(list_token(read.replicas), read.sent_at)
        elif read.sent_at > held.at:
            self.confirmed.value = held._replace(at=read.sent_at)

    def _log_changes(self, before: ReplicaTable, table: ReplicaTable) -> None:
        for key, item in table.replicas.items():
            old = before.replicas.get(key)
            if old is None or old.leaving != item.leaving or old.born_ms != item.born_ms:
                state = "leaving" if item.leaving else "ready"
                log_event(
                    "replica_seen",
                    replica=key,
                    service=item.service,
                    address=item.address,
                    state=state,
                    zone=item.zone,
                )
        for key in before.replicas.keys() - table.replicas.keys():
            log_event("replica_gone", replica=key, service=before.replicas[key].service)


def list_token(replicas: tuple[Replica, ...]) -> str:
    """Return a digest that is equal for equal lists on all daemons.

    It depends on the field names of ``Replica``: daemons whose versions name the fields differently
    never confirm each other's lists.
    """
    return hashlib.blake2b(repr(replicas).encode(), digest_size=8).hexdigest()
