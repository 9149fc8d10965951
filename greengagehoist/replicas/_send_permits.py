"""Permits for sends to a replica with a limit, granted by the one daemon that owns the limit."""

import math
from bisect import insort
from dataclasses import dataclass
from typing import NamedTuple

from greengagehoist.base import Bucket, change_rate, try_acquire

# A replica that wants no requests gets one now and then, because only an answer can end its limit.
MIN_RATE_PER_S = 0.1


class PermitAsk(NamedTuple):
    """A send that needs a permit; the fields are in the order in which permits are granted.

    :param rank: 0 is the most urgent.
    :param order: number of the ask at the owner.
    :param vm: daemon that asks, empty for the owner itself.
    :param number: identifies the ask at that daemon.
    :param expires_at: time after which the permit is of no use.
    """

    rank: int
    order: int
    vm: str
    number: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The permit follows."""


@dataclass(frozen=True, slots=True)
class Refused:
    """There is no room in time.

    :param retry_after_s: seconds until there may be.
    """

    retry_after_s: float


Decision = Granted | Queued | Refused


class PermitQueue:
    """Permits for one incarnation of a replica.

    A new queue grants its first permit after the time that one request takes at the limit, since
    another daemon may just have granted some.

    :param rate: permits a second.
    :param burst: most permits at once, None for those of a second.
    """

    def __init__(self, rate: float, now: float, burst: float | None = None):
        self._bucket = Bucket(rate, 0.0, now, burst)
        self._waiting: list[PermitAsk] = []
        self._last_order = 0

    def set_rate(self, rate: float, now: float, burst: float | None = None) -> None:
        """Change the permits a second, and the most at once."""
        if (rate, burst) != (self._bucket.rate, self._bucket.burst):
            changed = change_rate(self._bucket, rate, now)._replace(burst=burst)
            # Tokens above the new burst are discarded.
            self._bucket = change_rate(changed, rate, now)

    def ask(self, rank: int, vm: str, number: int, max_wait_s: float, now: float) -> Decision:
        """Decide about a send; the caller applies :meth:`grant_due` first.

        :param max_wait_s: seconds after which the permit is of no use, 0 to ask for one now.
        """
        self._last_order += 1
        ask = PermitAsk(rank, self._last_order, vm, number, now + max_wait_s)
        ahead = sum(1 for item in self._waiting if item < ask)
        if not self._waiting:
            self._bucket, wait_s = try_acquire(self._bucket, now)
            if not wait_s:
                return Granted()
        wait_s = self._wait_s(ahead, now)
        if wait_s > max_wait_s:
            return Refused(wait_s)
        insort(self._waiting, ask)
        return Queued()

    def _wait_s(self, ahead: int, now: float) -> float:
        missing = ahead + 1 - self._tokens(now)
        return max(0.0, missing / self._bucket.rate)

    def _tokens(self, now: float) -> float:
        return change_rate(self._bucket, self._bucket.rate, now).tokens

    def grant_due(self, now: float) -> list[PermitAsk]:
        """Return the waiting sends that may go now, and forget those that have waited too long."""
        self._waiting = [item for item in self._waiting if item.expires_at >= now]
        granted = []
        while self._waiting:
            self._bucket, wait_s = try_acquire(self._bucket, now)
            if wait_s:
                break
            granted.append(self._waiting.pop(0))
        return granted

    def grant_all(self) -> list[PermitAsk]:
        """Return all waiting sends, because the limit has ended."""
        granted, self._waiting = self._waiting, []
        return granted

    def next_at(self, now: float) -> float:
        """Return the time of the next permit for a waiting send, ``inf`` if none waits."""
        return now + self._wait_s(0, now) if self._waiting else math.inf

    def waiting_vms(self) -> set[str]:
        """Return the daemons whose sends wait, an empty name for the owner itself."""
        return {item.vm for item in self._waiting}

    def drop(self, vm: str, number: int | None = None) -> None:
        """Forget the waiting sends of a daemon, or one of them."""
        self._waiting = [
            item
            for item in self._waiting
            if item.vm != vm or (number is not None and item.number != number)
        ]
