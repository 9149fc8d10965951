"""Resolution of quiet spans to instants and hourly windows."""

import functools
import itertools
from datetime import UTC, date, datetime, timedelta
from fractions import Fraction
from typing import NamedTuple
from zoneinfo import ZoneInfo

from greengagehoist.config import QuietHours

# Largest supported clock error of a daemon.
CLOCK_MARGIN_S = 0.25
HOUR_S = 3600
DAY_S = 86_400
# If the spans leave a gap in the nominal week, merged spans end at least once in two weeks: the
# repeated hour of a clock change can close the gap of one week.
LOOKBACK_DAYS = 16
WEEK_MINUTES = 7 * 24 * 60


class QuietWindow(NamedTuple):
    """One hour of a quiet span, without the clock margin.

    :param start: seconds since the Unix epoch.
    :param end: seconds since the Unix epoch, at most one hour after the start.
    :param share: share of the hourly limit; below 1 if the last window is shorter than an hour.
    """

    start: int
    end: int
    share: Fraction


def resolve_local(zone: ZoneInfo, local: datetime, *, second: bool) -> int:
    """Return the instant of a local time, in seconds since the Unix epoch.

    A time that a clock change skips resolves to the end of the gap.

    :param second: resolve a repeated time to its second occurrence instead of its first.
    """
    aware = local.replace(tzinfo=zone, fold=int(second))
    instant = int(aware.timestamp())
    if datetime.fromtimestamp(instant, zone).replace(tzinfo=None) == local:
        return instant
    low = int(local.replace(tzinfo=zone, fold=1).timestamp())
    high = int(local.replace(tzinfo=zone, fold=0).timestamp())
    before = datetime.fromtimestamp(low, zone).utcoffset()
    while high - low > 1:
        middle = (low + high) // 2
        if datetime.fromtimestamp(middle, zone).utcoffset() == before:
            low = middle
        else:
            high = middle
    return high


def resolve_spans(quiet: QuietHours, first: date, last: date) -> tuple[tuple[int, int], ...]:
    """Return the merged spans that start on the local dates from ``first`` to ``last``."""
    zone = ZoneInfo(quiet.timezone)
    resolved = []
    for number in range((last - first).days + 1):
        day = first + timedelta(days=number)
        for span in quiet.spans:
            if day.weekday() not in span.days:
                continue
            following = day + timedelta(days=1) if span.end <= span.start else day
            start = resolve_local(zone, datetime.combine(day, span.start), second=False)
            end = resolve_local(zone, datetime.combine(following, span.end), second=True)
            if start < end:
                resolved.append((start, end))
    merged: list[tuple[int, int]] = []
    for start, end in sorted(resolved):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        else:
            merged.append((start, end))
    return tuple(merged)


def quiet_windows(quiet: QuietHours | None, start: float, end: float) -> tuple[QuietWindow, ...]:
    """Return the quiet hours that intersect [start, end], widened by the clock margin.

    :param start: seconds since the Unix epoch.
    :param end: seconds since the Unix epoch.
    """
    if quiet is None:
        return ()
    low, high = start - CLOCK_MARGIN_S, end + CLOCK_MARGIN_S
    windows = []
    for day in range(int(low // DAY_S), int(high // DAY_S) + 1):
        for window in _windows_near(quiet, day):
            intersects = window.start <= high and window.end >= low
            if intersects and window not in windows:
                windows.append(window)
    return tuple(windows)


def scale_limit(limit: int, window: QuietWindow) -> int:
    """Return the part of the hourly ``limit`` that applies to a window, rounded down."""
    return limit * window.share.numerator // window.share.denominator


@functools.lru_cache(maxsize=4096)
def _windows_near(quiet: QuietHours, day: int) -> tuple[QuietWindow, ...]:
    """Return the windows that intersect a UTC day or the hour before or after it."""
    low, high = day * DAY_S - HOUR_S, (day + 1) * DAY_S + HOUR_S
    utc_date = datetime.fromtimestamp(day * DAY_S, UTC).date()
    first, last = utc_date - timedelta(days=LOOKBACK_DAYS), utc_date + timedelta(days=2)
    spans = resolve_spans(quiet, first, last)
    if _covers_week(quiet):
        spans = _split_weekly(quiet, spans, first, last)
    windows = []
    for start, end in spans:
        if start > high or end < low:
            continue
        number = max(0, (low - start) // HOUR_S - 1)
        while (begin := start + number * HOUR_S) < min(end, high + 1):
            stop = min(begin + HOUR_S, end)
            if stop >= low:
                windows.append(QuietWindow(begin, stop, Fraction(stop - begin, HOUR_S)))
            number += 1
    return tuple(windows)


@functools.lru_cache(maxsize=1024)
def _covers_week(quiet: QuietHours) -> bool:
    """Return whether the spans cover every minute of the nominal week."""
    covered = bytearray(WEEK_MINUTES)
    for span in quiet.spans:
        for day in span.days:
            start = day * 1440 + span.start.hour * 60 + span.start.minute
            length = (span.end.hour - span.start.hour) * 60 + span.end.minute - span.start.minute
            length += 1440 if span.end <= span.start else 0
            for minute in range(start, start + length):
                covered[minute % WEEK_MINUTES] = 1
    return all(covered)


def _split_weekly(
    quiet: QuietHours, spans: tuple[tuple[int, int], ...], first: date, last: date
) -> tuple[tuple[int, int], ...]:
    """Split spans at each local Monday, so that windows of an endless span have fixed starts."""
    zone = ZoneInfo(quiet.timezone)
    days = [first + timedelta(days=number) for number in range((last - first).days + 1)]
    cuts = [
        resolve_local(zone, datetime(day.year, day.month, day.day), second=False)
        for day in days
        if day.weekday() == 0
    ]
    pieces = []
    for start, end in spans:
        edges = [start, *(cut for cut in cuts if start < cut < end), end]
        pieces.extend(itertools.pairwise(edges))
    return tuple(pieces)
