"""Guards against clients that hold connections or handshakes of the own interface."""

import asyncio
import random

import pytest
import trustme
from starlette.responses import Response

from greengagehoist.memory import MemoryController, SmallBodies
from greengagehoist.server import AdminApp, MemoryGate, serve
from greengagehoist.utils import Controller, SystemClock, TlsFiles, client_context

SILENT = 200
# Bound after which a connection counts as never closed.
ENDLESS_S = 10.0
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


@pytest.fixture(scope="module")
def files(tmp_path_factory):
    """Return the TLS files of a listener."""
    folder, authority = tmp_path_factory.mktemp("tls"), trustme.CA()
    issued = authority.issue_cert("daemon.greengagehoist.invalid")
    files = TlsFiles(*(str(folder / f"{part}.pem") for part in TlsFiles._fields))
    issued.cert_chain_pems[0].write_to_path(files.certificate)
    issued.private_key_pem.write_to_path(files.key)
    authority.cert_pem.write_to_path(files.authority)
    return files


async def ask(address, context=None):
    """Return the answer to an ordinary request."""
    host, _, port = address.partition(":")
    async with asyncio.timeout(ENDLESS_S):
        reader, writer = await asyncio.open_connection(host, int(port), ssl=context)
        writer.write(REQUEST)
        answer = await reader.read()
        writer.close()
        return answer


async def open_silent(address, count, data=b""):
    host, _, port = address.partition(":")
    opened = [await asyncio.open_connection(host, int(port)) for _ in range(count)]
    for _, writer in opened:
        writer.write(data)
    return opened


async def wait_until_closed(opened, count):
    """Wait until the server has closed at least ``count`` connections."""
    ends = [asyncio.ensure_future(reader.read()) for reader, _ in opened]
    async with asyncio.timeout(ENDLESS_S):
        while sum(end.done() for end in ends) < count:
            await asyncio.sleep(0.05)
    for end in ends:
        end.cancel()
    await asyncio.gather(*ends, return_exceptions=True)


def close(opened):
    for _, writer in opened:
        writer.transport.abort()


@pytest.mark.parametrize("data", [b"", b"\x16\x03\x01\x02\x00\x01"], ids=["silent", "half"])
def test_tls_handshakes_that_stop_are_bounded(files, data):
    """Guards against handshakes that hold a connection for a minute each, in any number."""

    async def run():
        listener = await serve(Response(b"served"), "127.0.0.1", 0, tls=files)
        opened = await open_silent(listener.address, SILENT, data)
        await wait_until_closed(opened, SILENT // 2)
        assert b"served" in await ask(listener.address, client_context(files))
        close(opened)
        await listener.stop(1.0)

    asyncio.run(run())


def test_tls_handshake_that_stops_ends_in_time(files):
    async def run():
        listener = await serve(Response(b"served"), "127.0.0.1", 0, tls=files)
        opened = await open_silent(listener.address, 1)
        await wait_until_closed(opened, 1)
        await listener.stop(1.0)

    asyncio.run(run())


@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\n"], ids=["silent", "half"])
def test_connections_without_a_request_give_way(monkeypatch, data):
    """Guards against connections that take all descriptors of the daemon."""
    monkeypatch.setattr("greengagehoist.server._protocol.MAX_CONNECTIONS", 50, raising=False)

    async def run():
        listener = await serve(Response(b"served"), "127.0.0.1", 0)
        opened = await open_silent(listener.address, SILENT, data)
        open_count = len(listener.server.server_state.connections)
        assert open_count <= 50
        assert b"served" in await ask(listener.address)
        close(opened)
        await listener.stop(1.0)

    asyncio.run(run())


async def post(address, body, missing=0):
    """Send a request whose body may stop short."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = b"POST /admin/config HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer operator\r\n"
    writer.write(head + b"Content-Length: %d\r\n\r\n" % (len(body) + missing) + body)
    return reader, writer


def test_bodies_share_the_account_of_the_daemon():
    """Guards against bodies that are collected without a limit for all connections together."""

    async def run():
        clock = SystemClock()
        memory = MemoryController(3_000_000, clock)
        running = asyncio.ensure_future(memory.run())
        app = AdminApp(Controller("configs"), Controller("traces"), random.Random(1), "operator")
        gate = MemoryGate(app.build(), memory, SmallBodies(0))
        listener = await serve(gate, "127.0.0.1", 0)
        stalled = [await post(listener.address, b"x" * 1_000_000, 1000) for _ in range(8)]
        ends = [asyncio.ensure_future(reader.read(20)) for reader, _ in stalled]
        async with asyncio.timeout(ENDLESS_S):
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        answers = [end.result() for end in ends if end.done()]
        assert memory.account.held_bytes <= 3_000_000
        assert all(b" 503 " in answer for answer in answers)
        assert memory.evicted > 0
        reader, writer = await post(listener.address, b"{}" + b" " * 100_000)
        assert b" 400 " in await reader.read(20)
        for end in ends:
            end.cancel()
        await asyncio.gather(*ends, return_exceptions=True)
        close([*stalled, (reader, writer)])
        while memory.held_bytes:
            await asyncio.sleep(0.05)
        await listener.stop(1.0)
        running.cancel()

    asyncio.run(run())
