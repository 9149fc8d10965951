"""Guards against malformed rows of other programs and misread configurations."""

import base64
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.deployment import EngineLimits, Idempotent, Service, Streaming, find_route
from greengagehoist.platform import StoreCodec
from greengagehoist.platform._config import _service
from greengagehoist.platform._store import decode_replica
from greengagehoist.platform_client import (
    DeleteRow,
    ListReplicas,
    ReadDeployment,
    ReadRange,
    Refused,
    Revision,
    WriteRow,
    Written,
)
from greengagehoist.replicas import MAX_COLD_S
from greengagehoist.standins._profiles import property_settings

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "prefix": "/a/",
            "route_type": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 1700,
            "priority": 1,
            "service": "llm",
            "max_attempts": 2,
            "stages": [{"service": "pool", "after": [], "bytes": 8000}],
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_target_ms": 400,
        },
        {
            "name": "r2",
            "host": "h.example",
            "prefix": "/b/",
            "route_type": "idempotent",
            "timeout_ms": 2000,
            "backends": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
        },
    ],
    "services": [
        {"name": "llm", "engine": {"slots": 48}},
        {"name": "large", "engine": {"slots": 64, "kv_capacity": 572328}},
        {
            "name": "pool",
            "segments": {"batch": 5, "call_ms": 150.0, "item_ms": 25.6, "headroom_mb": 24.4},
        },
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}],
}
ENTRY = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "slots": 48,
    "state": "ready",
    "models": [{"name": "m"}],
    "born": 12,
}


def row(key, value, ver=5):
    encoded = base64.b64encode(json.dumps(value).encode()).decode()
    return {"table": "t", "part": "", "key": key, "value": encoded, "ver": ver}


def body(**fields):
    return json.dumps({"ver": 9, "now_ms": 1000, **fields}).encode()


@pytest.fixture
def calls():
    return StoreCodec()


def test_configuration_is_decoded(calls):
    read = calls.decode(ReadDeployment(), 200, body(rows=[row("config", CONFIG)]))
    deployment = read.deployment
    assert (read.row, deployment.version) == (Revision(0, 5), 7)
    streaming = find_route(deployment, "h.example", "/a/x")
    assert streaming.kind == Streaming(True, 0.4)
    assert streaming.timeout_s == 8.0
    split = find_route(deployment, "h.example", "/b/")
    assert split.kind == Idempotent()
    assert [item.weight for item in split.backends] == [90, 10]
    assert deployment.services["pool"].pool.result_bytes == 24.4e6
    assert deployment.tenants["k2"].name == "t"
    assert deployment.services["llm"].engine == EngineLimits(48, 0)
    assert deployment.services["large"].engine == EngineLimits(64, 572328)
    assert deployment.services["pool"].engine is None


@pytest.mark.parametrize(
    "engine", [{}, 3, {"slots": "x", "kv_capacity": -1}, {"kv_capacity": True}]
)
def test_odd_limits_of_an_engine_do_not_cost_the_configuration(calls, engine):
    changed = {**CONFIG, "services": [{"name": "llm", "engine": engine}]}
    read = calls.decode(ReadDeployment(), 200, body(rows=[row("config", changed)]))
    assert read.deployment.services["llm"].engine in (None, EngineLimits(0, 0))


def test_unchanged_row_is_not_decoded_again(calls):
    known = Revision(0, 5)
    read = calls.decode(ReadDeployment(known), 200, body(rows=[row("config", CONFIG)]))
    assert (read.deployment, read.row) == (None, known)


@pytest.mark.parametrize(("headers", "era"), [({}, 0), ({"Store-Era": "3"}, 3)])
def test_era_of_the_store_is_decoded(calls, headers, era):
    assert calls.read_era(headers) == era


@pytest.mark.parametrize("stated", ["", "-1", "1.0", "\u0663", "x", "9" * 400])
def test_malformed_era_is_an_error(calls, stated):
    """An era that is guessed could make all later answers look old."""
    with pytest.raises(ValueError, match="Store-Era"):
        calls.read_era({"Store-Era": stated})


