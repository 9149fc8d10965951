"""Sums of one data centre at its hub, or of all other daemons where there are no hubs."""

import math
from collections.abc import Collection, Mapping

from greengagehoist.gateway.controllers._load_figures import (
    Figures,
    decode_all,
    encode_figures,
    round_for_far,
)
from greengagehoist.peers import LoadReport, LoadSums, LoadUpdate
from greengagehoist.replicas import (
    NO_FIGURES,
    REFRESH_S,
    REPORT_MAX_AGE_S,
    LearntSpeeds,
    LoadTally,
    PartCopy,
    Replica,
    ReplicaCounts,
    ReplicaFigures,
    Source,
    merge_figures,
)

THOUSANDTHS = 1000
# A daemon without reports for this long gets no updates until it reports again.
FOLLOW_S = 10.0
# Answers that a report may tell of.
MAX_ANSWERS = 256
# Copies of prompt parts that one message may tell of.
MAX_COPIES = 64
# Without changes, a message that nothing has changed is sent at most this often.
MIN_SILENCE_S = 0.9 * REFRESH_S


class LoadHub:
    """Merges reports and says what is news to daemons and to the other data centres.

    :param own: this process.
    """

    def __init__(self, own: Source):
        self.own = own
        self.learnt = LearntSpeeds()
        self.own_counts: dict[str, ReplicaCounts] = {}
        self._reports = LoadTally()
        self._far = LoadTally()
        self._followers: dict[str, float] = {}
        self._told: set[str] = set()
        self._far_told: set[str] = set()
        self._copies: list[PartCopy] = []
        self._far_copies: list[PartCopy] = []
        self._sent: dict[str, Figures] = {}
        self._far_sent: dict[str, Figures] = {}
        self._sent_at = self._far_sent_at = -math.inf
        self._seq = 0

    def apply_report(
        self, source: Source, report: LoadReport, listed: Mapping[str, Replica], now: float
    ) -> None:
        """Apply the report of a daemon.

        :param listed: the known replicas.
        :raises ValueError: if it is malformed.
        """
        self._reports.apply(source, report.seq, decode_all(report.replicas, report.counts), now)
        answers = zip(report.answered[:MAX_ANSWERS], report.slowdowns, strict=False)
        for replica_id, slowdown in answers:
            if replica_id in listed:
                service = listed[replica_id].service
                self.learnt.observe(replica_id, service, slowdown / THOUSANDTHS)
        if report.wants_all:
            self._told.discard(source.name)
        self._followers[source.name] = now

    def apply_sums(self, zone: str, source: Source, message: LoadSums, now: float) -> None:
        """Apply the sums of another data centre.

        :raises ValueError: if they are malformed.
        """
        figures = decode_all(message.replicas, message.figures)
        source = source._replace(name=zone)
        self._far.apply(source, message.seq, figures, now, message.is_whole)

    def add_copies(self, copies: tuple[PartCopy, ...], is_far: bool) -> None:
        """Pass copies of prompt parts on.

        :param is_far: whether another data centre has told them, which has told all others itself.
        """
        self._copies = [*self._copies, *copies][-MAX_COPIES:]
        if not is_far:
            self._far_copies = [*self._far_copies, *copies][-MAX_COPIES:]

    def forget(self, vm: str) -> None:
        """Forget a daemon that is lost."""
        self._reports.forget(vm)
        self._followers.pop(vm, None)
        self.forget_link(vm)

    def forget_link(self, vm: str) -> None:
        """Note that what was sent to a daemon may be lost."""
        self._told.discard(vm)
        self._far_told.discard(vm)

    def others(self) -> dict[str, ReplicaFigures]:
        """Return what is known of the requests of all other daemons."""
        near, far = self._reports.sums(), self._far.sums()
        keys = near.keys() | far.keys() | self.learnt.known()
        return {
            key: merge_figures(
                [
                    near.get(key, NO_FIGURES),
                    far.get(key, NO_FIGURES),
                    ReplicaFigures(slowdown=self.learnt.learnt(key)),
                ]
            )
            for key in keys
        }

    def expire(self, listed: Collection[str], now: float) -> None:
        """Forget daemons and data centres that have not reported for long, and unlisted replicas."""
        self.learnt.keep(listed)
        self._reports.expire(now)
        self._far.expire(now)
        self._followers = {vm: at for vm, at in self._followers.items() if now - at <= FOLLOW_S}
        self._told &= self._followers.keys()

    def followers(self) -> frozenset[str]:
        """Return the daemons that report."""
        return frozenset(self._followers)

    def has_near_counts(self) -> bool:
        """Return whether a daemon of this data centre has requests at replicas."""
        return bool(self.own_counts or self._reports.has_figures())

    def has_counts(self) -> bool:
        """Return whether any daemon has requests at replicas."""
        return self.has_near_counts() or self._far.has_figures()

    def next_updates(
        self, others: dict[str, ReplicaFigures], now: float
    ) -> list[tuple[tuple[str, ...], LoadUpdate]]:
        """Return the updates for daemons and their receivers.

        :param others: what :meth:`others` has returned.
        """
        keys = others.keys() | self.own_counts.keys()
        totals = {
            key: encode_figures(
                merge_figures(
                    [
                        others.get(key, NO_FIGURES),
                        ReplicaFigures(self.own_counts.get(key, ReplicaCounts())),
                    ]
                )
            )
            for key in keys
        }
        changes = _changes(self._sent, totals)
        self._sent = totals
        known = tuple(sorted(self._followers.keys() & self._told))
        new = tuple(sorted(self._followers.keys() - self._told))
        self._told |= self._followers.keys()
        self._seq += 1
        copies, self._copies = _pairs_to_columns(self._copies), []
        updates = []
        if known and (changes or copies[0] or now - self._sent_at > MIN_SILENCE_S):
            self._sent_at = now
            updates.append((known, LoadUpdate(self._seq, False, *_columns(changes), *copies)))
        if new:
            updates.append((new, LoadUpdate(self._seq, True, *_columns(totals), *copies)))
        return updates

    def next_sums(self, hubs: frozenset[str], now: float) -> list[tuple[tuple[str, ...], LoadSums]]:
        """Return the sums for the hubs of other data centres and their receivers."""
        near = self._reports.sums()
        keys = near.keys() | self.own_counts.keys() | self.learnt.known()
        totals = {}
        for key in keys:
            own = ReplicaFigures(self.own_counts.get(key, ReplicaCounts()), self.learnt.learnt(key))
            figures = encode_figures(round_for_far(merge_figures([near.get(key, NO_FIGURES), own])))
            if figures:
                totals[key] = figures
        changes = _changes(self._far_sent, totals)
        self._far_sent = totals
        if now - self._far_sent_at > REPORT_MAX_AGE_S:
            # The other hubs have forgotten this one, for example while it was frozen.
            self._far_told.clear()
        known, new = hubs & self._far_told, hubs - self._far_told
        self._far_told = set(hubs)
        self._seq += 1
        copies, self._far_copies = _pairs_to_columns(self._far_copies), []
        sums = []
        if known and (changes or copies[0] or now - self._far_sent_at > MIN_SILENCE_S):
            self._far_sent_at = now
            sums.append(
                (tuple(sorted(known)), LoadSums(self._seq, False, *_columns(changes), *copies))
            )
        if new:
            self._far_sent_at = now
            sums.append((tuple(sorted(new)), LoadSums(self._seq, True, *_columns(totals), *copies)))
        return sums


def _changes(before: dict[str, Figures], after: dict[str, Figures]) -> dict[str, Figures]:
    gone = {key: () for key, item in before.items() if item and key not in after}
    return gone | {key: item for key, item in after.items() if before.get(key) != item}


def _columns(figures: dict[str, Figures]) -> tuple[tuple[str, ...], tuple[Figures, ...]]:
    return tuple(figures), tuple(figures.values())


def _pairs_to_columns(copies: list[PartCopy]) -> tuple[tuple[int, ...], tuple[str, ...]]:
    return tuple(key for key, _ in copies), tuple(replica_id for _, replica_id in copies)
