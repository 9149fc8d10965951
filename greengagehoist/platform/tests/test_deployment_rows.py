"""Guards against evacuations that are lost, and changes that a conditional read misses."""

import base64
import json

import pytest

from greengagehoist.platform import StoreCodec
from greengagehoist.platform._deployment_rows import FEED_TIMEOUT_S
from greengagehoist.platform_client import HistoryGone, ReadDeployment, Revision, TableState

CONFIG = {"version": 7, "routes": [], "services": []}
SINCE = TableState(Revision(1, 20), Revision(1, 5), frozenset({"a"}))
KNOWN = ReadDeployment(Revision(1, 5), SINCE)


def row(key, value, ver, **fields):
    encoded = base64.b64encode(json.dumps(value).encode()).decode()
    return {"table": "op", "part": "", "key": key, "value": encoded, "ver": ver} | fields


def dropped(key, ver):
    return {"table": "op", "part": "", "key": key, "ver": ver, "tombstone": True}


def body(*rows, ver=30, **fields):
    return json.dumps({"rows": rows, "ver": ver, "now_ms": 1000, **fields}).encode()


@pytest.fixture
def calls():
    return StoreCodec()


def test_whole_read_covers_the_configuration_and_all_evacuations(calls):
    call = calls.encode(ReadDeployment())
    assert "table=op&part=&" in call.path
    assert "from=config&target=evacuate0" in call.path
    assert "evacuate/~" < "evacuate0"
    rows = row("config", CONFIG, 5), row("evacuate/a", {}, 6), row("evacuate/b", {}, 7)
    read = calls.decode(ReadDeployment(), 200, body(*rows, row("other", 1, 8)), 1)
    assert read.deployment.version == 7
    assert read.state == TableState(Revision(1, 30), Revision(1, 5), frozenset({"a", "b"}))


def test_evacuations_are_read_without_a_configuration(calls):
    read = calls.decode(ReadDeployment(), 200, body(row("evacuate/a", {}, 6)), 1)
    assert (read.deployment, read.row) == (None, Revision(1, 0))
    assert read.state.evacuated == {"a"}


def test_further_pages_of_a_whole_read_are_named(calls):
    found = body(row("config", CONFIG, 5), row("d&e", 1, 6), has_more=True)
    read = calls.decode(ReadDeployment(), 200, found, 1)
    assert read.last == "d&e"
    assert "from=d%26e%00&" in calls.encode(ReadDeployment(after=read.last)).path


def test_conditional_read_asks_for_the_changes_since_a_version(calls):
    call = calls.encode(KNOWN)
    assert call.path == "/greengagehoist/rows-feed?table=op&after=20&wait_ms=0"
    assert 410 in call.accept
    assert call.timeout_s == FEED_TIMEOUT_S


def test_feed_without_changes_confirms_what_is_known(calls):
    read = calls.decode(KNOWN, 200, body(), 1)
    assert (read.deployment, read.row) == (None, Revision(1, 5))
    assert read.state == SINCE._replace(table=Revision(1, 30))


@pytest.mark.parametrize(
    ("rows", "config_row", "evacuated"),
    [
        ([row("evacuate/b", {}, 21)], 5, {"a", "b"}),
        ([dropped("evacuate/a", 22)], 5, set()),
        ([{"key": "evacuate/a", "value": None, "ver": 22}], 5, set()),
        ([row("evacuate/b", {}, 21), dropped("evacuate/b", 23)], 5, {"a"}),
        ([dropped("evacuate/b", 21), row("evacuate/b", {}, 23)], 5, {"a", "b"}),
        ([row("evacuate/b", {}, 23), dropped("evacuate/b", 21)], 5, {"a", "b"}),
        ([row("evacuate/", {}, 21), row("evacuated", {}, 21)], 5, {"a"}),
        ([row("evacuate/b", {}, 21, part="p")], 5, {"a"}),
        ([row("config", CONFIG, 25)], 25, {"a"}),
        ([dropped("config", 25)], 0, {"a"}),
    ],
)
def test_feed_changes_what_is_known(calls, rows, config_row, evacuated):
    read = calls.decode(KNOWN, 200, body(*rows), 1)
    assert read.state == TableState(Revision(1, 30), Revision(1, config_row), frozenset(evacuated))
    assert (read.deployment is not None) == (config_row == 25)


@pytest.mark.parametrize("status", [404, 405, 410, 501])
def test_feed_without_the_history_is_no_confirmation_and_no_outage(calls, status):
    """The body need not be JSON."""
    assert status in calls.encode(KNOWN).accept
    assert isinstance(calls.decode(KNOWN, status, b"gone", 1), HistoryGone)
    assert status not in calls.encode(ReadDeployment()).accept


@pytest.mark.parametrize("found", [body(ver=19), body(has_more=True)])
def test_feed_that_is_incomplete_is_no_confirmation(calls, found):
    assert isinstance(calls.decode(KNOWN, 200, found, 1), HistoryGone)


def test_feed_of_another_era_is_no_confirmation(calls):
    """Versions are given out again after a restore, so that an empty answer proves nothing."""
    assert isinstance(calls.decode(KNOWN, 200, body(), 2), HistoryGone)


@pytest.mark.parametrize(
    "content",
    [
        b"[]",
        b"{}",
        b"null",
        body(ver="x"),
        body(ver=None),
        body(ver=True),
        json.dumps({"rows": 3, "ver": 30}).encode(),
        json.dumps({"rows": [3], "ver": 30}).encode(),
        body({"ver": 21}),
        body({"key": "config", "value": "%%", "ver": 21}),
        body({"key": "config", "value": 3, "ver": 21}),
        body({"key": 3, "value": "", "ver": 21}),
        body({"key": "evacuate/a", "value": "", "ver": "x"}, {"key": "evacuate/a", "ver": 3}),
    ],
)
def test_malformed_rows_are_a_failed_read(calls, content):
    """Another error would leave the read without a reply, and the daemon would read no more."""
    for message in (KNOWN, ReadDeployment()):
        with pytest.raises(ValueError):
            calls.decode(message, 200, content, 1)
