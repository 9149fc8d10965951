"""Guards against addresses that raise errors which no sender expects, or connect elsewhere."""

import asyncio

import pytest
import uvloop

from greengagehoist.http1 import open_socket


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def run(request):
    """Return a function that runs a coroutine on an event loop of each kind."""

    def run_coroutine(coro):
        with asyncio.Runner(loop_factory=request.param) as runner:
            return runner.run(coro)

    return run_coroutine


@pytest.mark.parametrize(
    ("host", "port"),
    [
        ("a" * 300, 80),
        ("127.0.0.1", 65536),
        ("127.0.0.1", 10**400),
        ("127.0.0.1", -1),
        ("127.0.0.1", 0),
        ("\ud800", 80),
        ("a\x00b", 80),
    ],
    ids=["long_host", "port", "huge_port", "negative_port", "port_0", "surrogate", "nul"],
)
def test_address_that_cannot_be_connected_to_is_unreachable(run, host, port):
    """UnicodeError and OverflowError ended the request instead of sending it elsewhere."""
    with pytest.raises(OSError):
        run(open_socket(host, port, 1.0))


def test_port_above_the_range_does_not_connect_at_its_lowest_16_bits(run):
    """Another program at that port got the request."""

    async def scenario():
        accepted = []
        server = await asyncio.start_server(
            lambda reader, writer: accepted.append(writer), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(OSError):
            await open_socket("127.0.0.1", port + 65536, 1.0)
        await asyncio.sleep(0.05)
        server.close()
        assert not accepted

    run(scenario())
