"""Messages about the requests of daemons at replicas."""

from typing import NamedTuple


class LoadReport(NamedTuple):
    """The requests of a daemon at replicas, for the hub of its data centre or for all others.

    :param seq: rises with each report of a process.
    :param wants_all: whether the sender needs all sums, not only those that change.
    :param replicas: all replicas that have requests of the sender.
    :param counts: for each of them, requests and prompt tokens without a first event, running
        requests, and tokens in memory.
    :param answered: replicas whose answers told their speed since the last report.
    :param slowdowns: for each answer, its time in thousandths of the usual time.
    :param copied_parts: keys of shared parts that requests have taken away from their homes.
    :param copied_to: for each of them, the replica that has read it.
    """

    seq: int
    wants_all: bool
    replicas: tuple[str, ...]
    counts: tuple[tuple[int, ...], ...]
    answered: tuple[str, ...]
    slowdowns: tuple[int, ...]
    copied_parts: tuple[int, ...] = ()
    copied_to: tuple[str, ...] = ()


class LoadSums(NamedTuple):
    """What the daemons of one data centre know of replicas, from its hub to that of another one.

    :param seq: rises with each message of a process.
    :param is_whole: whether replicas that are not named have no figures; they are unchanged otherwise.
    :param figures: for each replica, the counts of :class:`LoadReport`, the learnt slowdown in
        thousandths, and the number of answers that it counts for.
    :param copied_parts: as in :class:`LoadReport`, since the last message.
    :param copied_to: likewise.
    """

    seq: int
    is_whole: bool
    replicas: tuple[str, ...]
    figures: tuple[tuple[int, ...], ...]
    copied_parts: tuple[int, ...] = ()
    copied_to: tuple[str, ...] = ()


class LoadUpdate(NamedTuple):
    """What all daemons know of replicas, from a hub to the daemons of its data centre.

    The fields are those of :class:`LoadSums`.
    """

    seq: int
    is_whole: bool
    replicas: tuple[str, ...]
    figures: tuple[tuple[int, ...], ...]
    copied_parts: tuple[int, ...] = ()
    copied_to: tuple[str, ...] = ()
