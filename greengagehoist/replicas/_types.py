"""Replicas as the platform's list shows them."""

from typing import NamedTuple


class Replica(NamedTuple):
    """One incarnation of a replica.

    :param born_ms: start of the incarnation in Unix milliseconds, 0 if unknown.
    :param leaving: whether it must get no new requests.
    :param models: names of the models it serves; empty for services that are no engines.
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

    @property
    def address(self) -> str:
        """``ip:port`` of the replica."""
        return f"{self.host}:{self.port}"


class Load(NamedTuple):
    """Load that a replica reports with an answer."""

    running: int
    waiting: int
    slots: int
