"""Choice of the replica to drain."""

from collections.abc import Sequence
from typing import NamedTuple


class Replica(NamedTuple):
    """A replica that may be drained.

    :param price: cost of a busy second relative to the other replicas.
    :param cached: blocks of prompt prefixes that it holds.
    """

    name: str
    data_centre: str
    in_flight: int
    price: float = 1.0
    cached: int = 0


def choose_drain(replicas: Sequence[Replica]) -> str | None:
    """Return the replica whose loss costs least, or None if there are none.

    The last replica of a data centre is kept as long as another data centre has several. Dear
    replicas go first, then those with less in flight, then those with fewer cached blocks.
    """
    counts: dict[str, int] = {}
    for replica in replicas:
        counts[replica.data_centre] = counts.get(replica.data_centre, 0) + 1

    def loss(replica: Replica) -> tuple:
        last = counts[replica.data_centre] == 1
        return last, -replica.price, replica.in_flight, replica.cached, replica.name

    found = min(replicas, key=loss, default=None)
    return None if found is None else found.name
