"""Guards against an answer whose head breaks off and that is taken for a whole one."""

import asyncio
from contextlib import suppress

import pytest
from returns.result import Failure

from greengagehoist.base import ErrorCode, Outcome
from greengagehoist.targets import ReadRecord, SendOrder, Target, TargetLink
from greengagehoist.targets.tests.test_endless_target import CALLS
from greengagehoist.utils import SystemClock

CALL_TIMEOUT_S = 2.0
ORDER = SendOrder({"kind": "restart"}, 1, CALL_TIMEOUT_S, lambda: True)
RECORD = ReadRecord("key", CALL_TIMEOUT_S)
UNSAFE_CALLS = {"order": ORDER, "operation": CALLS["operation"]}
HEADERS = b"Content-Type: application/json\r\nContent-Length: 2\r\n"
STATUSES = (b"200 OK", b"404 Not Found", b"409 Conflict", b"422 Unprocessable", b"503 Busy")


def cut_heads(status):
    """Return the beginnings of an answer's head that end before its empty line."""
    head = b"HTTP/1.1 " + status + b"\r\n" + HEADERS + b"\r\n"
    return [head[:size] for size in range(1, len(head), 5)] + [head[:-2], head[:-1]]


@pytest.fixture
def call_cut():
    """Return a function that makes one call for each cut answer; returns the replies."""

    def run(answers, message, reset=False):
        async def main():
            waiting = list(answers)

            async def serve(reader, writer):
                with suppress(asyncio.IncompleteReadError, ConnectionError):
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(waiting.pop(0))
                    await writer.drain()
                    if reset:
                        await asyncio.sleep(0.01)
                        writer.transport.abort()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            link = TargetLink(Target("a", f"{host}:{port}", "dc", "engine", 1), SystemClock())
            task = asyncio.create_task(link.run())
            try:
                return [await link.ask(message) for _ in answers]
            finally:
                task.cancel()
                server.close()

        return asyncio.run(main())

    return run


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("call", UNSAFE_CALLS)
def test_call_whose_answer_breaks_off_in_its_head_may_have_run(call_cut, call, status, reset):
    """Neither a success nor a refusal is proved by half a head."""
    answers = cut_heads(status)
    for answer, reply in zip(answers, call_cut(answers, UNSAFE_CALLS[call], reset), strict=True):
        assert isinstance(reply, Failure), answer
        assert reply.failure().outcome is Outcome.UNKNOWN, answer


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("call", ["pool", "generate", "load"])
def test_call_that_may_be_repeated_fails(call_cut, call, status):
    answers = cut_heads(status)
    assert all(isinstance(reply, Failure) for reply in call_cut(answers, CALLS[call]))


@pytest.mark.parametrize("status", STATUSES)
def test_record_whose_answer_breaks_off_is_not_taken_as_missing(call_cut, status):
    """A target that seems to keep no records ends the search for an operation that ran."""
    answers = cut_heads(status)
    for answer, reply in zip(answers, call_cut(answers, RECORD), strict=True):
        assert isinstance(reply, Failure), answer
        assert reply.failure().code is not ErrorCode.NOT_FOUND, answer


@pytest.mark.parametrize("line", [b"no header\r\n", b"\xff\xfe\r\n"])
@pytest.mark.parametrize("call", UNSAFE_CALLS)
def test_line_that_is_no_header_does_not_end_a_head(call_cut, call, line):
    answer = b"HTTP/1.1 200 OK\r\n" + line + b"Content-Length: 2\r\n\r\n{}"
    (reply,) = call_cut([answer], UNSAFE_CALLS[call])
    assert isinstance(reply, Failure)
    assert reply.failure().outcome is Outcome.UNKNOWN
