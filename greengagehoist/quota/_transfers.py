"""Sizes of transfers between daemons and the choice of peers to ask."""

from collections.abc import Hashable, Iterable, Mapping


def size_transfer(balance: int, needed: int, peers: int) -> int:
    """Return the amount that a daemon gives up for a peer that needs ``needed``.

    :param peers: number of peers of the giver.
    """
    return max(0, min(balance, max(needed, balance // (2 * max(1, peers)))))


def order_peers(
    peers: Mapping[str, str], data_centre: str, rotation: int, passed_over: Iterable[str]
) -> list[str]:
    """Return the peers to ask, those in the own data centre first.

    :param peers: data centre of each peer.
    :param rotation: rotates each group, so that requests ask different peers first.
    :param passed_over: peers that were asked or had nothing a moment ago.
    """
    skipped = set(passed_over)
    names = sorted(peer for peer in peers if peer not in skipped)
    groups = ([], [])
    for peer in names:
        groups[peers[peer] != data_centre].append(peer)
    return [peer for group in groups for peer in _rotate(group, rotation)]


def _rotate(items: list[str], by: int) -> list[str]:
    cut = by % len(items) if items else 0
    return items[cut:] + items[:cut]


class NoStock:
    """Remembers for a short time which peers had nothing of a kind."""

    def __init__(self):
        self._until: dict[tuple[str, Hashable], float] = {}

    def note(self, peer: str, kind: Hashable, until: float) -> None:
        """Remember that ``peer`` had nothing until the monotonic time ``until``."""
        self._until[peer, kind] = until

    def passed_over(self, kind: Hashable, mono: float, peers: Iterable[str]) -> set[str]:
        """Return the peers that are known to have nothing."""
        return {peer for peer in peers if self._until.get((peer, kind), 0.0) > mono}

    def forget(self, mono: float) -> None:
        """Drop notes that have run out."""
        self._until = {key: until for key, until in self._until.items() if until > mono}
