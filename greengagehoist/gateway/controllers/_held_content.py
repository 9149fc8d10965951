"""Content that the platform held, as daemons pass it on to each other."""

from typing import NamedTuple


class HeldContent(NamedTuple):
    """Content that the platform held at a point in time.

    :param token: identifies the content and ends with its digest.
    :param at: time on the own clock, no later than the time at which the read was sent.
    :param content: encoded content; empty if it came from a hub that holds the token asked for.
    :param readers: VMs of the daemons that may be told, None for all.
    :param era: newest era of the platform's table that its holder knows of.
    :param proven_era: newest era of which its holder knows that the table lacks nothing that was
        written before the restore.
    :param table: token of the newest state of the platform's table that it reflects, empty if its
        topic has none.
    :param is_exact: whether the table shows exactly this content in that state.
    :param evacuations_era: newest era of which its holder knows that it lacks no evacuation that was
        written before the restore, -1 for none.
    :param answered_at: time of the hub's answer, None for what this daemon holds.
    """

    token: str
    at: float
    content: str = ""
    readers: frozenset[str] | None = None
    era: int = 0
    proven_era: int = 0
    table: str = ""
    is_exact: bool = False
    evacuations_era: int = -1
    answered_at: float | None = None

    def may_read(self, vm: str) -> bool:
        """Return whether the daemon of ``vm`` may be told."""
        return self.readers is None or vm in self.readers
