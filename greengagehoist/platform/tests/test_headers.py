"""Guards against forwarding headers that clients must not set and misreading replica answers."""

import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.deployment import (
    Backend,
    Deployment,
    DeploymentSnapshot,
    Idempotent,
    Limits,
    Route,
    Stage,
    Tenant,
)
from greengagehoist.gateway import MAX_ID_DIGITS, Exchange, Progress, PromptPart
from greengagehoist.gateway._events import EventSplitter
from greengagehoist.http1 import ProtocolError, RequestHead, ResponseHead
from greengagehoist.pieces import InputGone, Made, NotMade, Piece, TooLate
from greengagehoist.platform import PlatformWireFormat
from greengagehoist.platform import _headers as headers_module
from greengagehoist.replicas import (
    MAX_COLD_S,
    MAX_PAUSE_S,
    Limited,
    Load,
    Replica,
    Unlimited,
    UnreadableLimit,
)

REPLICA = Replica("i-1", "s", "10.0.0.1", 80, "a", 4, 1, False)
CLIENT = (
    (b"Host", b"H.example:80"),
    (b"X-Greengagehoist-Request-Id", b"id1"),
    (b"X-Greengagehoist-Deadline-Ms", b"8000"),
    (b"X-Greengagehoist-Model", b"m"),
    (b"X-Greengagehoist-Token-Count", b"1460,80"),
    (b"X-Greengagehoist-Prefix-Hash", b"5c:800,91:410,e4:250"),
    (b"X-Greengagehoist-Segments", b"2,0,8"),
    (b"X-Greengagehoist-Segment-Key", b"pk"),
    (b"Api-Key", b"secret"),
    (b"X-Greengagehoist-Tenant", b"forged"),
    (b"x-greengagehoist-hold", b"forged"),
    (b"X-Other", b"kept"),
)


@pytest.fixture
def wire():
    return PlatformWireFormat()


@pytest.fixture
def request_of(wire):
    def make(*headers):
        return wire.read_request(RequestHead(b"POST", b"/a/b?c", "1.1", headers, True), b"body")

    return make


@pytest.fixture
def exchange_of(request_of):
    def make(*headers, tenant=None, stages=(), inputs=()):
        route = Route("r", "h", "/", Idempotent(), 1, 1, 2, (Backend("s", 1),), 1, stages, False)
        known = DeploymentSnapshot(Deployment(1, {}, {}, {}, True, Limits()), 0.0)
        return Exchange(
            request_of(*headers), None, 0.0, Progress(), known, route, "s", tenant, inputs=inputs
        )

    return make


def test_request_is_decoded(request_of):
    req = request_of(*CLIENT)
    assert (req.host, req.path, req.target) == ("h.example", "/a/b", b"/a/b?c")
    assert (req.api_key, req.deadline_s, req.piece_counts) == ("secret", 8.0, (2, 0, 8))
    assert [part.part_id for part in req.prompt.parts] == ["5c", "91", "e4"]
    assert (req.prompt.tokens_in, req.prompt.tokens_out) == (1460, 80)


def test_replica_gets_no_key_and_no_forged_header(wire, exchange_of):
    exchange = exchange_of(*CLIENT, tenant=Tenant("t", None))
    headers = dict(wire.replica_headers(exchange, REPLICA, 1.2345, None))
    lowered = {name.lower(): value for name, value in headers.items()}
    assert b"api-key" not in lowered
    assert b"x-greengagehoist-hold" not in lowered
    assert headers[b"X-Greengagehoist-Tenant"] == b"t"
    assert headers[b"X-Greengagehoist-Deadline-Ms"] == b"1234"
    assert headers[b"X-Greengagehoist-Expect-Instance"] == b"i-1"
    assert headers[b"X-Greengagehoist-Request-Id"] == b"id1"
    assert headers[b"X-Greengagehoist-Prefix-Hash"] == b"5c:800,91:410,e4:250"
    assert headers[b"X-Other"] == b"kept"
    assert headers[b"X-Greengagehoist-Request-Priority"] == b"2"


def test_public_request_passes_no_tenant(wire, exchange_of):
    headers = dict(wire.replica_headers(exchange_of(*CLIENT), REPLICA, 1.0, None))
    assert b"X-Greengagehoist-Tenant" not in headers


