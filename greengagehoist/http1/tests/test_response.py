"""Guards against truncated answers taken for complete ones, and against bytes of another answer."""

import asyncio

import pytest

from greengagehoist.http1 import IncompleteError, ProtocolError, ResponseReader

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@pytest.fixture
def read(connected):
    def run(*chunks, **ends):
        async def main():
            reader = ResponseReader(connected(*chunks, **ends))
            head = await reader.head()
            return head.status, await reader.whole_body(), reader.reusable

        return asyncio.run(main())

    return run


def test_complete_answer_leaves_the_connection_reusable(read):
    assert read(OK) == (200, b"body", True)


@pytest.mark.parametrize("cut", range(1, len(OK)))
def test_truncated_answer_is_incomplete(read, cut):
    with pytest.raises(IncompleteError):
        read(OK[:cut], eof=True)


def test_answer_without_a_length_ends_with_its_connection(read):
    assert read(b"HTTP/1.1 200 OK\r\n\r\nab", b"cd", eof=True) == (200, b"abcd", False)


@pytest.mark.parametrize(
    "framing, expected", [(b"", True), (b"Content-Length: 4\r\n", False), (CHUNKED, False)]
)
def test_reader_says_whether_only_a_close_ends_the_answer(connected, framing, expected):
    """The log line of a stream needs it, to tell a cut-off answer from a complete one."""

    async def main():
        reader = ResponseReader(connected(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n"))
        await reader.head()
        return reader.ends_with_connection

    assert asyncio.run(main()) is expected


def test_answer_without_a_length_that_is_reset_is_incomplete(read):
    with pytest.raises(IncompleteError):
        read(b"HTTP/1.1 200 OK\r\n\r\nabcd", reset=True)


@pytest.mark.parametrize("extra", [OK, b"garbage", b"HTTP/1.1 5"])
def test_bytes_after_the_answer_do_not_belong_to_it(read, extra):
    assert read(OK + extra) == (200, b"body", False)
    assert read(OK, extra) == (200, b"body", False)


def test_chunked_answer_without_its_last_chunk_is_incomplete(read):
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
    with pytest.raises(IncompleteError):
        read(data, eof=True)
    assert read(data + b"0\r\n\r\n") == (200, b"hi", True)


def test_interim_answer_is_skipped(read):
    assert read(b"HTTP/1.1 100 Continue\r\n\r\n" + OK) == (200, b"body", True)


def test_connection_that_the_replica_closes_is_not_reused(read):
    data = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    assert read(data) == (200, b"hi", False)


def test_bytes_that_are_not_http_are_rejected(read):
    with pytest.raises(ProtocolError):
        read(b"\x00\x01\x02 not an answer\r\n\r\n")
