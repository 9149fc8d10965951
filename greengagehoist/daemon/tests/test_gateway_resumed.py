"""Guards against bytes of another answer in a stream, with stand-ins on loopback.

After a stream had broken off, clients of another system found the error of the next replica in the
middle of it, or the stream ended as if it were complete.
"""

import asyncio

import pytest

from greengagehoist.daemon.tests.gateway_system import wait_until
from greengagehoist.http1 import IncompleteError, ResponseReader
from greengagehoist.standins import BreaksOff, Healthy, Writes
from greengagehoist.standins._gateway_standins import event

EVENTS = 5
STREAM = b"".join(event(number) for number in range(EVENTS))
WHOLE_EVENTS = [b"".join(event(n) for n in range(count)) for count in range(EVENTS)]
ONCE, RESUMABLE = "/once/", "/text/"
SIGNED = b"X-Greengagehoist-Request-Id: {id}\r\nX-Greengagehoist-Server-Stamp: s\r\n"
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"
NOT_EXECUTED = b"X-Greengagehoist-Not-Executed: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
HTML = b"<html>\n\n<p>Service unavailable</p>\n\n</html>\n\n"
REST = b"".join(event(number) for number in range(2, EVENTS))
ERROR_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


def encode(status, headers=b"", body=b"", length=None):
    length = len(body) if length is None else length
    head = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n" % (status, headers, length)
    return head + body


# Answers to a request that resumes a stream after event 1.
WRONG_ANSWERS = {
    "json": encode(200, SIGNED + b"Content-Type: application/json\r\n", b'{"error":"x"}'),
    "html": encode(200, SIGNED + b"Content-Type: text/html\r\n", HTML),
    "html chunked": b"HTTP/1.1 200 OK\r\n%bContent-Type: text/html\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n"
    % (SIGNED, CHUNKED, len(HTML), HTML),
    "json without type": encode(200, SIGNED, b'{"error":"x"}'),
    "text without type": encode(200, SIGNED, HTML),
    "empty without type": encode(200, SIGNED),
    "empty json": encode(200, SIGNED + b"Content-Type: application/json\r\n"),
    "201": encode(201, SIGNED + STREAM_TYPE, REST),
    "204": b"HTTP/1.1 204 No Content\r\n%b\r\n" % SIGNED,
    "206": encode(206, SIGNED + STREAM_TYPE, REST[:-10]),
    "304": b"HTTP/1.1 304 Not Modified\r\n%b\r\n" % SIGNED,
    "400": encode(400, SIGNED, HTML),
    "421": encode(421, b"X-Greengagehoist-Instance-Id: i\r\n"),
    "503 not executed": encode(503, SIGNED + NOT_EXECUTED, b"full\n\n"),
    "503 with a pause": encode(503, NOT_EXECUTED + b"Retry-After: 1\r\n", b"full\n\n"),
    "503 after a run": encode(503, SIGNED, b"failed\n\n"),
    "500 chunked": b"HTTP/1.1 500 X\r\n%b%b\r\n%x\r\n%b\r\n0\r\n\r\n"
    % (SIGNED, CHUNKED, len(HTML), HTML),
    "content encoding": encode(200, SIGNED + STREAM_TYPE + b"Content-Encoding: gzip\r\n", REST),
    "unsigned": encode(200, b"X-Greengagehoist-Request-Id: {id}\r\n" + STREAM_TYPE, REST),
    "another's id": encode(200, SIGNED.replace(b"{id}", b"other") + STREAM_TYPE, REST),
    "no response": HTML,
    "from the beginning": encode(200, SIGNED + STREAM_TYPE, STREAM),
    "last event again": encode(200, SIGNED + STREAM_TYPE, event(1) + REST),
    "events out of order": encode(200, SIGNED + STREAM_TYPE, event(3) + event(2) + event(4)),
    "error event": encode(200, SIGNED + STREAM_TYPE, b"event: error\ndata: failed\n\n"),
    "error event after events": encode(200, SIGNED + STREAM_TYPE, event(2) + b"data: failed\n\n"),
    "head of an error": b"HTTP/1.1 200 OK\r\n%b%b\r\n%b%b"
    % (SIGNED, STREAM_TYPE, event(2), ERROR_HEAD),
    "head where a chunk is due": b"HTTP/1.1 200 OK\r\n%b%b%b\r\n%x\r\n%b\r\n%b"
    % (SIGNED, STREAM_TYPE, CHUNKED, len(event(2)), event(2), ERROR_HEAD),
    "body ends early": encode(200, SIGNED + STREAM_TYPE, event(2), length=len(REST)),
}


async def receive(system, path, version=b"1.1", **headers):
    """Return the body that a client receives and whether it looks complete."""
    sock = await system.connect()
    sock.write(system.encode(path, **headers).replace(b"HTTP/1.1", b"HTTP/" + version))
    reader, body = ResponseReader(sock, b"POST"), b""
    try:
        head = await reader.head()
        while data := await reader.chunk():
            body += data
    except IncompleteError:
        return body, False
    finally:
        sock.abort()
    return body, head.status == 200


