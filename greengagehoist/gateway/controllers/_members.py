"""Controller that registers this daemon and keeps the list of the daemons of its deployment."""

import random
from typing import Any, NamedTuple

import msgspec
from returns.result import Success

from greengagehoist.gateway.controllers._held_content import HeldContent
from greengagehoist.gateway.controllers._relay import AddSource
from greengagehoist.gateway.controllers._shared_reads import (
    Changed,
    Confirmed,
    HubBusy,
    HubStale,
    ReadNow,
    SharedReads,
)
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.membership import Member, check_member, choose_hub_links, choose_hubs
from greengagehoist.peers import GetPeers, SetMembers
from greengagehoist.platform_client import (
    DeleteRow,
    EraChanged,
    ReadRange,
    Refused,
    Revision,
    Row,
    SetVmCount,
    WriteRow,
    Written,
)
from greengagehoist.transfers import content_token
from greengagehoist.utils import (
    Clock,
    Controller,
    Published,
    Reply,
    Tick,
    ValidationError,
    check_int,
    log_event,
    show_value,
)

MEMBER_PREFIX = "member/"
# Members only change when machines are added or replaced, so the list is read rarely.
POLL_PERIOD_S = 6.0
# Time that the platform takes for one write to the list; writes are done one after another.
WRITE_TIME_S = 0.008
MAX_MEMBERS = 100_000
# Rows in one page of the list.
PAGE_ROWS = 500
# Other programs may write rows too, so that the keys may be many.
MAX_LOGGED_KEYS = 5
# A member without a link for this long is removed from the list; if it still runs, it registers
# again with its next read.
REMOVE_AFTER_S = 30.0


class _ReadEnded(NamedTuple):
    rows: tuple[Row, ...]
    sent_at: float
    era: int


class _HubsRead(NamedTuple):
    hubs: "HubList"
    held: HeldContent


class HubList(NamedTuple):
    """What daemons that are not hubs need to know of the list.

    :param count: number of members.
    :param hubs: members that all others link to.
    """

    count: int
    hubs: tuple[Member, ...]


