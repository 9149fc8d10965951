"""Controller that follows the platform's list of replicas."""

import random
from typing import Any, NamedTuple

from returns.result import Result, Success

from greengagehoist.gateway.controllers._deployment import SetReadPeriod
from greengagehoist.platform_client import ListReplicas
from greengagehoist.replicas import Book, Replica, apply_outage, apply_read
from greengagehoist.utils import Clock, Controller, Published, Reply, Tick, log_event

# Seconds between reads while the platform fails or nothing is known yet.
RETRY_S = 0.3


class ReplicasChanged(NamedTuple):
    """Tell followers that the list has changed."""

    book: Book


class _Read(NamedTuple):
    replicas: tuple[Replica, ...] | None
    unreadable: int
    sent_at: float


class ReplicaController(Controller):
    """Reads the list periodically and publishes the replicas that may be used.

    The list is read as a whole: a feed would return with every heartbeat of every replica.

    :param read_every: seconds between reads.
    :param followers: controllers that receive :class:`ReplicasChanged`.
    """

    def __init__(
        self,
        platform: Controller,
        clock: Clock,
        rng: random.Random,
        read_every: float,
        followers: tuple[Controller, ...] = (),
    ):
        super().__init__("replicas")
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.read_every = read_every
        self.followers = followers
        self.book: Published[Book] = Published(Book())
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
                self.read_every = seconds
            case _Read():
                self._apply(message)

    async def _read(self) -> None:
        sent_at = self.clock.monotonic()
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
        self.tell(_Read(tuple(replicas) if ok else None, unreadable, sent_at))
        known = ok and replicas
        period = self.read_every if known else RETRY_S
        await self.clock.sleep(period * self.rng.uniform(0.95, 1.05))
        self.tell(Tick())

    def _apply(self, read: _Read) -> None:
        before = self.book.value
        if read.replicas is None:
            if before.missing_allowed_until <= read.sent_at:
                log_event("replica_list_unavailable", "WARNING", replicas=len(before.replicas))
            self.book.value = apply_outage(before, self.clock.monotonic())
            return
        if read.unreadable != self._unreadable:
            log_event("replica_entries_unreadable", "WARNING", count=read.unreadable)
            self._unreadable = read.unreadable
        book = apply_read(before, read.replicas, read.sent_at)
        self.book.value = book
        if book.replicas != before.replicas:
            self._log_changes(before, book)
            for follower in self.followers:
                follower.tell(ReplicasChanged(book))

    def _log_changes(self, before: Book, book: Book) -> None:
        for key, item in book.replicas.items():
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
        for key in before.replicas.keys() - book.replicas.keys():
            log_event("replica_gone", replica=key, service=before.replicas[key].service)