def set_engines(system, *behaviours):
    for engine, behaviour in zip(system.engines, behaviours, strict=True):
        engine.behaviour = behaviour


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize("answer", WRONG_ANSWERS.values(), ids=WRONG_ANSWERS)
def test_stream_that_cannot_be_resumed_is_aborted(run_scenario, answer, version):
    """The next replica's error must not get into the stream, nor end it as complete."""

    async def scenario(system):
        behaviour = Writes(answer, after=2)
        set_engines(system, behaviour, behaviour)
        body, is_whole = await receive(system, RESUMABLE, version)
        assert body in WHOLE_EVENTS[2:]
        assert not is_whole

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("after", "answer"),
    [
        (2, encode(200, SIGNED + STREAM_TYPE, REST)),
        (2, encode(200, SIGNED, REST)),
        (2, encode(200, SIGNED + STREAM_TYPE, REST) + ERROR_HEAD),
        (EVENTS, encode(200, SIGNED + STREAM_TYPE)),
    ],
    ids=["rest", "rest without type", "bytes after the answer", "nothing left"],
)
def test_stream_is_resumed_after_its_last_event(run_scenario, after, answer):
    """A check of the next answer must not reject one that continues the stream."""

    async def scenario(system):
        behaviour = Writes(answer, after)
        set_engines(system, behaviour, behaviour)
        assert await receive(system, RESUMABLE) == (STREAM, True)

    run_scenario(scenario)


def test_comment_in_a_resumed_stream_is_relayed(run_scenario):
    """Comments that keep a connection open have no id and are no events."""

    async def scenario(system):
        behaviour = Writes(encode(200, SIGNED + STREAM_TYPE, b": wait\n\n" + REST), after=2)
        set_engines(system, behaviour, behaviour)
        expected = WHOLE_EVENTS[2] + b": wait\n\n" + REST
        assert await receive(system, RESUMABLE) == (expected, True)

    run_scenario(scenario)


def test_replica_that_ignores_the_clients_last_event_is_replaced(run_scenario):
    """A client that resumed its stream itself must not get events that it already has."""

    async def scenario(system):
        for _ in range(4):
            answer = Writes(encode(200, SIGNED + STREAM_TYPE, STREAM))
            set_engines(system, answer, Healthy())
            assert await receive(system, RESUMABLE, Last_Event_Id=b"1") == (REST, True)

    run_scenario(scenario)


@pytest.mark.parametrize("path", [ONCE, RESUMABLE])
@pytest.mark.parametrize(
    "rest", [ERROR_HEAD, ERROR_HEAD + b"failed", event(1), b"data: failed\n\n"]
)
def test_bytes_of_another_answer_do_not_continue_a_first_answer(run_scenario, path, rest):
    """Without a length, whatever a replica writes after a stream broke off counts as its body."""

    async def scenario(system):
        body = WHOLE_EVENTS[2] + rest
        answer = Writes(b"HTTP/1.1 200 OK\r\n%b%b\r\n%b" % (SIGNED, STREAM_TYPE, body))
        set_engines(system, answer, answer)
        body, is_whole = await receive(system, path)
        assert body in WHOLE_EVENTS[:3]
        assert not is_whole

    run_scenario(scenario)


@pytest.mark.parametrize("path", [ONCE, RESUMABLE])
def test_answer_that_is_no_event_stream_is_relayed_unchanged(run_scenario, path):
    """A check for events must not reject answers of another type."""

    async def scenario(system):
        answer = Writes(encode(200, SIGNED + b"Content-Type: text/html\r\n", HTML + b"end"))
        set_engines(system, answer, answer)
        assert await receive(system, path) == (HTML + b"end", True)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("content_type", "body"),
    [(b"Content-Type: text/html\r\n", HTML), (STREAM_TYPE, b"data: a\n\ndata: b\n\n")],
    ids=["html", "events without ids"],
)
def test_answer_without_event_ids_is_not_resumed(run_scenario, content_type, body):
    """No replica can tell where to continue it, so a second one would start from the beginning."""

    async def scenario(system):
        answer = Writes(encode(200, SIGNED + content_type, body, length=len(body) + 100))
        set_engines(system, answer, answer)
        assert await receive(system, RESUMABLE) == (body, False)
        assert sum(len(engine.ran) for engine in system.engines) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("path", [ONCE, RESUMABLE])
def test_first_answer_without_content_has_no_body(run_scenario, path):
    """The last chunk after a 204 would be bytes that are no answer."""

    async def scenario(system):
        answer = Writes(b"HTTP/1.1 204 No Content\r\n%b\r\n" % SIGNED)
        set_engines(system, answer, answer)
        sock = await system.connect()
        sock.write(system.encode(path))
        reader = ResponseReader(sock, b"POST")
        assert (await reader.head()).status == 204
        sock.write(system.encode("/look/"))
        assert (await ResponseReader(sock, b"POST").head()).status == 200
        sock.abort()

    run_scenario(scenario)


@pytest.mark.parametrize("path", [ONCE, RESUMABLE])
@pytest.mark.parametrize("cut", [b"id: 2\nda", b"id: 2\ndata: e", b"id: 2\ndata: e2\n"])
def test_head_of_an_error_inside_an_event_does_not_reach_the_client(run_scenario, path, cut):
    """In a body that only the close ends, it passed for the rest of the event."""
    head = b"HTTP/1.1 200 OK\r\n%b%bConnection: close\r\n\r\n" % (SIGNED, STREAM_TYPE)
    response = head + event(0) + event(1) + cut + ERROR_HEAD

    async def scenario(system):
        for engine in system.engines:
            engine.behaviour = Writes(response)
        body, complete = await receive(system, path)
        assert not complete
        assert body in WHOLE_EVENTS

    run_scenario(scenario)


def test_empty_answer_to_a_resume_before_any_event_is_no_end(run_scenario):
    """The client got a complete answer without an event."""

    async def scenario(system):
        for engine in system.engines:
            engine.behaviour = BreaksOff(0)
        receiving = asyncio.ensure_future(receive(system, RESUMABLE))
        await wait_until(lambda: any(engine.ran for engine in system.engines))
        (other,) = [engine for engine in system.engines if not engine.ran]
        other.behaviour = Writes(encode(200, SIGNED + STREAM_TYPE))
        assert await receiving == (b"", False)
        assert other.ran

    run_scenario(scenario)
