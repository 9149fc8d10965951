"""Replicas, as the platform lists them, their load and their limits."""

from dataclasses import dataclass
from typing import NamedTuple


class Replica(NamedTuple):
    """One incarnation of a replica.

    :param born_ms: start of the incarnation in Unix milliseconds, 0 if unknown.
    :param leaving: whether the replica is shutting down and must get no new requests.
    :param models: names of the models it serves; empty for services other than engines.
    :param cold_s: seconds for which it takes few requests, by its entry in the list, 0 if it states
        that it is warm, None if it states nothing.
    :param cold_row: version of the row that states the cold period, 0 without one.
    """

    replica_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    born_ms: int
    leaving: bool
    models: tuple[str, ...] = ()
    cold_s: float | None = None
    cold_row: int = 0

    @property
    def address(self) -> str:
        """``ip:port`` of the replica."""
        return f"{self.host}:{self.port}"


class Load(NamedTuple):
    """Load that a replica reports with an answer.

    :param slowdown: how long its work takes now relative to the usual time; 1.0 if it does not say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class Unlimited:
    """An answer names no limit on requests."""


@dataclass(frozen=True, slots=True)
class Limited:
    """An answer names the requests a second that its replica takes from all daemons together."""

    per_s: float


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """An answer names a limit that is no decimal number, so it says nothing.

    :param text: beginning of the value.
    """

    text: str


SendLimit = Unlimited | Limited | UnreadableLimit
