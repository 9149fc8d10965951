"""Guards against clients that take the memory or the descriptors of a gateway process.

Each test starts one process with small limits, and sends in one way with a fixed number of clients.
"""

import asyncio

import pytest

from greengagehoist.daemon.tests.untrusted_clients import (
    FEW_FDS,
    MANY_FDS,
    MAX_BODY_BYTES,
    MEMORY_MB,
    MISSING_BYTES,
    GatewayProcess,
    head,
    repeated,
    request,
    sends,
)

CHUNKED = head(b"Transfer-Encoding: chunked")
CHUNK_BYTES = 65536
LARGE_CHUNK = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
LARGE_CHUNKS = MAX_BODY_BYTES // CHUNK_BYTES
SHORT_CHUNK = LARGE_CHUNK[: -MISSING_BYTES - 2]
BLOCK = b"x" * CHUNK_BYTES
SHORT_BODY = (*repeated(BLOCK, LARGE_CHUNKS - 1), BLOCK[:-MISSING_BYTES])
GET = b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n"
METRICS = GET % b"/metrics"
LARGE_ANSWER_BYTES = 3_000_000


@pytest.fixture
def withstands(tmp_path, record_property):
    """Return a function that checks a process under one way of sending.

    It checks that the process lives, stays within its memory and descriptors, and answers an ordinary
    request while the clients' connections are still open.
    """

    def check(interface, clients, send, max_fds=MANY_FDS, padding=0):
        async def main():
            gateway = GatewayProcess(tmp_path, max_fds, padding)
            try:
                await gateway.start()
                await gateway.attack(interface, clients, send)
                await gateway.settle()
                answered = gateway.lives and await gateway.is_answered()
                assert gateway.lives
                return gateway.figures(), answered
            finally:
                await gateway.stop()

        figures, answered = asyncio.run(main())
        record_property("peak_mb", round(figures.peak_mb))
        record_property("descriptors", figures.descriptors)
        assert figures.peak_mb <= MEMORY_MB
        assert figures.descriptors <= max_fds
        assert answered

    return check


def test_bodies_in_large_chunks_that_stop_short(withstands):
    """Guards against bodies that are kept without a limit for all connections together."""
    withstands("clients", 40, sends(CHUNKED, repeated(LARGE_CHUNK, LARGE_CHUNKS - 1), SHORT_CHUNK))


@pytest.mark.parametrize("chunk", [b"1\r\nx\r\n", b"3\r\nxyz\r\n"], ids=["one-byte", "three-bytes"])
def test_bodies_in_tiny_chunks(withstands, chunk):
    """Guards against an object for each received piece, which takes far more than its bytes."""
    withstands("clients", 30, sends(CHUNKED, repeated(chunk, 100_000, 2000)))


def test_chunk_extensions_without_end(withstands):
    """Guards against bytes around chunks that no limit counts."""
    withstands("clients", 20, sends(CHUNKED, b"1;", repeated(BLOCK, 128)))


def test_empty_chunk_extensions_without_end(withstands):
    """Guards against tiny chunks whose extensions keep the process busy."""
    withstands("clients", 40, sends(CHUNKED, repeated(b"1;a;a;a;a\r\nx\r\n", 300_000, 4000)))


def test_trailers_without_end(withstands):
    """Guards against trailers that are collected without a limit."""
    withstands("clients", 20, sends(CHUNKED, b"0\r\n", repeated(b"X-A: b\r\n", 300_000, 4000)))


def test_bodies_whose_length_stops_short(withstands):
    """Guards against bodies that are kept without a limit for all connections together."""
    length = head(b"Content-Length: %d" % MAX_BODY_BYTES)
    withstands("clients", 40, sends(length, SHORT_BODY))


def test_bodies_past_the_limit_that_are_announced(withstands):
    """Guards against a body that is read although its announced length is refused."""
    length = head(b"Content-Length: %d" % (4 * MAX_BODY_BYTES))
    withstands("clients", 40, sends(length, repeated(BLOCK, 4 * LARGE_CHUNKS)))


def test_bodies_past_the_limit_that_are_just_sent(withstands):
    """Guards against bodies that are kept until they exceed their limit one by one."""
    withstands("clients", 40, sends(CHUNKED, repeated(LARGE_CHUNK, 2 * LARGE_CHUNKS)))


def test_bodies_with_a_length_and_chunks(withstands):
    """Guards against ambiguous framing that is refused only after the body."""
    both = head(b"Content-Length: %d" % MAX_BODY_BYTES, b"Transfer-Encoding: chunked")
    withstands("clients", 40, sends(both, repeated(LARGE_CHUNK, LARGE_CHUNKS - 1), SHORT_CHUNK))


def test_bodies_behind_an_invalid_head(withstands):
    """Guards against a head that is checked only after the body."""
    invalid = head(b"Host: second", b"Content-Length: %d" % MAX_BODY_BYTES)
    withstands("clients", 40, sends(invalid, SHORT_BODY))


def test_pipelined_requests_whose_answers_are_never_read(withstands):
    """Guards against requests that are parsed, and answers that are buffered, far ahead."""
    withstands("clients", 300, sends(repeated(GET % b"/none/", 3000, 500)))


def test_pipelined_requests_behind_a_large_answer(withstands):
    """Guards against answers that are buffered for clients that never read."""
    withstands("clients", 30, sends(repeated(request("/look/"), 200)), padding=LARGE_ANSWER_BYTES)


def test_heads_of_many_lines_without_end(withstands):
    """Guards against header lines, each of which takes far more than its bytes."""
    withstands("clients", 300, sends(head(end=b""), repeated(b"a:\r\n", 3900, 3900)))


def test_heads_that_arrive_slowly(withstands):
    """Guards against connections that are held by a byte now and then."""
    withstands("clients", 350, sends(head(end=b"X: "), repeated(b"x", 25), pause_s=0.2))


def test_many_idle_connections(withstands):
    """Guards against connections that take all descriptors, or that new clients wait behind."""
    withstands("clients", 600, sends(b""), FEW_FDS)


def test_answers_that_are_read_very_slowly(withstands):
    """Guards against answers that are held for clients that hardly read them."""
    withstands("clients", 60, sends(request("/look/")), padding=LARGE_ANSWER_BYTES)


def test_idle_connections_at_the_peers_port(withstands):
    """Guards against handshakes that never begin and take all descriptors."""
    withstands("peers", 600, sends(b""), FEW_FDS)


def test_handshakes_without_end_at_the_peers_port(withstands):
    """Guards against heads of handshakes that no limit counts."""
    withstands("peers", 300, sends(b"GET / HTTP/1.1\r\n", repeated(b"a: b\r\n", 20_000, 2000)))


@pytest.mark.parametrize("interface", ["readiness", "metrics"])
def test_bodies_at_a_probe_port(withstands, interface):
    """Guards against bodies that a port without bodies collects."""
    length = head(b"Content-Length: %d" % MAX_BODY_BYTES)
    withstands(interface, 40, sends(length, SHORT_BODY))


@pytest.mark.parametrize("interface", ["readiness", "metrics"])
def test_idle_connections_at_a_probe_port(withstands, interface):
    """Guards against connections to the ports beside the clients' that take all descriptors."""
    withstands(interface, 600, sends(b""), FEW_FDS)


@pytest.mark.parametrize("interface", ["readiness", "metrics"])
def test_pipelined_requests_at_a_probe_port(withstands, interface):
    """Guards against answers that are written to a connection that nobody reads."""
    withstands(interface, 30, sends(repeated(METRICS, 4000, 500)))
