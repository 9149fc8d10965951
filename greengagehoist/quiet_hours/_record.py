"""Hash-chained record of the draws in quiet hours, and its verification."""

import hashlib
import itertools
from collections.abc import Iterable
from typing import NamedTuple


class Entry(NamedTuple):
    """Amounts that one customer drew in one quiet hour.

    :param window: start of the quiet hour, seconds since the Unix epoch.
    :param tokens: reserved tokens minus returned ones; negative if more were returned.
    """

    customer: str
    window: int
    requests: int
    tokens: int


class Segment(NamedTuple):
    """A part of the record of one daemon for one UTC date.

    :param n: number within the date, from 0.
    :param prev: digest of the daemon's previous segment; empty for its first one.
    :param written: seconds since the Unix epoch.
    :param closed: True if the daemon wrote this segment when it stopped.
    :param digest: SHA-256 over the other fields.
    """

    date: str
    vm: str
    incarnation: int
    n: int
    prev: str
    written: float
    closed: bool
    entries: tuple[Entry, ...]
    digest: str = ""


class ChainReport(NamedTuple):
    """Result of the verification of one daemon's segments of one date.

    :param count: number of segments that were found.
    :param gaps: numbers of the missing segments.
    :param altered: numbers of the segments whose digest does not match their content.
    :param broken: numbers of the segments that repeat a number or whose ``prev`` is not the digest
        of the segment before.
    :param reordered: True if the segments were not in the order of their numbers.
    :param closed: True if the last segment was written when the daemon stopped; otherwise draws
        after ``last_written`` may be missing.
    """

    date: str
    vm: str
    incarnation: int
    count: int
    gaps: tuple[int, ...]
    altered: tuple[int, ...]
    broken: tuple[int, ...]
    reordered: bool
    closed: bool
    last_written: float

    @property
    def intact(self) -> bool:
        """Whether no segment up to ``last_written`` is missing, altered or reordered."""
        return not (self.gaps or self.altered or self.broken or self.reordered)


def seal_segment(segment: Segment) -> Segment:
    """Return the segment with its digest filled in."""
    return segment._replace(digest=_digest(segment))


def _digest(segment: Segment) -> str:
    fields = repr((*segment[:-2], tuple(tuple(entry) for entry in segment.entries)))
    return hashlib.sha256(fields.encode()).hexdigest()


def verify_record(segments: Iterable[Segment]) -> tuple[ChainReport, ...]:
    """Verify segments of any number of daemons and dates, given in their stored order.

    :returns: one report per date, VM and incarnation.
    """
    chains: dict[tuple[str, str, int], list[Segment]] = {}
    for segment in segments:
        chains.setdefault((segment.date, segment.vm, segment.incarnation), []).append(segment)
    return tuple(_verify_chain(chain) for _, chain in sorted(chains.items()))


def _verify_chain(chain: list[Segment]) -> ChainReport:
    ordered = sorted(chain, key=lambda item: item.n)
    ordered_numbers = [segment.n for segment in ordered]
    altered = tuple(segment.n for segment in ordered if segment.digest != _digest(segment))
    broken = tuple(
        after.n
        for before, after in itertools.pairwise(ordered)
        if after.n == before.n or (after.n == before.n + 1 and after.prev != before.digest)
    )
    last = ordered[-1]
    return ChainReport(
        last.date,
        last.vm,
        last.incarnation,
        len(chain),
        tuple(sorted(set(range(last.n + 1)) - set(ordered_numbers))),
        altered,
        broken,
        [segment.n for segment in chain] != ordered_numbers,
        last.closed,
        last.written,
    )


def sum_entries(segments: Iterable[Segment]) -> tuple[Entry, ...]:
    """Sum the draws per customer and quiet hour, sorted by both."""
    sums: dict[tuple[str, int], tuple[int, int]] = {}
    for segment in segments:
        for customer, window, requests, tokens in segment.entries:
            before = sums.get((customer, window), (0, 0))
            sums[customer, window] = (before[0] + requests, before[1] + tokens)
    return tuple(Entry(*key, *amounts) for key, amounts in sorted(sums.items()))