def test_inputs_of_all_last_stages_are_named(wire, exchange_of):
    exchange = exchange_of(
        *CLIENT,
        stages=(Stage("p", (), 1), Stage("q", (), 1)),
        inputs=(("p", ("a:1/x", "a:1/y")), ("q", ("b:1/z",))),
    )
    headers = dict(wire.replica_headers(exchange, REPLICA, 1.0, None))
    assert headers[b"X-Greengagehoist-Inputs"] == b"a:1/x,a:1/y,b:1/z"


def test_resumption_replaces_the_clients_event_id(wire, exchange_of):
    exchange = exchange_of(*CLIENT, (b"Last-Event-Id", b"3"))
    headers = wire.replica_headers(exchange, REPLICA, 1.0, 7)
    assert [value for name, value in headers if name == b"Last-Event-Id"] == [b"7"]


@pytest.mark.parametrize(
    "header",
    [
        (b"X-Greengagehoist-Deadline-Ms", b"soon"),
        (b"X-Greengagehoist-Segments", b"2,x"),
    ],
)
def test_malformed_header_is_refused(request_of, header):
    with pytest.raises(ProtocolError):
        request_of((b"Host", b"h"), (b"X-Greengagehoist-Request-Id", b"i"), header)


@pytest.mark.parametrize("tokens", [99_999, 100_000, 444_000, 10**9 - 1])
def test_prompt_may_have_as_many_tokens_as_its_parts(request_of, tokens):
    """Requests with 100,000 tokens or more were refused, while their parts could have that many."""
    headers = dict(CLIENT)
    headers[b"X-Greengagehoist-Token-Count"] = b"%d,%d" % (tokens, tokens)
    headers[b"X-Greengagehoist-Prefix-Hash"] = b"5c:%d" % tokens
    prompt = request_of(*headers.items()).prompt
    assert (prompt.tokens_in, prompt.tokens_out) == (tokens, tokens)
    assert prompt.parts == (PromptPart("5c", tokens),)


EVENT_IDS = st.one_of(
    st.integers(0, 10 ** (MAX_ID_DIGITS + 3)).map(lambda number: b"%d" % number),
    st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1).map(str.encode),
)


@given(event_id=EVENT_IDS)
def test_client_may_send_back_each_event_id_that_it_gets(event_id):
    """Streams could not be resumed after an id of more than 12 digits, such as Unix milliseconds."""
    wire = PlatformWireFormat()
    passed_on = EventSplitter().feed(b"id: %b\ndata: x\n\n" % event_id)
    assert event_id in passed_on
    headers = (
        (b"Host", b"h"),
        (b"X-Greengagehoist-Request-Id", b"i"),
        (b"Last-Event-Id", event_id),
    )
    req = wire.read_request(RequestHead(b"POST", b"/", "1.1", headers, True), b"")
    is_number = event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS
    assert req.last_event_id == (int(event_id) if is_number else None)
    assert (b"Last-Event-Id", event_id) in req.headers


@pytest.mark.parametrize("event_id", [b"1764960000123", b"1764960000123456789", b"9" * 39])
def test_events_after_a_long_id_that_the_client_names_are_in_order(request_of, event_id):
    """Guards against a resumed stream that repeats events that the client has received."""
    names = ((b"Host", b"h"), (b"X-Greengagehoist-Request-Id", b"i"))
    req = request_of(*names, (b"Last-Event-Id", event_id))
    with pytest.raises(ProtocolError, match="after event"):
        EventSplitter(req.last_event_id).feed(b"id: %b\ndata: x\n\n" % event_id)


@pytest.mark.parametrize("event_id", [b"-1", b"a7", b"\xb2", b"9" * 5000])
def test_event_id_that_is_no_number_is_forwarded_unread(wire, exchange_of, event_id):
    """A replica may number its events in its own way; only it can tell whether the id is right."""
    exchange = exchange_of(*CLIENT, (b"Last-Event-Id", event_id))
    assert exchange.req.last_event_id is None
    headers = wire.replica_headers(exchange, REPLICA, 1.0, None)
    assert [value for name, value in headers if name == b"Last-Event-Id"] == [event_id]


def test_request_without_an_id_is_refused(request_of):
    with pytest.raises(ProtocolError):
        request_of((b"Host", b"h"))


def test_reply_is_decoded(wire):
    head = ResponseHead(
        503,
        b"",
        (
            (b"x-greengagehoist-request-id", b"id1"),
            (b"X-Greengagehoist-Not-Executed", b"1"),
            (b"X-Greengagehoist-Load-Report", b"3,0,8"),
        ),
    )
    reply = wire.read_reply(head)
    assert (reply.request_id, reply.not_executed, reply.signed) == ("id1", True, False)
    assert reply.load == Load(3, 0, 8)


