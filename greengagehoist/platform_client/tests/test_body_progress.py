"""Guards against large responses that are given up while they arrive, and against endless ones."""

import asyncio
import random

import pytest
from returns.result import Success

from greengagehoist.platform_client import PlatformController, ReadRow
from greengagehoist.platform_client import _controller as module
from greengagehoist.platform_client._breaker import Breaker
from greengagehoist.platform_client._wire import HttpCall
from greengagehoist.utils import Published, SystemClock

BLOCKS, BLOCK = 12, b"x" * 4096
TIMEOUT_S = 0.5


class Recorded(Published):
    """Records the values that are published."""

    def __init__(self, value, seen):
        self.__dict__["seen"] = seen
        super().__init__(value)

    def __setattr__(self, name, value):
        self.seen.append(value)
        super().__setattr__(name, value)


class TextCodec:
    """Codec of a server that responds with text."""

    def is_write(self, message):
        return False

    def encode(self, message):
        return HttpCall("GET", "/", timeout_s=TIMEOUT_S)

    def read_era(self, headers):
        return 0

    def decode(self, message, status, content, era=0):
        return content


@pytest.fixture
def fetch(monkeypatch):
    """Return a function that reads from a server which pauses after each block."""
    monkeypatch.setattr(module, "STALL_TIMEOUT_S", 3 * TIMEOUT_S)

    def run(pause_s, head, frame=lambda block: block, end=b"", start=b""):
        async def respond(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + start)
            for _ in range(BLOCKS):
                writer.write(frame(BLOCK))
                await asyncio.sleep(pause_s)
            writer.write(end)

        async def main():
            server = await asyncio.start_server(respond, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            controller = PlatformController(address, SystemClock(), random.Random(1), TextCodec())
            task = asyncio.get_running_loop().create_task(controller.run())
            result = await controller.ask(ReadRow("key"))
            await asyncio.sleep(0)
            task.cancel()
            server.close()
            return result, controller

        return asyncio.run(main())

    return run


LENGTH = b"Content-Length: %d" % (BLOCKS * len(BLOCK))


CHUNKED = b"Transfer-Encoding: chunked"


@pytest.mark.parametrize(
    "framing",
    [
        {"head": LENGTH},
        {
            "head": CHUNKED,
            "frame": lambda block: b"%x\r\n%s\r\n" % (len(block), block),
            "end": b"0\r\n\r\n",
        },
        {
            "head": CHUNKED,
            "start": b"%x\r\n" % (BLOCKS * len(BLOCK)),
            "end": b"\r\n0\r\n\r\n",
        },
    ],
    ids=["length", "chunks", "one_chunk"],
)
def test_response_that_arrives_slowly_is_read(fetch, monkeypatch, framing):
    """The time-out of a call, 1 s, discarded what had arrived of a large response."""
    monkeypatch.setattr(module, "MIN_BYTES_PER_S", 10_000)
    result, controller = fetch(TIMEOUT_S / 5, **framing)
    assert result == Success(BLOCK * BLOCKS)
    assert controller.received_bytes == BLOCKS * len(BLOCK)
    assert controller._breaker == Breaker()


def test_response_that_is_too_slow_is_given_up(fetch, monkeypatch):
    """A server that sends a little now and then would hold the call for ever."""
    monkeypatch.setattr(module, "MIN_BYTES_PER_S", 10_000_000)
    result, controller = fetch(TIMEOUT_S / 2, LENGTH)
    assert not isinstance(result, Success)
    assert controller._breaker.failures == 1
    assert controller.arriving.value == 0


def test_large_response_is_published_while_it_arrives(fetch, monkeypatch):
    monkeypatch.setattr(module, "MIN_BYTES_PER_S", 10_000)
    seen = []
    monkeypatch.setattr(module, "Published", lambda value: Recorded(value, seen))
    _, controller = fetch(0.0, LENGTH)
    assert max(seen) == 1
    assert controller.arriving.value == 0
