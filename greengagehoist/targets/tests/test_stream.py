"""Guards against lost or invented tokens when the chunks of a stream are read in batches."""

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
OTHER = Attempt("r1", "engine", 2)
LENGTH = 6
HANG_S = 10.0


def line_of(**fields):
    data = json.dumps({**ATTEMPT._asdict(), **fields}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


class EngineDouble:
    """Engine that streams one token a line and counts its connections.

    :param trailer: what follows the ``end`` line; empty leaves the body open.
    :param most: lines that are written before the stream goes silent.
    """

    def __init__(self, trailer=b"0\r\n\r\n", most=LENGTH + 1):
        self.trailer, self.most, self.connections = trailer, most, 0

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
            for line in lines[: self.most]:
                writer.write(line)
                await asyncio.sleep(0)
            await asyncio.sleep(0.002)
            if self.most > LENGTH:
                writer.write(self.trailer)


def generate(double, calls=1, progress=5.0, gather=0.001):
    """Return the results and the chunks of ``calls`` generations in a row."""

    async def run():
        server = await asyncio.start_server(double.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        link = TargetLink(Target("a", f"{host}:{port}", "dc", "engine", 1), SteppedClock())
        task = asyncio.create_task(link.run())
        chunks = []

        async def sink(chunk):
            chunks.append(chunk)

        call = GenerateCall(ATTEMPT, "text", LENGTH, 0, 0, 5000, sink)
        async with asyncio.timeout(HANG_S):
            results = [await link.ask(Send(call, 60.0, progress, gather)) for _ in range(calls)]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()
        return results, [token for chunk in chunks for token in chunk.tokens]

    return asyncio.run(run())


def test_stream_that_is_read_to_its_end_leaves_its_connection_for_the_next(monkeypatch):
    """Guards against a new connection for every generation, and a paused one that is reused."""
    monkeypatch.setattr(_stream, "TRAILER_TIMEOUT_S", HANG_S)
    double = EngineDouble()
    results, tokens = generate(double, calls=3)
    assert results == [Success(StreamEnd(ATTEMPT, LENGTH, "d"))] * 3
    assert tokens == [f"t{i}" for i in range(LENGTH)] * 3
    assert double.connections == 1


def test_connection_of_an_unfinished_body_is_not_used_again():
    """Guards against the rest of one body being read as the answer of the next request."""
    double = EngineDouble(trailer=b"")
    results, _ = generate(double, calls=2)
    assert results == [Success(StreamEnd(ATTEMPT, LENGTH, "d"))] * 2
    assert double.connections == 2


def test_silent_stream_ends_after_the_tokens_that_arrived():
    """Guards against a stream that waits for ever, and against tokens lost at its failure."""
    results, tokens = generate(EngineDouble(most=3), progress=0.05)
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
    """Guards against a gap, an overlap or a repetition that merging hides from acceptance."""

    def chunks(pairs):
        return [Chunk(ATTEMPT, offset, tuple(text)) for offset, text in pairs]

    assert list(merge_chunks(chunks(items))) == chunks(merged)


def test_chunks_of_another_attempt_and_ends_are_kept_apart():
    items = [Chunk(ATTEMPT, 0, ("a",)), Chunk(OTHER, 1, ("b",)), StreamEnd(ATTEMPT, 1, "d")]
    assert list(merge_chunks(items)) == items