def test_missing_configuration_row_is_decoded(calls):
    assert calls.decode(ReadDeployment(), 200, body(rows=[])).row == Revision(0, 0)


def test_page_of_replicas_names_unreadable_entries(calls):
    rows = [row("i-1", ENTRY), row("i-2", {"service": 3}), {"key": "i-3", "value": "%%", "ver": 1}]
    page = calls.decode(ListReplicas(), 200, body(rows=rows, has_more=True))
    assert [item.replica_id for item in page.replicas] == ["i-1"]
    assert (page.unreadable, page.last) == (("i-2", "i-3"), "i-3")
    assert page.replicas[0].models == ("m",)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"address": "nowhere"},
        {"address": ":80"},
        {"slots": "many"},
        {"service": None},
        {"born": 1.5},
        {"models": 3},
    ],
)
def test_malformed_entry_gives_no_replica(change):
    assert decode_replica("i", {**ENTRY, **change}) is None


NESTED = 10_000


def raw_row(key, text):
    """Return a row whose value is ``text``, which need not be JSON."""
    return {"key": key, "value": base64.b64encode(text.encode()).decode(), "ver": 5}


@pytest.mark.parametrize(
    "text",
    [
        "[" * NESTED + "]" * NESTED,
        json.dumps(ENTRY)[:-1] + ',"extra":' + "[" * NESTED + "]" * NESTED + "}",
        json.dumps({**ENTRY, "address": "10.0.0.9:" + "8" * 5000}),
        json.dumps({**ENTRY, "address": "10.0.0.9:8\u00b2"}),
        json.dumps(ENTRY)[:-1] + ',"slots":' + "9" * 5000 + "}",
        json.dumps({**ENTRY, "service": "s\ud800"}),
    ],
    ids=[
        "nested",
        "nested_field",
        "long_port",
        "superscript_port",
        "long_number",
        "lone_surrogate",
    ],
)
def test_odd_entry_does_not_cost_the_others(calls, text):
    """One entry failed each read of the list, so that the daemon stopped following it."""
    rows = [row("i-1", ENTRY), raw_row("i-2", text), row("i-3", ENTRY)]
    page = calls.decode(ListReplicas(), 200, body(rows=rows))
    assert [item.replica_id for item in page.replicas] == ["i-1", "i-3"]


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:65536"},
        {"address": "10.0.0.9:99999"},
        {"address": "10.0.0.9:+80"},
        {"address": "10.0.0.9:\u0668\u0660"},
        {"address": "10.0.0.9:8\u00b2"},
        {"address": "a" * 300 + ":80"},
        {"address": "[::1]:80"},
        {"address": "[10.0.0.9]:80"},
        {"address": "0.0.0.0:80"},
        {"address": "224.0.0.1:80"},
        {"address": "10.0.0.256:80"},
        {"slots": -1},
        {"slots": True},
        {"slots": 10**400},
        {"born": -1},
        {"born": False},
        {"born": 10**400},
        {"service": ""},
        {"service": "s\nt"},
        {"service": "s" * 300},
        {"zone": "z\x00"},
        {"zone": "\ud800"},
        {"models": [{"name": 3}]},
        {"models": [{"name": "m\n"}]},
        {"models": ["m"]},
        {"models": "m"},
    ],
    ids=repr,
)
def test_entry_with_a_field_out_of_range_gives_no_replica(change):
    """Such replicas were used: a port above 65535 is connected to at its lowest 16 bits."""
    assert decode_replica("i", {**ENTRY, **change}) is None


@pytest.mark.parametrize("key", ["", "i\r\nX-Other: 1", " i", "i" * 300, "\ud800", None, 3])
def test_entry_whose_id_no_header_can_hold_gives_no_replica(key):
    """Requests name the replica's id in a header."""
    assert decode_replica(key, ENTRY) is None


