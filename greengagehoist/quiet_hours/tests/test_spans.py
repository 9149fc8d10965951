"""Guards against quiet hours that are shortened or shifted, especially at clock changes."""

import functools
import itertools
from datetime import UTC, date, datetime, time, timedelta
from fractions import Fraction
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.config import QuietHours, QuietLimits, QuietSpan
from greengagehoist.quiet_hours import CLOCK_MARGIN_S, quiet_windows, resolve_spans
from greengagehoist.standins._profiles import property_settings

LIMITS = QuietLimits(10, 100, 1)
ALL = tuple(range(7))
MINUTES = 1440 * 369
SPANS = {
    "past_midnight": (QuietSpan(ALL, time(22, 15), time(6, 0)),),
    "inside_changes": (QuietSpan((6,), time(3, 20), time(3, 40)),),
    "end_in_change": (QuietSpan(ALL, time(1, 0), time(3, 30)),),
    "start_in_change": (QuietSpan(ALL, time(3, 30), time(5, 10)),),
    "overlapping": (QuietSpan(ALL, time(20, 0), time(2, 0)), QuietSpan((1, 6), time(1), time(9))),
}

CLOCK_TIMES = st.builds(time, st.integers(0, 23), st.integers(0, 59))
GENERATED_SPANS = st.builds(
    lambda days, start, end: QuietSpan(tuple(sorted(days)), start, end),
    st.sets(st.sampled_from(ALL), min_size=1),
    CLOCK_TIMES,
    CLOCK_TIMES,
)


@functools.lru_cache
def wall_times_of_2026(timezone: str) -> tuple[dict[datetime, int], dict[datetime, int]]:
    """Return the first and the last minute at which each wall time occurs."""
    start, zone, step = datetime(2025, 12, 30, tzinfo=UTC), ZoneInfo(timezone), timedelta(minutes=1)
    first: dict[datetime, int] = {}
    last: dict[datetime, int] = {}
    for index in range(MINUTES):
        wall = (start + index * step).astimezone(zone).replace(tzinfo=None)
        first.setdefault(wall, index)
        last[wall] = index
    return first, last


def oracle(quiet: QuietHours) -> bytearray:
    """Return one byte per minute, 1 if the minute is quiet.

    A span starts at the first occurrence of its start and ends at the last occurrence of its end.
    """
    first, last = wall_times_of_2026(quiet.timezone)
    marked = bytearray(MINUTES)
    for number in range(368):
        day = date(2025, 12, 30) + timedelta(days=number)
        for span in quiet.spans:
            if day.weekday() not in span.days:
                continue
            begin = datetime.combine(day, span.start)
            end = datetime.combine(day, span.end) + timedelta(days=int(span.end <= span.start))
            while begin not in first and begin.year < 2028:
                begin += timedelta(minutes=1)
            # A time that a clock change skips is replaced by the end of the gap.
            while end not in last and end.year < 2028:
                end += timedelta(minutes=1)
            start, stop = first.get(begin, MINUTES), last.get(end, MINUTES)
            marked[start:stop] = b"\1" * max(0, stop - start)
    return marked


def check_year(quiet: QuietHours) -> None:
    """Compare the resolved spans with the oracle for each minute of 2026."""
    expected = oracle(quiet)
    base = int(datetime(2025, 12, 30, tzinfo=UTC).timestamp())
    found = bytearray(len(expected))
    for start, end in resolve_spans(quiet, date(2025, 12, 29), date(2027, 1, 4)):
        for index in range(max(0, start - base) // 60, min((end - base) // 60, len(found))):
            found[index] = 1
    inner = slice(2 * 1440, 367 * 1440)
    assert found[inner] == expected[inner]


@pytest.mark.parametrize("timezone", ["Europe/Sofia", "Asia/Tokyo"])
@pytest.mark.parametrize("spans", SPANS)
def test_every_minute_of_a_year_agrees_with_the_oracle(timezone, spans):
    check_year(QuietHours(timezone, SPANS[spans], LIMITS))


@property_settings(10)
@given(
    timezone=st.sampled_from(["Europe/Sofia", "Asia/Tokyo"]),
    spans=st.lists(GENERATED_SPANS, min_size=1, max_size=3).map(tuple),
)
def test_every_minute_of_a_year_agrees_for_generated_spans(timezone, spans):
    check_year(QuietHours(timezone, spans, LIMITS))


@pytest.mark.parametrize("timezone", ["Europe/Sofia", "Asia/Tokyo"])
def test_every_minute_is_in_a_window_exactly_when_it_is_quiet(timezone):
    quiet = QuietHours(timezone, SPANS["past_midnight"], LIMITS)
    expected = oracle(quiet)
    base = int(datetime(2025, 12, 30, tzinfo=UTC).timestamp())
    for index in range(2 * 1440, 367 * 1440):
        middle = base + index * 60 + 30
        windows = quiet_windows(quiet, middle, middle)
        assert len(windows) == expected[index]


def test_windows_count_from_the_start_and_the_last_one_is_shorter():
    quiet = QuietHours("Asia/Tokyo", (QuietSpan(ALL, time(22), time(0, 30)),), LIMITS)
    start = int(datetime(2026, 5, 1, 13, tzinfo=UTC).timestamp())
    windows = quiet_windows(quiet, start, start + 9000)
    assert [(w.start - start, w.end - start) for w in windows] == [
        (0, 3600),
        (3600, 7200),
        (7200, 9000),
    ]
    assert [w.share for w in windows] == [1, 1, Fraction(1, 2)]


def test_clock_margin_widens_both_ends_and_charges_both_hours_at_a_boundary():
    quiet = QuietHours("Asia/Tokyo", (QuietSpan(ALL, time(22), time(0)),), LIMITS)
    start = int(datetime(2026, 5, 1, 13, tzinfo=UTC).timestamp())
    for instant, count in (
        (start - 2 * CLOCK_MARGIN_S, 0),
        (start - CLOCK_MARGIN_S, 1),
        (start + 3600 - CLOCK_MARGIN_S, 2),
        (start + 7200 + CLOCK_MARGIN_S, 1),
        (start + 7200 + 2 * CLOCK_MARGIN_S, 0),
    ):
        assert len(quiet_windows(quiet, instant, instant)) == count


def test_windows_of_an_endless_span_do_not_depend_on_the_query_time():
    quiet = QuietHours("Europe/Sofia", (QuietSpan(ALL, time(7, 20), time(7, 20)),), LIMITS)
    base = int(datetime(2026, 10, 1, tzinfo=UTC).timestamp())
    queried = range(base, base + 40 * 86400, 600)
    starts = {window.start for at in queried for window in quiet_windows(quiet, at, at)}
    ordered = sorted(starts)
    assert all(b - a == 3600 for a, b in itertools.pairwise(ordered))
