"""Guards against ways of sending that mix up requests or take memory beyond what was granted."""

import asyncio
import itertools

from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.http1 import (
    IncompleteError,
    ProtocolError,
    RequestReader,
    SizeLimits,
    Socket,
)
from greengagehoist.http1._limits import PARSE_BYTES
from greengagehoist.http1.tests.conftest import FakeTransport
from greengagehoist.standins._profiles import property_settings

LIMITS = SizeLimits(1000, 5000, 0.05, 0.05)
# A piece may turn into header lines of five bytes, or into requests of thirty.
MAX_OVERSHOOT = PARSE_BYTES * 50
READ_BYTES = 16 * 1024

bodies = st.binary(max_size=3000)
extensions = st.sampled_from([b"", b";a", b";a=b;c", b";" + b"x" * 200])
trailers = st.lists(st.sampled_from([b"A: b\r\n", b"B: " + b"c" * 50 + b"\r\n"]), max_size=3)


def with_length(body):
    head = b"POST /l HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
    return head + body, body


def in_chunks(body, size, extension, trailers):
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    chunks = [b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts]
    head = b"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(chunks) + b"0\r\n" + b"".join(trailers) + b"\r\n", body


requests = st.one_of(
    st.builds(with_length, bodies),
    st.builds(in_chunks, bodies, st.integers(40, 3000), extensions, trailers),
    st.builds(in_chunks, st.binary(max_size=300), st.integers(1, 40), st.just(b""), trailers),
)


class Space:
    """Grants what is asked for after a turn of the event loop, and records the most that was held."""

    def __init__(self):
        self.granted = 0

    async def reserve(self, size, most):
        assert size <= self.granted + MAX_OVERSHOOT + READ_BYTES
        await asyncio.sleep(0)
        self.granted = size + 500


def split(data, cuts):
    points = [0, *sorted({cut % (len(data) + 1) for cut in cuts}), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(points) if a < b]


async def read_all(pieces):
    """Return the bodies that are read, and the status or the kind of the end."""
    sock, read = Socket(), []
    sock.connection_made(FakeTransport())
    for piece in pieces:
        for at in range(0, len(piece), READ_BYTES):
            sock.data_received(piece[at : at + READ_BYTES])
    sock.eof_received()
    reader = RequestReader(sock, lambda: LIMITS, Space())
    try:
        while (request := await reader.read()) is not None:
            read.append(request.body)
            reader.space.granted = 0
    except ProtocolError as exc:
        return read, exc.status
    except IncompleteError:
        return read, "incomplete"
    return read, "end"


@property_settings(150)
@given(st.lists(requests, max_size=6), st.lists(st.integers(0, 100_000), max_size=20))
def test_requests_within_the_limits_are_read_however_they_are_sent(sent, cuts):
    data = b"".join(item for item, _ in sent)
    read, end = asyncio.run(read_all(split(data, cuts)))
    assert read == [body for _, body in sent]
    assert end == "end"


@property_settings(150)
@given(
    st.lists(requests, min_size=1, max_size=3),
    st.lists(st.integers(0, 100_000), max_size=10),
    st.integers(0, 100_000),
    st.binary(min_size=1, max_size=20),
)
def test_changed_bytes_never_raise_another_error(sent, cuts, at, garbage):
    data = b"".join(item for item, _ in sent)
    at %= len(data)
    data = data[:at] + garbage + data[at + len(garbage) :]
    read, end = asyncio.run(read_all(split(data, cuts)))
    assert end in ("end", "incomplete", 400, 408, 413, 431)
    assert all(len(body) <= LIMITS.body_bytes for body in read)
    # Requests before the change are read unchanged.
    whole = list(itertools.accumulate(len(item) for item, _ in sent))
    before = sum(size <= at for size in whole)
    assert read[:before] == [body for _, body in sent[:before]]


@property_settings(50)
@given(
    st.sampled_from(
        [b"1;" + b"a" * 60, b"1\r\nx\r\n", b"0\r\n" + b"A: b\r\n", b"a: b\r\n", b"\r\n"]
    ),
    st.sampled_from([b"Transfer-Encoding: chunked\r\n\r\n", b"", b"Content-Length: 9999\r\n\r\n"]),
    st.lists(st.integers(0, 300_000), max_size=5),
)
def test_bytes_without_end_are_refused(repeated, head, cuts):
    """Guards against a client that is read for as long as it sends."""
    data = b"POST / HTTP/1.1\r\nHost: x\r\n" + head + repeated * (300_000 // len(repeated))
    _, end = asyncio.run(read_all(split(data, cuts)))
    assert end in (400, 408, 413, 431)
