"""Replicas, as the platform lists them, and their load."""

from typing import NamedTuple


class Replica(NamedTuple):
    """One incarnation of a replica.

    :param born_ms: start of the incarnation in Unix milliseconds, 0 if unknown.
    :param leaving: whether the replica is shutting down and must get no new requests.
    :param models: names of the models it serves; empty for services other than engines.
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
