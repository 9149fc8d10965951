"""Sizes of transfers between daemons and the choice of peers to ask."""

from collections.abc import Hashable, Iterable, Mapping


def size_transfer(balance: int, needed: int, peers: int) -> int:
    """Return the amount that a daemon transfers to a peer that asks for ``needed``.

    The amount is at least ``balance // (2 * peers)``, and never more than the balance.

    :param peers: number of peers of the daemon.
    """
    return max(0, min(balance, max(needed, balance // (2 * max(1, peers)))))


def order_peers(
    peers: Mapping[str, str], data_centre: str, rotation: int, excluded: Iterable[str]
) -> list[str]:
    """Return the peers to ask, those in the daemon's own data centre first.

    :param peers: data centre of each peer.
    :param rotation: number of places to rotate each group by, so that successive requests start
        with different peers.
    :param excluded: peers that are not asked.
    """
    skipped = set(excluded)
    names = sorted(peer for peer in peers if peer not in skipped)
    groups = ([], [])
    for peer in names:
        groups[peers[peer] != data_centre].append(peer)
    return [peer for group in groups for peer in _rotate(group, rotation)]


def _rotate(items: list[str], by: int) -> list[str]:
    cut = by % len(items) if items else 0
    return items[cut:] + items[:cut]


class NegativeCache:
    """Caches for a short time which peers could not supply a resource."""

    def __init__(self):
        self._until: dict[tuple[str, Hashable], float] = {}

    def add(self, peer: str, kind: Hashable, until: float) -> None:
        """Exclude ``peer`` for ``kind`` until the monotonic time ``until``."""
        self._until[peer, kind] = until

    def excluded_peers(self, kind: Hashable, mono: float, peers: Iterable[str]) -> set[str]:
        """Return the peers that recently could not supply ``kind``."""
        return {peer for peer in peers if self._until.get((peer, kind), 0.0) > mono}

    def expire(self, mono: float) -> None:
        """Drop the expired entries."""
        self._until = {key: until for key, until in self._until.items() if until > mono}