def test_draining_replica_is_leaving():
    assert decode_replica("i", {**ENTRY, "state": "draining"}).leaving


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)


@property_settings(200)
@given(st.dictionaries(st.sampled_from(list(ENTRY)), JSON))
def test_any_entry_gives_a_replica_or_none(change):
    found = decode_replica("i", {**ENTRY, **change})
    assert found is None or (found.host and found.port >= 0)


ODD_TEXTS = st.sampled_from(
    [
        "[" * NESTED,
        "[" * NESTED + "]" * NESTED,
        '{"a":' * NESTED + "1" + "}" * NESTED,
        "9" * 5000,
        "1e999",
        "NaN",
        "",
        '"\\ud800"',
    ]
)
ODD_VALUES = st.sampled_from(
    [10**400, -1, 2.5, True, None, "\ud800", "a\nb", "", "x" * 1000, [[]], {"name": []}]
)
ODD_ENTRIES = (
    ODD_TEXTS
    | st.tuples(st.sampled_from(["service", "address", "zone", "state"]), ODD_VALUES).map(
        lambda change: json.dumps({**ENTRY, change[0]: change[1]})
    )
    | st.sampled_from(["slots", "born", "address"]).flatmap(
        lambda field: ODD_TEXTS.map(lambda text: json.dumps({**ENTRY, field: [text]}))
    )
    | ODD_TEXTS.map(lambda text: json.dumps(ENTRY)[:-1] + ',"slots":' + (text or "[") + "}")
)


@property_settings(200)
@given(st.lists(st.none() | ODD_ENTRIES, max_size=6))
def test_page_holds_exactly_the_sound_entries(entries):
    """No entry of another program may cost another one."""
    keys = [f"i-{number}" for number in range(len(entries))]
    rows = [
        row(key, ENTRY) if text is None else raw_row(key, text)
        for key, text in zip(keys, entries, strict=True)
    ]
    page = StoreCodec().decode(ListReplicas(), 200, body(rows=rows))
    sound = [key for key, text in zip(keys, entries, strict=True) if text is None]
    assert [item.replica_id for item in page.replicas] == sound
    assert page.unreadable == tuple(key for key in keys if key not in sound)


def test_write_names_the_expected_version(calls):
    call = calls.encode(WriteRow("member/x", [1], 4))
    assert call.json["expected_revision"][0]["ver"] == 4
    assert json.loads(base64.b64decode(call.json["writes"][0]["value"])) == [1]
    assert calls.is_write(WriteRow("k", 1, 0))
    assert not calls.is_write(ReadRange("member/"))


def test_removal_names_the_expected_version(calls):
    call = calls.encode(DeleteRow("member/x", 4))
    assert call.json["remove"][0]["key"] == "member/x"
    assert call.json["writes"] == []


def test_refused_write_returns_the_current_row(calls):
    message = WriteRow("k", 1, 0)
    refused = calls.decode(message, 412, body(rows=[row("k", 5, 8)]))
    assert isinstance(refused, Refused)
    assert refused.row.version == 8
    assert calls.decode(message, 200, body()) == Written(9, 1.0)


def test_range_ends_after_its_prefix(calls):
    assert "from=member%2F&target=member0" in calls.encode(ReadRange("member/")).path


@pytest.mark.parametrize("value", [[], None, 1, {"version": 1}, {"version": 1, "routes": [3]}])
def test_malformed_configuration_is_a_failed_read(value):
    """Another error would leave the read without a reply, and the daemon would read no more."""
    encoded = base64.b64encode(msgspec.json.encode(value)).decode()
    body = {"rows": [{"key": "config", "value": encoded, "ver": 7}], "ver": 7, "now_ms": 1}
    with pytest.raises(ValueError, match="row version 7"):
        StoreCodec().decode(ReadDeployment(), 200, msgspec.json.encode(body))


