"""Guards against malformed requests that cause a crash, and requests that outlive their caller."""

import asyncio
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from greengagehoist.base import Answer, PipelineCall
from greengagehoist.server import CallerApp, serve
from greengagehoist.server import _protocol as protocol
from greengagehoist.server._bodies import MAX_BODY_BYTES
from greengagehoist.server._rate_limit import BURST_REJECTIONS, MAX_SOURCES, SourceRateLimiter
from greengagehoist.standins._profiles import property_settings
from greengagehoist.utils import Controller, NullMetrics, SteppedClock

STATUSES = {200, 400, 401, 404, 405, 503}
GOOD = {"input": "x", "max_tokens": 3}


async def succeed(exchange):
    if isinstance(exchange.call, PipelineCall):
        exchange.call.text.encode()
    return Success(Answer(exchange.request_id, "done"))


def make_app(proceed=succeed, is_known_credential=None):
    traces = Controller("traces")
    app = CallerApp(
        proceed, traces, SteppedClock(), random.Random(1), NullMetrics(), "vm", is_known_credential
    )
    return app.build()


async def request(
    app, headers=(), parts=(b"",), path="/v1/pipelines/p", method="POST", disconnect=None
):
    """Send one request to the ASGI application and return status, body and parts read."""
    left, sent, read = list(parts), [], []

    async def receive():
        if left:
            read.append(left.pop(0))
            return {"type": "http.request", "body": read[-1], "more_body": bool(left)}
        await (disconnect.wait() if disconnect else asyncio.Event().wait())
        return {"type": "http.disconnect"}

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "root_path": "",
        "scheme": "http",
        "headers": list(headers),
        "client": ("192.0.2.1", 1),
        "server": ("192.0.2.2", 80),
    }
    await app(scope, receive, send)
    return sent[0]["status"], b"".join(m.get("body", b"") for m in sent), len(read)


scalars = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8))
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=6,
)
fields = st.fixed_dictionaries(
    {}, optional=dict.fromkeys((*GOOD, "stream", "deadline_ms", "args"), values)
)
bodies = st.one_of(
    st.binary(max_size=200),
    fields.map(lambda value: json.dumps(value).encode()),
    fields.map(lambda value: json.dumps({**GOOD, **value}).encode()),
    st.just(b'{"input": "\\ud800", "max_tokens": 1}'),
    st.just(b"[" * 100_000),
    st.just(b'{"args": {"a": NaN}}'),
    st.just(b'{"max_tokens": ' + b"9" * 5000 + b"}"),
)
names = st.sampled_from(
    [b"authorization", b"idempotency-key", b"traceparent", b"content-length", b"content-encoding"]
)
header_lists = st.lists(st.tuples(names, st.binary(max_size=200)), max_size=4)
paths = st.sampled_from(["/v1/pipelines/p", "/v1/services/desk/book", "/v1/pipelines/", "/x"])


@property_settings(400)
@given(headers=header_lists, body=bodies, path=paths, method=st.sampled_from(["POST", "GET"]))
def test_any_request_gets_a_documented_status(headers, body, path, method):
    parts = [body[:50], body[50:]]
    status, content, _ = asyncio.run(request(make_app(), headers, parts, path, method))
    assert status in STATUSES
    if status == 400:
        error = json.loads(content)["error"]
        assert (error["outcome"], error["retry_safe"]) == ("not_run", False)


@pytest.mark.parametrize(
    "header",
    [
        (b"content-length", str(MAX_BODY_BYTES + 1).encode()),
        (b"content-length", b"-1"),
        (b"content-encoding", b"gzip"),
    ],
)
def test_body_with_unacceptable_headers_is_rejected_unread(header):
    status, _, read = asyncio.run(request(make_app(), [header], [b"x"] * 3))
    assert (status, read) == (400, 0)


def test_body_without_a_length_is_rejected_at_the_limit():
    parts = [b"x" * 65536] * 100
    status, _, read = asyncio.run(request(make_app(), (), parts))
    assert (status, read) == (400, MAX_BODY_BYTES // 65536 + 1)


def test_unknown_credential_is_rejected_unread_and_then_rate_limited():
    async def is_known_credential(credential):
        return credential == "good"

    async def run():
        app = make_app(is_known_credential=is_known_credential)
        rejected = [await request(app, (), [b"x"]) for _ in range(int(BURST_REJECTIONS) + 1)]
        good = [(b"authorization", b"Bearer good")]
        return rejected, await request(app, good, [json.dumps(GOOD).encode()])

    rejected, known = asyncio.run(run())
    assert {(status, read) for status, _, read in rejected[:-1]} == {(401, 0)}
    assert (rejected[-1][0], known[0]) == (503, 200)


def test_memory_of_the_source_rate_limiter_is_bounded():
    limiter = SourceRateLimiter()
    for number in range(MAX_SOURCES + 100):
        limiter.allow(str(number), 0.0)
    assert len(limiter._buckets) == MAX_SOURCES


def test_disconnect_cancels_the_pipeline():
    events = []

    async def run():
        disconnect = asyncio.Event()

        async def proceed(exchange):
            disconnect.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                events.append("cancelled")
                raise

        return await request(
            make_app(proceed), (), [json.dumps(GOOD).encode()], disconnect=disconnect
        )

    assert asyncio.run(run())[0] == 499
    assert events == ["cancelled"]


@pytest.mark.parametrize("sent", [b"", b"POST / HT", b"GET / HTTP/1.1\r\na: " + b"x" * 200_000])
def test_slow_or_large_headers_close_the_connection(sent, monkeypatch):
    monkeypatch.setattr(protocol, "HEADER_TIMEOUT_S", 0.1)

    async def run():
        listener = await serve(make_app(), "127.0.0.1", 0, shutdown_s=0)
        host, port = listener.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(sent)
        try:
            received = await reader.read()
        except ConnectionResetError:
            received = b""
        writer.close()
        await listener.stop()
        return received

    assert b"200 OK" not in asyncio.run(run())