@pytest.mark.parametrize(
    "value, expected",
    [
        (b"3,0,8", Load(3, 0, 8)),
        (b"3,0,8,160", Load(3, 0, 8, 1.6)),
        (b" 3 , 0 ,8 , 62.5", Load(3, 0, 8, 0.625)),
        (b"3,0,8,100,7,x", Load(3, 0, 8, 1.0)),
        (b"3,0,8,", Load(3, 0, 8)),
        (b"3,0,8,0", Load(3, 0, 8)),
        (b"3,0,8,-40", Load(3, 0, 8)),
        (b"3,0,8,nan", Load(3, 0, 8)),
        (b"3,0,8,1e9", Load(3, 0, 8)),
        (b"3,0,8,999999999", Load(3, 0, 8, 100.0)),
        (b"3,0", None),
        (b"3,-1,8,100", None),
        (b"x,0,8,100", None),
        (b"", None),
    ],
)
def test_readable_figures_of_a_load_report_are_used(wire, value, expected):
    """Else the load is ignored altogether where replicas add a figure or state one badly."""
    head = ResponseHead(200, b"", ((b"X-Greengagehoist-Load-Report", value),))
    assert wire.read_reply(head).load == expected


def test_unreadable_load_report_is_logged_once(wire, monkeypatch):
    """A replica that states it badly does so in each answer."""
    logged = []
    monkeypatch.setattr(headers_module, "log_event", lambda event, *_, **__: logged.append(event))
    head = ResponseHead(200, b"", ((b"X-Greengagehoist-Load-Report", b"3,0,8,soon"),))
    for _ in range(3):
        wire.read_reply(head)
    assert logged == ["load_report_unreadable"]


def test_stage_call_names_key_or_inputs(wire):
    pieces = (
        Piece("r1", 0, 2, "pk", (), 0.9),
        Piece("r2", 2, 0, "", ("10.0.0.9:80/h",), 0.5),
    )
    items = json.loads(wire.stage_call(REPLICA, pieces).body)["items"]
    assert items[0] == {"id": "r1", "stage": 0, "segment": 2, "remaining_ms": 900, "key": "pk"}
    assert items[1]["inputs"] == ["10.0.0.9:80/h"]
    assert "key" not in items[1]


def test_outcomes_of_pieces_are_decoded(wire):
    items = [{"handle": "a:1/x"}, {"reason": "gone"}, {"reason": "late"}, {"reason": "room"}]
    outcomes = wire.read_pieces(json.dumps({"items": items}).encode(), 4)
    assert outcomes == (Made("a:1/x"), InputGone(), TooLate(), NotMade("room"))


@pytest.mark.parametrize("body", [b"", b"[]", b'{"items":[]}', b'{"items":[3]}'])
def test_malformed_outcomes_are_refused(wire, body):
    with pytest.raises(ValueError):
        wire.read_pieces(body, 1)


@pytest.mark.parametrize(
    "status, value, expected",
    [
        (503, b"2", 2.0),
        (503, b"0.25", 0.25),
        (503, b"86400", MAX_PAUSE_S),
        (503, b"inf", MAX_PAUSE_S),
        (503, b"0", None),
        (503, b"-3", None),
        (503, b"nan", None),
        (503, b"soon", None),
        (503, b"Wed, 21 Oct 2026 07:28:00 GMT", None),
        (200, b"2", None),
        (429, b"2", None),
    ],
)
def test_pause_is_read_from_refusals_only_and_bounded(wire, status, value, expected):
    """A malformed value must not fail the request, and an absurd one must not last for days."""
    head = ResponseHead(status, b"", ((b"Retry-After", value),))
    assert wire.read_reply(head).pause_s == expected


@pytest.mark.parametrize(
    "values, expected",
    [
        ((), Unlimited()),
        ((b"4",), Limited(4.0)),
        ((b" 0.25 ",), Limited(0.25)),
        ((b"0",), Limited(0.0)),
        ((b"5.",), Limited(5.0)),
        ((b"3, 2",), Limited(2.0)),
        ((b"3", b"7"), Limited(3.0)),
        ((b"+5",), UnreadableLimit("+5")),
        ((b"-5",), UnreadableLimit("-5")),
        ((b"1e3",), UnreadableLimit("1e3")),
        ((b"nan",), UnreadableLimit("nan")),
        ((b"inf",), UnreadableLimit("inf")),
        ((b"",), UnreadableLimit("")),
        ((b"3,",), UnreadableLimit("3,")),
        (("٣".encode(),), UnreadableLimit("٣".encode().decode("latin-1"))),
        ((b"9" * 400,), UnreadableLimit("9" * 40)),
    ],
)
def test_limit_is_a_decimal_number_on_an_answer_of_any_status(wire, values, expected):
    """A malformed value must neither end a limit nor name an absurd one."""
    for status in (200, 409, 503):
        head = ResponseHead(status, b"", tuple((b"Server-Limit", value) for value in values))
        assert wire.read_reply(head).limit == expected


