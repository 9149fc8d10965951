"""Tests that the prefix cache evicts blocks and that its events lag and have gaps.

With an unbounded cache or complete, immediate events the tests of the engine would not cover
missing and late cache events.
"""

from greengagehoist.routing import hash_prefix
from greengagehoist.standins._cache import PrefixCache

TEXT = "x" * 1024


def test_repeated_prefix_misses_only_the_new_blocks():
    cache = PrefixCache(100)
    blocks = len(hash_prefix(TEXT))
    assert cache.use(TEXT, 0.0) == blocks > 0
    assert cache.use(TEXT + "y" * 1024, 0.0) == len(hash_prefix(TEXT + "y" * 1024)) - blocks


def test_events_lag_have_gaps_and_report_evictions():
    cache = PrefixCache(2, lag_s=5.0, gap_every=3)
    cache.use(TEXT, 0.0)
    assert cache.events(0, 4.0) == []
    events = cache.events(0, 5.0)
    assert [event["seq"] for event in events] == [1, 2, 4, 5]
    assert events[-1]["kind"] == "removed"
