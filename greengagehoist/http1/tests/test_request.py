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


async def read_all(sock, count, limits=LIMITS):
    reader = RequestReader(sock, lambda: limits)
    return [await reader.read() for _ in range(count)]


@pytest.fixture
def read(connected):
    def run(*chunks, count=1, limits=LIMITS, **ends):
        async def main():
            return await read_all(connected(*chunks, **ends), count, limits)

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


POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (POST + b"Content-Length: 51\r\n\r\n", 413),
        (POST + b"Host: y\r\nContent-Length: 9\r\n\r\n", 400),
        (CHUNKED + b"33\r\n" + b"x" * 51, 413),
        (CHUNKED + b"1;" + b"a" * 40_000, 400),
        (CHUNKED + b"0\r\n" + b"A: b\r\n" * 100, 431),
        (CHUNKED + b"0\r\nA: " + b"b" * 40_000, 400),
    ],
    ids=["length", "host", "excess byte", "extension", "trailers", "trailer"],
)
def test_request_is_refused_before_its_end(read, data, status):
    """Guards against a request that is read on although it can only be refused."""
    with pytest.raises(ProtocolError) as caught:
        read(data)
    assert caught.value.status == status


@pytest.mark.parametrize(
    "second",
    [
        POST + b"Host: y\r\nContent-Length: 2\r\n\r\nhi",
        POST + b"Host: y\r\nContent-Length: 2\r\n\r\n",
        POST + b"Content-Length: 60\r\n\r\n" + b"x" * 60,
    ],
)
def test_pipelined_request_is_checked_like_the_first(connected, second):
    """Guards against requests that are not checked because they arrive with the one before."""

    async def main():
        reader = RequestReader(connected(PIPELINED[:56] + second), lambda: LIMITS)
        assert (await reader.read()).body == b"hi"
        with pytest.raises(ProtocolError) as caught:
            await reader.read()
        assert caught.value.status in (400, 413)

    asyncio.run(main())


def test_body_in_chunks_of_one_byte_is_read(read):
    """Guards against a bound on bytes around chunks that refuses an ordinary client."""
    limits = SizeLimits(400, 20_000, 0.2, 0.2)
    data = CHUNKED + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n"
    assert read(data, limits=limits)[0].body == b"x" * 20_000


def test_only_few_pipelined_requests_are_parsed_ahead(connected):
    """Guards against requests that take fifty times their bytes while they wait."""

    async def main():
        reader = RequestReader(
            connected(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 500), lambda: LIMITS
        )
        for _ in range(500):
            assert (await reader.read()).head.target == b"/"
            assert len(reader._callbacks.requests) < 100
        assert not reader.has_partial

    asyncio.run(main())


class Space:
    """Test double of the memory of a connection: grants steps of 10 bytes, or waits."""

    def __init__(self, most):
        self.granted = 0
        self.most = most

    async def reserve(self, size, most):
        if size > self.most:
            await asyncio.Future()
        self.granted = size + 10


def test_body_is_read_as_its_memory_is_granted(connected):
    async def main():
        sock = connected(POST + b"Content-Length: 40\r\n\r\n", b"x" * 20, b"x" * 20)
        space = Space(10_000)
        request = await RequestReader(sock, lambda: LIMITS, space).read()
        assert request.body == b"x" * 40
        assert space.granted >= 40

    asyncio.run(main())


def test_request_without_memory_is_refused_as_not_run(connected):
    """Guards against a client that waits for memory without end, or is told that it was late."""

    async def main():
        sock = connected(POST + b"Content-Length: 40\r\n\r\n", b"x" * 20)
        with pytest.raises(ProtocolError) as caught:
            await RequestReader(sock, lambda: LIMITS, Space(0)).read()
        assert (caught.value.status, caught.value.retry_after_s) == (503, 1.0)

    asyncio.run(main())


@pytest.mark.parametrize("most", [0, 10_000], ids=["waits for memory", "waits for its client"])
def test_refused_request_ends_at_once(connected, most):
    async def main():
        sock = connected(POST + b"Content-Length: 40\r\n\r\n", b"x" * 20)
        limits = LIMITS._replace(header_timeout_s=60.0)
        reader = RequestReader(sock, lambda: limits, Space(most))
        reading = asyncio.ensure_future(reader.read())
        await asyncio.sleep(0.01)
        reader.refuse("others wait")
        async with asyncio.timeout(5.0):
            with pytest.raises(ProtocolError) as caught:
                await reading
        assert caught.value.status == 503
        reader.discard()
        assert not reader.has_partial

    asyncio.run(main())


def test_refusal_between_requests_ends_the_connection(connected):
    async def main():
        reader = RequestReader(connected(), lambda: LIMITS)
        reader.refuse("others wait")
        assert await reader.read() is None

    asyncio.run(main())


def test_body_below_the_least_rate_is_late(connected):
    """Guards against a client that holds a connection by a byte now and then."""

    async def main():
        limits = LIMITS._replace(header_timeout_s=60.0, body_rate=1000.0, body_grace_s=0.05)
        sock = connected(POST + b"Content-Length: 40\r\n\r\n", b"x" * 20)
        async with asyncio.timeout(5.0):
            with pytest.raises(ProtocolError) as caught:
                await RequestReader(sock, lambda: limits).read()
        assert caught.value.status == 408

    asyncio.run(main())


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
