"""Sums of the requests that daemons have at replicas, merged from their reports."""

from typing import NamedTuple

from greengagehoist.replicas._expected_time import NO_REQUESTS, ReplicaCounts, add_counts
from greengagehoist.replicas._learnt_speed import LearntSlowdown

# A daemon with requests reports at least this often. Its sends are forgotten when three reports are
# missing.
REFRESH_S = 1.0
REPORT_MAX_AGE_S = 3.2
# The view that a hub has sent is not used any longer than this.
VIEW_MAX_AGE_S = 2.0


class ReplicaFigures(NamedTuple):
    """What several daemons together know of a replica.

    :param counts: their requests there.
    :param slowdown: what they have learnt of its speed.
    """

    counts: ReplicaCounts = NO_REQUESTS
    slowdown: LearntSlowdown = LearntSlowdown()


NO_FIGURES = ReplicaFigures()


class LoadView(NamedTuple):
    """What this daemon knows of the requests of all others.

    :param replicas: figures by replica id.
    :param at: time of the newest message that it follows from, on the boot clock.
    """

    replicas: dict[str, ReplicaFigures] = {}
    at: float = float("-inf")

    def age_s(self, now: float) -> float:
        """Return the age of the view in seconds, -1 if there is none."""
        return now - self.at if self.at > float("-inf") else -1.0

    def figures(self, replica_id: str, now: float) -> ReplicaFigures:
        """Return what is known of a replica, nothing if the view is too old."""
        return self.usable(now).get(replica_id, NO_FIGURES)

    def usable(self, now: float) -> dict[str, ReplicaFigures]:
        """Return the figures by replica id, none if the view is too old."""
        return self.replicas if now - self.at <= VIEW_MAX_AGE_S else {}


class Source(NamedTuple):
    """A process that reports figures.

    :param name: its VM, or its data centre if it reports the sums of one.
    :param incarnation: rises with each start of the process.
    """

    name: str
    vm: str
    incarnation: int


class _Report(NamedTuple):
    source: Source
    seq: int
    replicas: dict[str, ReplicaFigures]
    received_at: float


class LoadTally:
    """The newest report of each source and their sums.

    Reports state sums, not differences, so that a lost report costs nothing once another one arrives
    and reports may be repeated. Of one source the newest counts, by the start of its process and the
    number of the report.
    """

    def __init__(self):
        self._reports: dict[str, _Report] = {}

    def apply(
        self,
        source: Source,
        seq: int,
        replicas: dict[str, ReplicaFigures],
        now: float,
        is_whole: bool = True,
    ) -> frozenset[str]:
        """Apply a report; return the ids of the replicas whose sums may have changed.

        :param is_whole: whether replicas that the report does not name have no figures.
        """
        known = self._reports.get(source.name)
        if known is not None and known.source.vm == source.vm:
            newer = (source.incarnation, seq) > (known.source.incarnation, known.seq)
            if not newer:
                return frozenset()
        before = known.replicas if known is not None else {}
        continues = known is not None and known.source == source
        after = replicas if is_whole or not continues else {**before, **replicas}
        after = {key: item for key, item in after.items() if item != NO_FIGURES}
        self._reports[source.name] = _Report(source, seq, after, now)
        return _changed(before, after)

    def forget(self, name: str) -> frozenset[str]:
        """Forget a source that is lost; return the ids of the replicas that it reported."""
        report = self._reports.pop(name, None)
        return frozenset(report.replicas) if report is not None else frozenset()

    def expire(self, now: float) -> frozenset[str]:
        """Forget sources without a recent report; return the ids of their replicas."""
        old = [
            name
            for name, item in self._reports.items()
            if now - item.received_at > REPORT_MAX_AGE_S
        ]
        return frozenset().union(*(self.forget(name) for name in old))

    def names(self) -> frozenset[str]:
        """Return the names of the sources."""
        return frozenset(self._reports)

    def has_figures(self) -> bool:
        """Return whether any source has reported figures."""
        return any(item.replicas for item in self._reports.values())

    def sum_of(self, replica_id: str) -> ReplicaFigures:
        """Return the sum of all sources for a replica."""
        figures = (item.replicas.get(replica_id) for item in self._reports.values())
        return merge_figures([item for item in figures if item is not None])

    def sums(self) -> dict[str, ReplicaFigures]:
        """Return the sums of all sources by replica id."""
        found: dict[str, list[ReplicaFigures]] = {}
        for report in self._reports.values():
            for key, item in report.replicas.items():
                found.setdefault(key, []).append(item)
        return {key: merge_figures(items) for key, items in found.items()}


def merge_figures(figures: list[ReplicaFigures]) -> ReplicaFigures:
    """Return the sum of counts and the weighted mean of the learnt slowdown."""
    counts, weight, total = NO_REQUESTS, 0.0, 0.0
    for item in figures:
        counts = add_counts(counts, item.counts)
        weight += item.slowdown.weight
        total += item.slowdown.weight * item.slowdown.log
    return ReplicaFigures(counts, LearntSlowdown(total / weight if weight else 0.0, weight))


def _changed(before: dict[str, ReplicaFigures], after: dict[str, ReplicaFigures]) -> frozenset[str]:
    keys = before.keys() | after.keys()
    return frozenset(key for key in keys if before.get(key) != after.get(key))