class MemberController(Controller):
    """Registers this daemon on the platform and tells the peers controller about the others.

    Entries are written once and not renewed: the links between daemons show which of them run. A
    daemon that stops keeps its entry, because most of them start again soon: the others keep the
    same hubs meanwhile, and remove the entry if the daemon does not come back.

    With hubs, one hub of each data centre reads the list, and the others learn from it which
    members are hubs.

    :param topology: published views, which this controller updates.
    :param reads: decides whether a hub or the platform is asked.
    :ivar held: published hubs, for the daemons that are listed; another one must register first.
    """

    def __init__(
        self,
        platform: Controller,
        peers: Controller,
        own: Member,
        topology: Topology,
        reads: SharedReads,
        clock: Clock,
        rng: random.Random,
    ):
        super().__init__("members")
        self.platform = platform
        self.peers = peers
        self.own = own
        self.topology = topology
        self.reads = reads
        self.clock = clock
        self.rng = rng
        self.held: Published[HeldContent | None] = Published(None)
        self._registered = False
        self._era: int | None = None
        self._unreadable: set[str] = set()
        self._unlinked_since: dict[str, float] = {}

    async def run(self) -> None:
        """Read until cancelled."""
        self.reads.relay.tell(AddSource("members", self.held))
        self.tell(Tick())
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Tick():
                self.start(self.reads.guard(self._read(), lambda: self.tell(Tick())))
            case _ReadEnded():
                self.start(self._apply(message))
            case EraChanged(era):
                self._enter_era(era)
            case _HubsRead(hubs, held):
                self._apply_hub_read(hubs, held)

    async def _read(self) -> None:
        # A daemon whose registration failed reads the list again, and then repeats it.
        known = self.held.value
        token = known.token if known is not None and self._registered else ""
        step = await self.reads.next_step(token, self._era or 0)
        ok = False
        match step:
            case Confirmed(_, era):
                self._enter_era(era)
                ok = True
            case Changed(held):
                self._enter_era(held.era)
                ok = self._decode_hub_read(held)
            case ReadNow():
                ok = await self._read_platform()
            case HubStale() | HubBusy():
                pass
        await self.reads.pause(step, ok)
        self.tell(Tick())

    async def _read_platform(self) -> bool:
        sent_at = self.clock.monotonic()
        rows: tuple[Row, ...] = ()
        while True:
            after = rows[-1].key if rows else ""
            result = await self.platform.ask(ReadRange(MEMBER_PREFIX, after, PAGE_ROWS))
            if not isinstance(result, Success):
                return False
            page = result.unwrap()
            if page.era < (self._era or 0) or (rows and page.era != rows[-1].era):
                # Pages of different eras are no list.
                return False
            rows += page.rows
            if len(page.rows) < PAGE_ROWS:
                break
        self.tell(_ReadEnded(rows, sent_at, page.era))
        return True

    def _enter_era(self, era: int) -> None:
        """Register again if the platform was restored, as the copy may lack the own entry."""
        if self._era is not None and era > self._era:
            self._registered = False
            self.start(self._read_again())
        self._era = max(era, self._era or 0)

    async def _read_again(self) -> None:
        # At a random time, because all daemons learn of the restore at once.
        await self.clock.sleep(self.rng.uniform(0.0, self.topology.count.value * WRITE_TIME_S))
        await self._read_platform()

    def _decode_hub_read(self, held: HeldContent) -> bool:
        try:
            hubs = msgspec.json.decode(held.content, type=HubList)
            check_int("count", hubs.count, len(hubs.hubs), MAX_MEMBERS)
            for member in hubs.hubs:
                check_member(member)
        except (RecursionError, ValueError) as exc:
            log_event("hub_read_unreadable", "WARNING", topic="members", reason=str(exc))
            return False
        self.tell(_HubsRead(hubs, held))
        return True

    async def _apply(self, read: _ReadEnded) -> None:
        if self._era is not None and read.era < self._era:
            return
        self._era = read.era
        members, own_version, registered, unreadable = {}, 0, False, set()
        for row in read.rows:
            member = parse_member(row)
            if member is None:
                unreadable.add(row.key)
            if row.key == MEMBER_PREFIX + self.own.vm:
                own_version, registered = row.version, member == self.own
            elif member is not None:
                members[member.vm] = (row, member)
        self._log_unreadable(unreadable)
        all_members = (self.own, *(item for _, item in members.values()))
        hubs = choose_hubs(all_members)
        self.topology.links.value = choose_hub_links(self.own.vm, self.own.data_centre, all_members)
        self._publish(hubs, len(all_members))
        listed_hubs = sorted(item for item in all_members if item.vm in hubs)
        content = msgspec.json.encode(HubList(len(all_members), tuple(listed_hubs))).decode()
        token = content_token(content)
        self.held.value = HeldContent(token, read.sent_at, content, frozenset(members), read.era)
        self.peers.tell(SetMembers(all_members))
        # Last, because writes wait for each other when many daemons start at once, and stage work
        # needs the hubs.
        self._registered = registered
        if not registered:
            await self._register(Revision(read.era, own_version), len(all_members))
        await self._remove_dead(members)

    def _log_unreadable(self, keys: set[str]) -> None:
        for key in sorted(keys - self._unreadable)[:MAX_LOGGED_KEYS]:
            log_event("member_unreadable", "WARNING", key=show_value(key))
        self._unreadable = keys

    def _apply_hub_read(self, hubs: HubList, held: HeldContent) -> None:
        others = tuple(item for item in hubs.hubs if item.vm != self.own.vm)
        self.topology.links.value = others
        self._publish(frozenset(item.vm for item in hubs.hubs), hubs.count)
        # This daemon does not know who is listed, so it tells nobody.
        self.held.value = held._replace(readers=frozenset())
        self.peers.tell(SetMembers((self.own, *others)))

    def _publish(self, hubs: frozenset[str], count: int) -> None:
        topology = self.topology
        topology.known.value = True
        topology.hubs.value = hubs
        topology.shared.value = len(hubs) < count
        self.platform.tell(SetVmCount(count))
        if topology.count.value != count:
            log_event("members_changed", members=count)
        topology.count.value = count

    async def _register(self, expected: Revision, count: int) -> None:
        """Write the own entry.

        :param expected: revision of the present entry, with version 0 if there is none.
        :param count: number of members, which may all register now.
        """
        await self.clock.sleep(self.rng.uniform(0.0, count * WRITE_TIME_S))
        value = list(self.own)
        write = WriteRow(MEMBER_PREFIX + self.own.vm, value, expected.version, expected.era)
        result = await self.platform.ask(write)
        match result:
            case Success(Written()):
                self._registered = expected.era == self._era
                log_event("member_registered", vm=self.own.vm, address=self.own.address)
            case Success(Refused()):
                log_event("member_registration_refused", "WARNING", expected=expected.token)
            case _:
                log_event("member_registration_failed", "WARNING", reason=result.failure().message)

    async def _remove_dead(self, members: dict[str, tuple[Row, Member]]) -> None:
        if self.own.vm not in self.topology.hubs.value:
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
                await self.platform.ask(DeleteRow(row.key, row.version, row.era))
                log_event("member_removed", vm=vm, unlinked_s=round(now - since, 1))


def parse_member(row: Row) -> Member | None:
    """Return the member that a row describes, or None if the row is malformed or another's."""
    match row.value:
        case [str(vm), str(data_centre), str(address), int(incarnation), int() | float() as size]:
            try:
                member = check_member(Member(vm, data_centre, address, incarnation, size))
                member = member._replace(capacity=float(size))
            except ValidationError:
                return None
            return member if row.key == MEMBER_PREFIX + vm else None
    return None
