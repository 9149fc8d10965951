"""Controller that registers this daemon and keeps the list of the daemons of its deployment."""

import random
from typing import Any, NamedTuple

from returns.result import Result, Success

from greengagehoist.membership import Member, choose_hub_links, choose_hubs
from greengagehoist.peers import GetPeers, SetMembers
from greengagehoist.platform_client import (
    DeleteRow,
    ReadRange,
    Refused,
    Row,
    Rows,
    SetVmCount,
    WriteRow,
    Written,
)
from greengagehoist.utils import Clock, Controller, Published, Reply, Tick, log_event

MEMBER_PREFIX = "member/"
# Members only change when machines are added or replaced, so the list is read rarely.
POLL_PERIOD_S = 4.0
# Daemons that are not hubs need the list only to find new hubs.
NON_HUB_POLL_PERIOD_S = 12.0
RETRY_DELAY_S = 0.5
# A member without a link for this long is removed from the list; if it still runs, it registers
# again with its next read.
REMOVE_AFTER_S = 30.0


class Unregister(NamedTuple):
    """Remove the entry of this daemon before it stops; replied by None when done."""


class _ReadEnded(NamedTuple):
    result: Result


class MemberController(Controller):
    """Registers this daemon on the platform and tells the peers controller about the others.

    Entries are written once and not renewed: the links between daemons show which of them run.

    :ivar count: published number of members, at least 1.
    :ivar links: published members that this daemon links to.
    :ivar hubs: published names of the members that all others link to.
    :ivar shared: published; whether hubs read the platform for other members.
    """

    def __init__(
        self,
        platform: Controller,
        peers: Controller,
        own: Member,
        clock: Clock,
        rng: random.Random,
    ):
        super().__init__("members")
        self.platform = platform
        self.peers = peers
        self.own = own
        self.clock = clock
        self.rng = rng
        self.count: Published[int] = Published(1)
        self.links: Published[tuple[Member, ...]] = Published(())
        self.hubs: Published[frozenset[str]] = Published(frozenset({own.vm}))
        self.shared: Published[bool] = Published(False)
        self._row_version = 0
        self._unlinked_since: dict[str, float] = {}
        self._leaving = False

    async def run(self) -> None:
        """Read until cancelled."""
        self.tell(Tick())
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Tick():
                self.start(self._read())
            case _ReadEnded(result):
                self.start(self._apply(result))
            case Unregister():
                self._leaving = True
                self.start(self._unregister(reply))

    async def _read(self) -> None:
        result = await self.platform.ask(ReadRange(MEMBER_PREFIX))
        self.tell(_ReadEnded(result))
        non_hub = self.own.vm not in self.hubs.value
        period = (
            (NON_HUB_POLL_PERIOD_S if non_hub else POLL_PERIOD_S)
            if isinstance(result, Success)
            else RETRY_DELAY_S
        )
        await self.clock.sleep(period * self.rng.uniform(0.8, 1.2))
        self.tell(Tick())

    async def _apply(self, result: Result[Rows, Any]) -> None:
        if not isinstance(result, Success) or self._leaving:
            return
        rows = result.unwrap().rows
        members, own_row = {}, None
        for row in rows:
            member = parse_member(row)
            if member is None:
                log_event("member_unreadable", "WARNING", key=row.key)
            elif member.vm == self.own.vm:
                own_row = (row, member)
            else:
                members[member.vm] = (row, member)
        if own_row is None or own_row[1] != self.own:
            await self._register(own_row[0].version if own_row else 0)
        else:
            self._row_version = own_row[0].version
        all_members = (self.own, *(item for _, item in members.values()))
        self.hubs.value = choose_hubs(all_members)
        self.shared.value = len(self.hubs.value) < len(all_members)
        self.links.value = choose_hub_links(self.own.vm, self.own.data_centre, all_members)
        self.peers.tell(SetMembers(all_members))
        self.platform.tell(SetVmCount(len(members) + 1))
        if self.count.value != len(members) + 1:
            log_event("members_changed", members=len(members) + 1)
        self.count.value = len(members) + 1
        await self._remove_dead(members)

    async def _register(self, expected: int) -> None:
        value = list(self.own)
        result = await self.platform.ask(WriteRow(MEMBER_PREFIX + self.own.vm, value, expected))
        match result:
            case Success(Written(version, _)):
                self._row_version = version
                log_event("member_registered", vm=self.own.vm, address=self.own.address)
            case Success(Refused()):
                log_event("member_registration_refused", "WARNING", expected=expected)
            case _:
                log_event("member_registration_failed", "WARNING", reason=result.failure().message)

    async def _unregister(self, reply: Reply) -> None:
        if self._row_version:
            key = MEMBER_PREFIX + self.own.vm
            await self.platform.ask(DeleteRow(key, self._row_version))
        reply(None)

    async def _remove_dead(self, members: dict[str, tuple[Row, Member]]) -> None:
        if self.own.vm not in self.hubs.value:
            # Only hubs have links to all others.
            return
        now = self.clock.monotonic()
        linked = {peer.vm for peer in await self.peers.ask(GetPeers())}
        for vm in linked | (self._unlinked_since.keys() - members.keys()):
            self._unlinked_since.pop(vm, None)
        for vm, (row, _) in members.items():
            if vm in linked:
                continue
            since = self._unlinked_since.setdefault(vm, now)
            # The random factor spreads the removals, so that one daemon removes the entry first.
            if now - since > REMOVE_AFTER_S * self.rng.uniform(1.0, 2.0):
                await self.platform.ask(DeleteRow(row.key, row.version))
                log_event("member_removed", vm=vm, unlinked_s=round(now - since, 1))


def parse_member(row: Row) -> Member | None:
    """Return the member that a row describes, or None if the row is malformed."""
    match row.value:
        case [str(vm), str(data_centre), str(address), int(incarnation), int() | float() as size]:
            return Member(vm, data_centre, address, incarnation, float(size))
    return None
