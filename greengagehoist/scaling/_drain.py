"""Selection of the replica to drain."""

from collections.abc import Sequence
from typing import NamedTuple


class Replica(NamedTuple):
    """A replica that may be drained.

    :param price: cost of a busy second, relative to the other replicas.
    :param cached: number of cached prompt blocks.
    """

    name: str
    data_centre: str
    in_flight: int
    price: float = 1.0
    cached: int = 0


def choose_drain(replicas: Sequence[Replica]) -> str | None:
    """Return the name of the replica to drain, or None if there are none.

    The last replica of a data centre is kept as long as another data centre has several. Expensive
    replicas are drained first, then those with fewer requests in flight, then those with fewer
    cached blocks.
    """
    counts: dict[str, int] = {}
    for replica in replicas:
        counts[replica.data_centre] = counts.get(replica.data_centre, 0) + 1

    def drain_order(replica: Replica) -> tuple:
        is_last = counts[replica.data_centre] == 1
        return is_last, -replica.price, replica.in_flight, replica.cached, replica.name

    chosen = min(replicas, key=drain_order, default=None)
    return None if chosen is None else chosen.name
