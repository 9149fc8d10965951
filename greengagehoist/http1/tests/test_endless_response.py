"""Guards against a faulty peer whose bytes never end: memory must stay bounded."""

import asyncio
import contextlib
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.http1 import (
    MAX_BODY_BYTES,
    MAX_FRAMING_BYTES,
    IncompleteError,
    ProtocolError,
    ResponseReader,
)
from greengagehoist.http1._limits import MAX_CHUNK_FRAMING_BYTES, MAX_HEADER_LINES

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = 16 * 1024
# A reader that has taken this much has no limit.
MAX_ACCEPTED_BYTES = 2 * MAX_BODY_BYTES

# Beginning and the part that the peer repeats without end.
ENDLESS = {
    "garbage": (b"", b"\x00\xff" * 64),
    "blank lines": (b"", b"\r\n" * 64),
    "status line": (b"HTTP/1.1 200 ", b"x" * 64),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
    "header repeated": (HEAD, b"X-A: b\r\n"),
    "header name": (HEAD, b"x" * 64),
    "header value": (HEAD + b"X-A: ", b"x" * 64),
    "body without a length": (HEAD + b"\r\n", b"x" * 64),
    "body with a length": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"x" * 64),
    "chunks": (CHUNKED, b"40\r\n" + b"x" * 64 + b"\r\n"),
    "one chunk": (CHUNKED + b"ffffffffff\r\n", b"x" * 64),
    "chunk extension": (CHUNKED + b"1;a=", b"x" * 64),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunks of two bytes": (CHUNKED, b"002\r\nxx\r\n"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-A: b\r\n"),
    "trailer value": (CHUNKED + b"1\r\nx\r\n0\r\nX-A: ", b"x" * 64),
}


class EndlessSocket:
    """Returns the beginning and then the repeated part, in blocks, and counts the bytes taken."""

    def __init__(self, beginning, repeated, block_bytes=BLOCK):
        self.blocks = itertools.chain(
            [beginning] if beginning else [],
            itertools.repeat(repeated * max(1, block_bytes // len(repeated))),
        )
        self.taken = 0
        self.has_unread = True

    async def read(self):
        data = next(self.blocks)
        self.taken += len(data)
        assert self.taken < MAX_ACCEPTED_BYTES, "the reader accepts bytes without end"
        return data


async def read_whole(sock):
    reader = ResponseReader(sock)
    await reader.head()
    await reader.whole_body()
    return reader


@pytest.mark.parametrize("kind", ENDLESS)
def test_endless_response_is_rejected(kind):
    with pytest.raises(ProtocolError):
        asyncio.run(read_whole(EndlessSocket(*ENDLESS[kind])))


@pytest.mark.parametrize("kind", ["garbage", "header repeated", "header value", "trailer value"])
def test_bytes_outside_the_body_are_rejected_early(kind):
    sock = EndlessSocket(*ENDLESS[kind])
    with pytest.raises(ProtocolError):
        asyncio.run(read_whole(sock))
    assert sock.taken <= 2 * (MAX_FRAMING_BYTES + BLOCK)


@pytest.mark.parametrize("kind", ["header repeated", "interim responses", "trailers"])
def test_header_lines_are_limited_in_number(kind):
    """Each line costs far more memory than its bytes: 100 such heads took 130 MB."""
    sock = EndlessSocket(*ENDLESS[kind], block_bytes=64)
    with pytest.raises(ProtocolError):
        asyncio.run(read_whole(sock))
    beginning, repeated = ENDLESS[kind]
    assert sock.taken <= len(beginning) + (MAX_HEADER_LINES + 1) * max(64, len(repeated))


@pytest.mark.parametrize("kind", ["chunks of one byte", "chunks of two bytes"])
def test_tiny_chunks_are_rejected_early(kind):
    """Guards against a peer that keeps the daemon busy until the deadline of its request."""
    sock = EndlessSocket(*ENDLESS[kind])
    with pytest.raises(ProtocolError, match="around the chunks"):
        asyncio.run(read_whole(sock))
    assert sock.taken <= 8 * MAX_CHUNK_FRAMING_BYTES + BLOCK


def test_small_chunks_of_a_long_stream_are_passed_on():
    """Guards against a limit that ends a stream with a token or two in each chunk."""

    async def scenario():
        sock = EndlessSocket(CHUNKED, b"4\r\nabcd\r\n")
        reader = ResponseReader(sock)
        await reader.head()
        while sock.taken < MAX_BODY_BYTES:
            assert await reader.chunk()

    asyncio.run(scenario())


def test_bytes_without_end_after_the_response_are_left_on_the_connection():
    sock = EndlessSocket(HEAD + b"Content-Length: 2\r\n\r\nhi", b"x")
    reader = asyncio.run(read_whole(sock))
    assert not reader.reusable
    assert sock.taken <= 2 * BLOCK


def test_streamed_body_may_be_longer_than_a_buffered_one():
    """A long stream is passed on as it comes, so only what is outside its body is limited."""

    async def scenario():
        sock = EndlessSocket(*ENDLESS["chunks"])
        reader = ResponseReader(sock)
        await reader.head()
        received = 0
        while received < MAX_BODY_BYTES + 1:
            received += len(await reader.chunk())

    asyncio.run(scenario())


@given(
    pieces=st.lists(
        st.sampled_from([part for pair in ENDLESS.values() for part in pair if part]),
        min_size=1,
        max_size=8,
    ),
    repeated=st.binary(min_size=1, max_size=32),
)
def test_any_endless_bytes_end_the_read(pieces, repeated):
    """Whatever the peer sends, the read ends with a response or an error within the limits."""
    sock = EndlessSocket(b"".join(pieces), repeated)
    with contextlib.suppress(ProtocolError, IncompleteError):
        asyncio.run(read_whole(sock))
