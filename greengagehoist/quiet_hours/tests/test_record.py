"""Guards against changes to the record of quiet hours that its verification does not detect."""

import pytest

from greengagehoist.quiet_hours import Entry, Segment, seal_segment, sum_entries, verify_record


@pytest.fixture
def segments():
    found, prev = [], ""
    for n in range(5):
        entries = (Entry("depot", 3600, 1, 10), Entry("clerks", 3600, 2, 5 * n))
        segment = Segment("2026-05-01", "entry-1", 3, n, prev, 10.0 * n, n == 4, entries)
        found.append(seal_segment(segment))
        prev = found[-1].digest
    return found


def test_intact_record(segments):
    (report,) = verify_record(segments)
    assert report.intact and report.closed and report.count == 5
    assert sum_entries(segments) == (Entry("clerks", 3600, 10, 50), Entry("depot", 3600, 5, 50))


@pytest.mark.parametrize("number", range(4))
def test_missing_segment_is_a_gap(segments, number):
    del segments[number]
    assert verify_record(segments)[0].gaps == (number,)


@pytest.mark.parametrize("number", range(5))
def test_altered_segment_is_detected(segments, number):
    segments[number] = segments[number]._replace(entries=(Entry("depot", 3600, 0, 0),))
    assert verify_record(segments)[0].altered == (number,)


@pytest.mark.parametrize("number", range(4))
def test_altered_and_resealed_segment_breaks_the_chain(segments, number):
    segments[number] = seal_segment(segments[number]._replace(entries=()))
    assert verify_record(segments)[0].broken == (number + 1,)


def test_reordered_and_truncated_records_are_reported(segments):
    segments[1], segments[2] = segments[2], segments[1]
    assert verify_record(segments)[0].reordered
    assert not verify_record(segments[:3])[0].closed
