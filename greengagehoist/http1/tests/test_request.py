"""Guards against request smuggling, mixed-up pipelined requests and oversized requests."""

import asyncio
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.http1 import (
    IncompleteError,
    ProtocolError,
    RequestReader,
    SizeLimits,
    Socket,
    end_to_end,
)
from greengagehoist.http1.tests.conftest import FakeTransport
from greengagehoist.standins._profiles import property_settings

LIMITS = SizeLimits(400, 50, 0.2, 0.2)
PIPELINED = (
    b"POST /a?b=%2f HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
    b"GET /c HTTP/1.1\r\nHost: y\r\nConnection: close\r\n\r\n"
)


async def read_all(sock, count):
    reader = RequestReader(sock, lambda: LIMITS)
    return [await reader.read() for _ in range(count)]


@pytest.fixture
def read(connected):
    def run(*chunks, count=1, **ends):
        async def main():
            return await read_all(connected(*chunks, **ends), count)

        return asyncio.run(main())

    return run


def split(data, cuts):
    points = [0, *sorted({cut % len(data) for cut in cuts}), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(points) if a < b]


@property_settings(100)
@given(st.lists(st.integers(0, 10_000), max_size=6))
def test_pipelined_requests_do_not_depend_on_segmentation(cuts):
    async def main():
        sock = Socket()
        sock.connection_made(FakeTransport())
        for chunk in split(PIPELINED, cuts):
            sock.data_received(chunk)
        return await read_all(sock, 2)

    first, second = asyncio.run(main())
    assert (first.head.method, first.head.target, first.body) == (b"POST", b"/a?b=%2f", b"hi")
    assert first.head.keep_alive
    assert (second.head.target, second.body, second.head.keep_alive) == (b"/c", b"", False)


def test_chunked_body_is_decoded(read):
    data = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
    assert read(data)[0].body == b"hi"


@pytest.mark.parametrize(
    "headers",
    [
        b"Content-Length: 2\r\nContent-Length: 3\r\n",
        b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"Content-Length: +2\r\n",
        b"Content-Length : 2\r\n",
        b"Host: second\r\n",
        b"X: a\r\n b\r\n",
    ],
)
def test_ambiguous_framing_is_rejected(read, headers):
    with pytest.raises(ProtocolError):
        read(b"POST / HTTP/1.1\r\nHost: x\r\n" + headers + b"\r\nhi", eof=True)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 500 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 300, 408),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 51\r\n\r\n", 413),
        (b"GET http://h/ HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/3.0\r\nHost: x\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00", 400),
    ],
)
def test_invalid_or_oversized_request_is_rejected_with_its_status(read, data, status):
    with pytest.raises(ProtocolError) as caught:
        read(data)
    assert caught.value.status == status


def test_connection_that_ends_within_a_request_is_incomplete(read):
    with pytest.raises(IncompleteError):
        read(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhi", eof=True)


def test_idle_connection_ends_without_an_error(read):
    assert read() == [None]
    assert read(eof=True) == [None]
    assert read(reset=True) == [None]


def test_hop_by_hop_and_dropped_headers_are_not_forwarded():
    headers = (
        (b"Host", b"x"),
        (b"Connection", b"close, X-Secret"),
        (b"X-Secret", b"1"),
        (b"TE", b"trailers"),
        (b"Content-Length", b"2"),
        (b"Api-Key", b"k"),
        (b"X-Kept", b"2"),
    )
    assert end_to_end(headers, drop=(b"api-key",)) == ((b"Host", b"x"), (b"X-Kept", b"2"))
