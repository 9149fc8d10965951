"""Controller that owns the account of a process's memory for others."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from greengagehoist.memory._account import (
    Account,
    Arriving,
    Buffered,
    Kept,
    Purpose,
    Unsent,
)
from greengagehoist.memory._yielding import choose_yielding
from greengagehoist.utils import Clock, Controller, EventLimiter, Reply, Tick

# Period of the choice of who yields, while somebody waits.
YIELD_PERIOD_S = 0.1


class ReserveMemory(NamedTuple):
    """Ask for memory; replied by True when it is granted.

    :param key: holds the memory until :class:`ReleaseMemory`, whether or not it still waits for it.
    :param origin: id of the replica that sends an answer, or address of the client.
    :param size: bytes in all, with those that the key holds already.
    :param give_way: called once if the key must give its memory back.
    """

    key: object
    purpose: Purpose
    origin: str
    size: int
    give_way: Callable[[], None] | None = None


class KeepMemory(NamedTuple):
    """A request is complete: what its key holds is kept until :class:`ReleaseMemory`."""

    key: object


class MarkUnsent(NamedTuple):
    """An answer is complete and waits for its client.

    :param give_way: called once if the key must give its memory back.
    """

    key: object
    give_way: Callable[[], None]


class ReleaseMemory(NamedTuple):
    """Give back what a key holds, or waits for."""

    key: object


class MemoryController(Controller):
    """Grants memory for bodies and answers up to a limit, and lets the others wait.

    Whoever waits does not read from its connection, so the sender is slowed down by flow control. While
    somebody waits, those that make the least progress for what they hold are told to give way.

    :param limit: bytes that may be held at the same time.
    """

    def __init__(self, limit: int, clock: Clock):
        super().__init__("memory")
        self.account = Account(limit)
        self.clock = clock
        self.evicted = 0
        self._replies: dict[object, Reply] = {}
        self._give_way: dict[object, Callable[[], None]] = {}
        self._yielding: set[object] = set()
        self._someone_waits = asyncio.Event()
        self._log = EventLimiter(clock)

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now."""
        return self.account.held_bytes

    async def run(self) -> None:
        """Handle messages, and choose who gives way while somebody waits, until cancelled."""
        self.start(self._check())
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        now = self.clock.monotonic()
        match message:
            case ReserveMemory(key, purpose, origin, size, give_way):
                self._replies[key] = reply
                self._set_give_way(key, give_way)
                self.account.ask(key, purpose, origin, size, now)
                self._grant(now)
                if key in self.account.asks:
                    self._wait(message)
            case KeepMemory(key):
                self._set_give_way(key, None)
                self.account.change(key, Kept(), now)
            case MarkUnsent(key, give_way):
                if key in self.account.holdings:
                    self._set_give_way(key, give_way)
                    self.account.change(key, Unsent(), now)
            case ReleaseMemory(key):
                self._replies.pop(key, None)
                self._set_give_way(key, None)
                self.account.release(key)
                self._grant(now)
            case Tick():
                self._choose_yielding(now)
                if not self.account.asks:
                    self._someone_waits.clear()

    def held_by_purpose(self) -> dict[str, int]:
        """Return the bytes that are held for each purpose."""
        return {
            kind.__name__.lower(): self.account.held_for(kind)
            for kind in (Arriving, Kept, Buffered, Unsent)
        }

    def _set_give_way(self, key: object, give_way: Callable[[], None] | None) -> None:
        self._yielding.discard(key)
        if give_way is None:
            self._give_way.pop(key, None)
        else:
            self._give_way[key] = give_way

    def _grant(self, now: float) -> None:
        for key in self.account.grant(now):
            self._replies.pop(key)(True)

    def _wait(self, ask: ReserveMemory) -> None:
        self._log.log(
            "memory_full",
            "WARNING",
            kind=type(ask.purpose),
            purpose=type(ask.purpose).__name__.lower(),
            origin=ask.origin,
            held_kb=self.held_bytes // 1024,
            asked_kb=ask.size // 1024,
            waiting=len(self.account.asks),
        )
        self._someone_waits.set()

    async def _check(self) -> None:
        while True:
            await self._someone_waits.wait()
            await self.clock.sleep(YIELD_PERIOD_S)
            self.tell(Tick("yield"))

    def _choose_yielding(self, now: float) -> None:
        account = self.account
        missing = account.missing_bytes()
        if missing <= 0:
            return
        keys = choose_yielding(account.holdings, account.asks, self._yielding, missing, now)
        for key in keys:
            holding = account.holdings[key]
            self._yielding.add(key)
            self.evicted += 1
            self._log.log(
                "connection_evicted",
                "WARNING",
                kind=type(holding.purpose),
                purpose=type(holding.purpose).__name__.lower(),
                origin=holding.origin,
                held_kb=holding.size // 1024,
                stalled_ms=round(1000 * (now - holding.since)),
            )
            self._give_way[key]()
