"""Guards against lost or duplicated tokens when the chunks of a stream are read in batches."""

import asyncio
import json

import pytest
from returns.result import Failure, Success

from greengagehoist.targets import (
    Attempt,
    Chunk,
    GenerateCall,
    Send,
    StreamEnd,
    Target,
    TargetLink,
    _stream,
)
from greengagehoist.targets._wire import merge_chunks
from greengagehoist.utils import SteppedClock

ATTEMPT = Attempt("r1", "engine", 1)
OTHER_ATTEMPT = Attempt("r1", "engine", 2)
LENGTH = 6
TEST_TIMEOUT_S = 10.0


def line_of(**fields):
    data = json.dumps({**ATTEMPT._asdict(), **fields}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


class EngineDouble:
    """Engine that streams one token per line and counts its connections.

    :param trailer: bytes sent after the ``end`` line; empty leaves the body open.
    :param max_lines: number of lines to write before the stream stalls.
    """

    def __init__(self, trailer=b"0\r\n\r\n", max_lines=LENGTH + 1):
        self.trailer, self.max_lines, self.connections = trailer, max_lines, 0

    async def serve(self, reader, writer):
        self.connections += 1
        lines = [line_of(offset=i, tokens=[f"t{i}"]) for i in range(LENGTH)]
        lines.append(line_of(end=True, length=LENGTH, digest="d"))
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            length = next(x for x in head.lower().split(b"\r\n") if x.startswith(b"content-length"))
            await reader.readexactly(int(length.split(b":")[1]))
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            for line in lines[: self.max_lines]:
                writer.write(line)
                await asyncio.sleep(0)
            await asyncio.sleep(0.002)
            if self.max_lines > LENGTH:
                writer.write(self.trailer)


def generate(double, calls=1, max_idle_s=5.0, read_interval_s=0.001):
    """Run ``calls`` generations one after another; return their results and all tokens."""

    async def run():
        server = await asyncio.start_server(double.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        link = TargetLink(Target("a", f"{host}:{port}", "dc", "engine", 1), SteppedClock())
        task = asyncio.create_task(link.run())
        chunks = []

        async def sink(chunk):
            chunks.append(chunk)

        call = GenerateCall(ATTEMPT, "text", LENGTH, 0, 0, 5000, sink)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            results = [
                await link.ask(Send(call, 60.0, max_idle_s, read_interval_s)) for _ in range(calls)
            ]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()
        return results, [token for chunk in chunks for token in chunk.tokens]

    return asyncio.run(run())


def test_connection_is_reused_after_a_stream_was_read_to_its_end(monkeypatch):
    """Guards against a new connection per generation and against reuse of a paused one."""
    monkeypatch.setattr(_stream, "TRAILER_TIMEOUT_S", TEST_TIMEOUT_S)
    double = EngineDouble()
    results, tokens = generate(double, calls=3)
    assert results == [Success(StreamEnd(ATTEMPT, LENGTH, "d"))] * 3
    assert tokens == [f"t{i}" for i in range(LENGTH)] * 3
    assert double.connections == 1


def test_connection_of_an_unfinished_body_is_not_reused():
    """Guards against reading the rest of one body as the response to the next request."""
    double = EngineDouble(trailer=b"")
    results, _ = generate(double, calls=2)
    assert results == [Success(StreamEnd(ATTEMPT, LENGTH, "d"))] * 2
    assert double.connections == 2


def test_stalled_stream_ends_after_the_tokens_that_arrived():
    """Guards against waiting forever for a stalled stream and against losing its tokens."""
    results, tokens = generate(EngineDouble(max_lines=3), max_idle_s=0.05)
    assert isinstance(results[0], Failure)
    assert tokens == ["t0", "t1", "t2"]


@pytest.mark.parametrize(
    ("items", "merged"),
    [
        ([(0, "a"), (1, "b"), (2, "cd")], [(0, "abcd")]),
        ([(0, "a"), (2, "b")], [(0, "a"), (2, "b")]),
        ([(0, "ab"), (1, "bc")], [(0, "ab"), (1, "bc")]),
        ([(0, "a"), (0, "a")], [(0, "a"), (0, "a")]),
    ],
)
def test_only_chunks_that_follow_each_other_are_merged(items, merged):
    """Guards against merging that hides a gap, an overlap or a repetition from the caller."""

    def chunks(pairs):
        return [Chunk(ATTEMPT, offset, tuple(text)) for offset, text in pairs]

    assert list(merge_chunks(chunks(items))) == chunks(merged)


def test_chunks_of_another_attempt_and_ends_are_kept_apart():
    items = [Chunk(ATTEMPT, 0, ("a",)), Chunk(OTHER_ATTEMPT, 1, ("b",)), StreamEnd(ATTEMPT, 1, "d")]
    assert list(merge_chunks(items)) == items