@pytest.mark.parametrize("value, expected", [(b"1", True), (b" 1 ", True), (b"0", False)])
def test_leaving_is_read_from_answers_of_any_status(wire, value, expected):
    for status in (200, 404, 500, 503):
        head = ResponseHead(status, b"", ((b"Server-Leaving", value),))
        assert wire.read_reply(head).leaving is expected


@pytest.mark.parametrize("value", [b"\xb2", b"1\xb2,2", b"9" * 5000, b"1,\xb9"])
@pytest.mark.parametrize("name", [b"Token-Count", b"Segments", b"Deadline-Ms", b"Prefix-Hash"])
def test_number_that_is_no_ascii_digits_does_not_end_the_request(wire, name, value):
    """A superscript digit raised ValueError, so that the client's connection was closed."""
    headers = (
        (b"Host", b"h"),
        (b"X-Greengagehoist-Request-Id", b"r"),
        (b"X-Greengagehoist-Model", b"m"),
        (b"X-Greengagehoist-" + name, b"a:" + value if name == b"Prefix-Hash" else value),
    )
    head = RequestHead(b"POST", b"/", "1.1", headers, True)
    if name == b"Prefix-Hash":
        expected = (PromptPart("a", 1),) if value.startswith(b"1,") else ()
        assert wire.read_request(head, b"").prompt.parts == expected
    else:
        with pytest.raises(ProtocolError):
            wire.read_request(head, b"")


@pytest.mark.parametrize("value", [b"\xb2,0,8", b"1,0," + b"9" * 5000, b"-1,0,8", b"1,0"])
def test_odd_load_report_is_ignored(wire, value):
    """A superscript digit or 5,000 digits raised ValueError, and the answer was lost."""
    headers = ((b"X-Greengagehoist-Load-Report", value),)
    assert wire.read_reply(ResponseHead(200, b"OK", headers)).load is None


@pytest.mark.parametrize(
    "handle",
    [
        "nowhere/x",
        "a:0/x",
        "a:99999/x",
        "a:" + "9" * 5000 + "/x",
        "a:8\u00b2/x",
        "a:1/x,b:1/y",
        "a:1/x\r\nX-Other: 1",
        "a:1/ x",
        "a:1/",
        "/x",
        "a:1/\ud800",
        "a:1/" + "x" * 1000,
    ],
)
def test_handle_that_no_header_or_call_can_name_is_refused(wire, handle):
    """Handles go into a header, and their address is where results are freed."""
    body = json.dumps({"items": [{"handle": handle}]}).encode()
    with pytest.raises(ValueError):
        wire.read_pieces(body, 1)


def test_outcomes_that_are_nested_too_deeply_are_refused(wire):
    """RecursionError is no error that callers of a replica expect."""
    with pytest.raises(ValueError, match="nested"):
        wire.read_pieces(b"[" * 10_000 + b"]" * 10_000, 1)


@pytest.mark.parametrize(
    ("value", "cold_s"), [(b"3000", 3.0), (b" 1500 ", 1.5), (b"0", 0.0), (b"999999999", MAX_COLD_S)]
)
def test_cold_period_is_read_from_answers_of_any_status(wire, value, cold_s):
    for status in (200, 404, 503):
        head = ResponseHead(status, b"", ((b"X-Greengagehoist-Cold-Ms", value),))
        assert wire.read_reply(head).cold_s == cold_s


@pytest.mark.parametrize(
    "value", [b"-1", b"soon", b"nan", b"inf", b"", b"9" * 400, b"1e3", b"\xb2"]
)
def test_odd_cold_period_of_an_answer_is_marked(wire, value):
    head = ResponseHead(200, b"", ((b"X-Greengagehoist-Cold-Ms", value),))
    assert math.isnan(wire.read_reply(head).cold_s)
    assert wire.read_reply(ResponseHead(200, b"", ())).cold_s is None