def test_row_version_of_another_era_is_decoded(calls):
    """Versions are given out again after a restore, so an equal one is not equal content."""
    found = body(rows=[row("config", CONFIG)])
    read = calls.decode(ReadDeployment(Revision(1, 5)), 200, found, era=2)
    assert (read.row, read.deployment.version) == (Revision(2, 5), 7)


@pytest.mark.parametrize(
    "source",
    [
        "[" * NESTED + "]" * NESTED,
        json.dumps({**CONFIG, "version": 10**400}),
        json.dumps({**CONFIG, "version": "7"}),
        json.dumps({**CONFIG, "version": True}),
        json.dumps({**CONFIG, "version": None}),
        json.dumps({**CONFIG, "routes": [{**CONFIG["routes"][0], "timeout_ms": 10**400}]}),
        json.dumps({**CONFIG, "tenants": [{"name": "t", "api_keys": [[]]}]}),
        "9" * 5000,
        "",
    ],
    ids=["nested", "huge", "text", "bool", "null", "huge_timeout", "key", "number", "empty"],
)
def test_configuration_that_cannot_be_decoded_is_a_failed_read(calls, source):
    """Another error ended the task that follows the configuration, if it came from a hub."""
    with pytest.raises(ValueError, match="row version 7"):
        calls.read_deployment(source, Revision(0, 7))
    content = msgspec.json.encode({"rows": [raw_row("config", source) | {"ver": 7}], "ver": 7})
    with pytest.raises(ValueError, match="row version 7"):
        calls.decode(ReadDeployment(), 200, content)


def test_response_of_the_store_that_is_nested_too_deeply_is_a_failed_read(calls):
    """RecursionError is no error that callers of the platform expect."""
    with pytest.raises(ValueError, match="nested"):
        calls.decode(ListReplicas(), 200, b"[" * NESTED + b"]" * NESTED)


@pytest.mark.parametrize(
    ("value", "cold_s"),
    [(3000, 3.0), (0, 0.0), (2.5, 0.0025), (10**400, MAX_COLD_S), (1e300, MAX_COLD_S)],
)
def test_cold_period_of_an_entry_is_decoded_and_bounded(calls, value, cold_s):
    rows = [row("i-1", {**ENTRY, "cold_remaining_ms": value}, ver=9)]
    page = calls.decode(ListReplicas(), 200, body(rows=rows))
    (replica,) = page.replicas
    assert (replica.cold_s, replica.cold_row) == (cold_s, 9 if cold_s else 0)
    assert page.odd_cold == ()


@pytest.mark.parametrize("text", ["-1", '"3000"', "true", "1e999", "NaN", "-Infinity", "[3]", "{}"])
def test_entry_with_an_odd_cold_period_is_used_and_named(calls, text):
    """It counts as one without a statement; its other fields are sound."""
    sound = json.dumps(ENTRY)[:-1]
    rows = [
        raw_row("i-1", f'{sound}, "cold_remaining_ms": {text}}}'),
        row("i-2", ENTRY),
        row("i-3", {**ENTRY, "cold_remaining_ms": None}),
    ]
    page = calls.decode(ListReplicas(), 200, body(rows=rows))
    read = {item.replica_id: item.cold_s for item in page.replicas}
    assert read == {"i-1": None, "i-2": None, "i-3": None}
    assert page.odd_cold == ("i-1",)


def test_allowance_of_cold_replicas_is_decoded(calls):
    raw = {"name": "s", "cold_start_s": 3.0, "cold_per_s": 8}
    assert _service(raw) == Service("s", None, 3.0, 8.0)
    assert _service({"name": "s"}) == Service("s", None, 0.0, 0.0)
    assert _service({**raw, "cold_start_s": 1e6}).cold_start_s == MAX_COLD_S


@pytest.mark.parametrize("value", [-1, "soon", True, float("nan")])
def test_odd_allowance_of_cold_replicas_is_a_malformed_configuration(value):
    with pytest.raises(ValueError):
        _service({"name": "s", "cold_per_s": value})
