"""Who holds memory, who waits for it, and who gets it next."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

# Part of the account that bodies of requests may take. The rest is left for answers: without it,
# requests would wait for memory that is free only when they have ended.
BODY_SHARE = 0.6
# Asks up to this size are made way for together, so that ordinary requests do not wait one by one.
SMALL_ASK_BYTES = 192 * 1024


@dataclass(frozen=True, slots=True)
class Arriving:
    """A request that a client sends."""


@dataclass(frozen=True, slots=True)
class Kept:
    """A complete request that waits, runs or may be sent again."""


@dataclass(frozen=True, slots=True)
class Buffered:
    """An answer that a replica sends."""


@dataclass(frozen=True, slots=True)
class Unsent:
    """A complete answer that the client has not taken yet."""


Purpose = Arriving | Kept | Buffered | Unsent


class Holding(NamedTuple):
    """Memory that is held.

    :param origin: who causes it: id of the replica that answers, or address of the client.
    :param step: bytes that were granted last.
    :param since: time of that grant, or of the change of the purpose, in seconds.
    """

    purpose: Purpose
    origin: str
    size: int
    step: int
    since: float


class Ask(NamedTuple):
    """A wait for memory.

    :param size: bytes in all, with those that the key holds already.
    :param since: time of the ask, in seconds.
    """

    purpose: Purpose
    origin: str
    size: int
    since: float


class Account:
    """Memory that is held and waited for, by key.

    A body asks in growing steps; an answer asks once for all that it may need.

    An answer larger than what bodies leave is granted if no other answer is held.

    :param limit: bytes that may be held at the same time; a larger ask counts as the limit.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.holdings: dict[object, Holding] = {}
        self.asks: dict[object, Ask] = {}
        self._held: Counter[type[Purpose]] = Counter()

    @property
    def held_bytes(self) -> int:
        """Bytes that are held."""
        return self._held.total()

    def held_for(self, purpose: type[Purpose]) -> int:
        """Return the bytes that are held for a purpose."""
        return self._held[purpose]

    def ask(self, key: object, purpose: Purpose, origin: str, size: int, now: float) -> None:
        """Let a key wait until it holds ``size`` bytes in all."""
        self.asks[key] = Ask(purpose, origin, min(size, self._most(purpose)), now)

    def change(self, key: object, purpose: Purpose, now: float) -> None:
        """Change the purpose of what a key holds, if it holds anything."""
        holding = self.holdings.get(key)
        if holding is not None:
            self._set(key, holding._replace(purpose=purpose, since=now))

    def release(self, key: object) -> None:
        """Give back what a key holds, and end its wait."""
        self.asks.pop(key, None)
        self._set(key, None)

    def grant(self, now: float) -> list[object]:
        """Grant what is free; returns the keys that do not wait any more."""
        granted = []
        while (key := self._next()) is not None:
            ask = self.asks.pop(key)
            step = ask.size - self._size(key)
            self._set(key, Holding(ask.purpose, ask.origin, ask.size, step, now))
            granted.append(key)
        return granted

    def missing_bytes(self) -> int:
        """Return the bytes that must be given back before those who wait can go on.

        All small bodies can then go on, and at least one of the others.
        """
        small = [key for key, ask in self.asks.items() if ask.size <= SMALL_ASK_BYTES]
        steps = [self.asks[key].size - self._size(key) for key in small]
        rest = sum(steps) - max(steps, default=0)
        return min((self._lack(key) + rest for key in self._candidates()), default=0)

    def _next(self) -> object | None:
        for key in self._candidates():
            if self._lack(key) <= 0:
                return key
        return None

    def _candidates(self) -> Iterable[object]:
        """Return the answer and the body whose turn it is.

        Among answers, it is the one whose replica's answers hold the least, and there the first one, so
        that a faulty replica does not hold up the others. No smaller answer overtakes it, as it might
        wait without end. Among bodies, it is the smallest, so that large ones hold up no ordinary
        requests; large ones wait until some yield.
        """
        answers = [key for key, ask in self.asks.items() if not _is_body(ask.purpose)]
        if answers:
            held = Counter()
            for holding in self.holdings.values():
                held[holding.origin] += holding.size
            yield min(answers, key=lambda key: held[self.asks[key].origin])
        bodies = [key for key, ask in self.asks.items() if _is_body(ask.purpose)]
        if bodies:
            yield min(bodies, key=lambda key: self.asks[key].size)

    def _lack(self, key: object) -> int:
        """Return the bytes that are missing for an ask; none if it can be granted."""
        ask = self.asks[key]
        step = ask.size - self._size(key)
        lack = self.held_bytes + step - self.limit
        bodies = self._held[Arriving] + self._held[Kept]
        if _is_body(ask.purpose):
            return max(lack, bodies + step - self._most(ask.purpose))
        left = self.limit - self._most(Kept())
        if ask.size > left and self.held_bytes == bodies:
            # It might wait for the body of its own request.
            return min(lack, 0)
        return lack

    def _most(self, purpose: Purpose) -> int:
        return int(BODY_SHARE * self.limit) if _is_body(purpose) else self.limit

    def _size(self, key: object) -> int:
        holding = self.holdings.get(key)
        return holding.size if holding is not None else 0

    def _set(self, key: object, holding: Holding | None) -> None:
        old = self.holdings.pop(key, None)
        if old is not None:
            self._held[type(old.purpose)] -= old.size
        if holding is not None:
            self.holdings[key] = holding
            self._held[type(holding.purpose)] += holding.size


def _is_body(purpose: Purpose) -> bool:
    return isinstance(purpose, Arriving | Kept)
