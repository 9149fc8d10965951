"""Controller that follows the platform's list of replicas."""

import math
from typing import Any, NamedTuple

import msgspec
from returns.result import Result, Success

from greengagehoist.base import Outcome
from greengagehoist.gateway.controllers._deployment import SetReadPeriod
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
from greengagehoist.platform_client import ListReplicas
from greengagehoist.replicas import (
    ColdEntries,
    Replica,
    ReplicaTable,
    apply_outage,
    apply_read,
    apply_restore,
    check_replica,
    drop_missing,
)
from greengagehoist.transfers import content_token
from greengagehoist.utils import (
    Clock,
    Controller,
    Published,
    Reply,
    Tick,
    ValidationError,
    log_event,
    show_value,
)

# More changes than this in one read, as at the start, are logged as one line: lines for a thousand
# replicas delay the first request of a small VM by 0.1 s.
MAX_LOGGED_CHANGES = 100
# Other programs write the entries, so that their keys may be many.
MAX_LOGGED_KEYS = 5


class ReplicasChanged(NamedTuple):
    """Tell followers that the list has changed."""

    table: ReplicaTable


class _ReadEnded(NamedTuple):
    """A read of the list has ended.

    :param replicas: None if it failed.
    :param sent_at: time at which the platform was asked, or at which the newest failed call was sent.
    :param odd_cold: entries whose cold period is no time, None if unknown.
    """

    replicas: tuple[Replica, ...] | None
    unreadable: tuple[str, ...]
    sent_at: float
    era: int = 0
    odd_cold: tuple[str, ...] | None = None


class ReplicaController(Controller):
    """Reads the list periodically and publishes the replicas that may be used.

    The whole list is polled: a change feed would report each heartbeat of each replica.

    :param reads: decides whether a hub or the platform is asked.
    :param followers: controllers that receive :class:`ReplicasChanged`.
    :param failed_at: published time at which the newest failed call to the platform was sent.
    :ivar held: published list and when the platform held it, for other daemons.
    """

    def __init__(
        self,
        platform: Controller,
        reads: SharedReads,
        clock: Clock,
        followers: tuple[Controller, ...] = (),
        failed_at: Published[float] | None = None,
    ):
        super().__init__("replicas")
        self.platform = platform
        self.reads = reads
        self.clock = clock
        self.followers = followers
        self.failed_at = failed_at or Published(-math.inf)
        self.table: Published[ReplicaTable] = Published(ReplicaTable())
        self._listed: tuple[Replica, ...] = ()
        self.held: Published[HeldContent | None] = Published(None)
        self._unreadable: tuple[str, ...] = ()
        self._odd_cold: tuple[str, ...] = ()
        self._cold_entries = ColdEntries()
        self._era: int | None = None

    async def run(self) -> None:
        """Read until cancelled."""
        self.reads.relay.tell(AddSource("replicas", self.held))
        self.tell(Tick())
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Tick():
                self.start(self.reads.guard(self._read(), lambda: self.tell(Tick())))
            case SetReadPeriod(seconds):
                self.reads.period_s = seconds
            case _ReadEnded():
                self._apply(message)

    async def _read(self) -> None:
        known = self.held.value
        step = await self.reads.next_step(known.token if known is not None else "", self._era or 0)
        ok = False
        match step:
            case Confirmed(at, era):
                self.tell(_ReadEnded(self._listed, self._unreadable, at, era))
                ok = True
            case Changed(held):
                ok = self._apply_hub_read(held)
            case ReadNow():
                ok = await self._read_platform()
            case HubBusy():
                pass
            case HubStale():
                # If this daemon can read, only the hubs are cut off. Otherwise an entry that lapses
                # meanwhile may belong to a replica that runs.
                if not self.reads.own_read_ok:
                    self.tell(_ReadEnded(None, (), self.clock.monotonic()))
        await self.reads.pause(step, ok, self._kept_for_s() if ok else math.inf)
        self.tell(Tick())

    def _kept_for_s(self) -> float:
        """Return the seconds for which replicas that are missing from the list are still kept."""
        table = self.table.value
        if not table.missing:
            return math.inf
        return max(0.0, table.missing_allowed_until - self.clock.monotonic())

    async def _read_platform(self) -> bool:
        sent_at = self.clock.monotonic()
        replicas: list[Replica] = []
        unreadable: tuple[str, ...] = ()
        odd_cold: tuple[str, ...] = ()
        after, ok, era = "", True, None
        while ok:
            result: Result = await self.platform.ask(ListReplicas(after))
            ok = isinstance(result, Success)
            if not ok:
                if result.failure().outcome is Outcome.NOT_RUN:
                    # Says nothing new about the platform, as the call was not sent.
                    sent_at = self.failed_at.value
                break
            page = result.unwrap()
            # Pages of different eras are no list.
            ok = era is None or era == page.era
            era = page.era
            if not ok:
                break
            replicas.extend(page.replicas)
            unreadable += page.unreadable
            odd_cold += page.odd_cold
            after = page.last
            if not after:
                break
        held = self._cold_entries.hold(replicas, self.clock.monotonic()) if ok else None
        self.tell(_ReadEnded(held, unreadable, sent_at, era or 0, odd_cold))
        return bool(ok and replicas)

    def _apply_hub_read(self, held: HeldContent) -> bool:
        try:
            replicas = msgspec.json.decode(held.content, type=tuple[Replica, ...])
        except (msgspec.MsgspecError, RecursionError) as exc:
            log_event("hub_read_unreadable", "WARNING", topic="replicas", reason=str(exc))
            return False
        checked = {item: _is_usable(item) for item in replicas}
        usable = tuple(item for item, is_usable in checked.items() if is_usable)
        odd = tuple(item.replica_id for item, is_usable in checked.items() if not is_usable)
        self.tell(_ReadEnded(usable, odd or self._unreadable, held.at, held.era))
        return True

    def _apply(self, read: _ReadEnded) -> None:
        before = self.table.value
        if read.replicas is None:
            if before.missing_allowed_until <= read.sent_at:
                log_event("replica_list_unavailable", "WARNING", replicas=len(before.replicas))
            self.table.value = apply_outage(before, read.sent_at)
            return
        if self._era is not None and read.era < self._era:
            return
        if self._era is not None and read.era > self._era:
            log_event("replica_list_restored", "WARNING", era=read.era, replicas=len(read.replicas))
            before = apply_restore(before, self.clock.monotonic())
        self._era = read.era
        if read.unreadable != self._unreadable:
            names = ",".join(show_value(key) for key in read.unreadable[:MAX_LOGGED_KEYS])
            log_event(
                "replica_entries_unreadable", "WARNING", count=len(read.unreadable), keys=names
            )
            self._unreadable = read.unreadable
        if read.odd_cold is not None and read.odd_cold != self._odd_cold:
            names = ",".join(show_value(key) for key in read.odd_cold[:MAX_LOGGED_KEYS])
            log_event("replica_cold_unreadable", "WARNING", count=len(read.odd_cold), keys=names)
            self._odd_cold = read.odd_cold
        table = apply_read(before, read.replicas, read.sent_at)
        table = drop_missing(table, self.clock.monotonic())
        self.table.value = table
        self._update_held(read)
        if table.replicas != before.replicas:
            self._log_changes(before, table)
            for follower in self.followers:
                follower.tell(ReplicasChanged(table))

    def _update_held(self, read: _ReadEnded) -> None:
        held = self.held.value
        if held is None or read.replicas != self._listed:
            self._listed = read.replicas
            self.held.value = encode_replicas(read.replicas, read.sent_at)._replace(era=read.era)
        elif read.sent_at > held.at:
            self.held.value = held._replace(at=read.sent_at, era=read.era)

    def _log_changes(self, before: ReplicaTable, table: ReplicaTable) -> None:
        changed = [item for key, item in table.replicas.items() if _is_news(before, key, item)]
        gone = before.replicas.keys() - table.replicas.keys()
        if len(changed) + len(gone) > MAX_LOGGED_CHANGES:
            log_event(
                "replica_list_changed",
                seen=len(changed),
                gone=len(gone),
                replicas=len(table.replicas),
            )
            return
        for item in changed:
            log_event(
                "replica_seen",
                replica=item.replica_id,
                service=item.service,
                address=item.address,
                state="leaving" if item.leaving else "ready",
                zone=item.zone,
            )
        for key in gone:
            log_event("replica_gone", replica=key, service=before.replicas[key].service)


def _is_usable(replica: Replica) -> bool:
    try:
        check_replica(replica)
    except ValidationError:
        return False
    return True


def _is_news(before: ReplicaTable, key: str, item: Replica) -> bool:
    old = before.replicas.get(key)
    return old is None or old.leaving != item.leaving or old.born_ms != item.born_ms


def encode_replicas(replicas: tuple[Replica, ...], at: float) -> HeldContent:
    """Return a list of replicas as other daemons read it; equal lists have equal tokens.

    :param at: time at which the platform held the list.
    """
    content = msgspec.json.encode(replicas).decode()
    return HeldContent(content_token(content), at, content)
