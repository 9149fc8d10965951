"""Guards against refusals that break their promise or do not reach the client, with stand-ins."""

import asyncio
import socket

from greengagehoist.daemon.tests.gateway_system import config, wait_until
from greengagehoist.gateway.controllers import DeploymentController
from greengagehoist.http1 import ResponseReader, get_header
from greengagehoist.memory import SmallBodies, Unsent

LARGE = 400_000


async def allow_large_bodies(system):
    limits = {"max_body_bytes": 1_000_000, "idle_timeout_ms": 5000, "header_timeout_ms": 20_000}
    system.store.put("op", "config", {**config(2), "limits": limits})
    deployments: DeploymentController = system.daemons[0].deployments
    await wait_until(lambda: deployments.snapshot.value.deployment.version == 2)


async def read_head(sock):
    async with asyncio.timeout(10.0):
        return await ResponseReader(sock, b"POST").head()


def test_stalled_body_gives_way_with_a_refusal_and_the_waiting_one_is_served(run_scenario):
    """Guards against clients that hold all memory, and against a close that looks like a failure."""

    async def scenario(system):
        await allow_large_bodies(system)
        daemon = system.daemons[0]
        daemon.memory.account.limit = 1_000_000
        stalled = await system.connect()
        stalled.write(system.encode("/book/", b"x" * LARGE)[:-1000])
        await wait_until(lambda: daemon.memory.held_bytes > LARGE)
        status, _, body = await system.call("/look/", b"y" * LARGE)
        assert (status, len(body)) == (200, LARGE + len(b"done "))
        head = await read_head(stalled)
        assert head.status == 503
        assert float(get_header(head.headers, b"retry-after")) > 0
        assert not any(
            desk.requests and b"book" in desk.requests[0].head.target for desk in system.desks
        )
        stalled.abort()
        await wait_until(lambda: daemon.memory.held_bytes == 0)
        assert b'reason="status_503"' in daemon.measurements.text()

    run_scenario(scenario)


def test_refusal_of_a_large_body_reaches_a_client_that_still_sends(run_scenario):
    """Guards against a reset by unread bytes, which destroys the answer."""

    async def scenario(system):
        sock = await system.connect()
        sock.write(system.encode("/look/", b"x" * LARGE))
        assert (await read_head(sock)).status == 413
        sock.abort()

    run_scenario(scenario)


def test_small_requests_cost_the_account_no_message(run_scenario):
    """Guards against a message for each request on the way of ordinary ones."""

    async def scenario(system):
        await allow_large_bodies(system)
        daemon = system.daemons[0]
        told = []
        daemon.memory.tell = told.append
        daemon.memory.ask = None
        for size in (0, 1500, 15_000):
            assert (await system.call("/look/", b"x" * size))[0] == 200
        assert told == []
        assert daemon.front.small_bytes == 0

    run_scenario(scenario)


def test_small_requests_are_served_when_their_memory_is_used_up(run_scenario):
    """Guards against a client that holds many small bodies and locks out ordinary ones."""

    async def scenario(system):
        await allow_large_bodies(system)
        daemon = system.daemons[0]
        daemon.front._small = SmallBodies(10_000)
        held = [await system.connect() for _ in range(20)]
        for sock in held:
            sock.write(system.encode("/look/", b"x" * 8000)[:-100])
        await wait_until(lambda: daemon.memory.held_bytes > 0)
        assert (await system.call("/look/", b"x" * 8000))[0] == 200
        for sock in held:
            sock.abort()
        await wait_until(lambda: daemon.memory.held_bytes == daemon.front.small_bytes == 0)

    run_scenario(scenario)


def test_requests_beyond_those_in_progress_are_refused_as_not_run(run_scenario):
    async def scenario(system):
        daemon = system.daemons[0]
        daemon.front.settings = daemon.front.settings._replace(in_progress=1)
        for desk in system.desks:
            desk.pause_s = 0.5
        running = asyncio.ensure_future(system.call("/look/", b"a"))
        await wait_until(lambda: any(desk.ran for desk in system.desks))
        status, headers, _ = await system.call("/look/", b"b")
        assert status == 503
        assert float(get_header(headers, b"retry-after")) > 0
        assert (await running)[0] == 200
        assert sum(len(desk.ran) for desk in system.desks) == 1

    run_scenario(scenario)


def test_silent_connections_give_way_and_kept_ones_stay(run_scenario):
    async def scenario(system):
        daemon = system.daemons[0]
        kept = await system.connect()
        kept.write(system.encode("/look/"))
        assert (await read_head(kept)).status == 200
        daemon.front._table.limit = 10
        silent = [await system.connect() for _ in range(30)]
        await wait_until(lambda: daemon.front.connections <= 10)
        assert (await system.call("/look/"))[0] == 200
        assert not kept.gone.done()
        for sock in [kept, *silent]:
            sock.abort()

    run_scenario(scenario)


def connect_slow(address):
    """Return a connection of a client that reads nothing and has small buffers."""
    host, _, port = address.partition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    return sock


def test_answer_that_is_not_taken_gives_way_to_one_that_waits(run_scenario):
    """Guards against a client that reads nothing and holds the memory of answers."""

    async def scenario(system):
        for desk in system.desks:
            desk.padding = b"x" * 3_900_000
        daemon = system.daemons[0]
        daemon.memory.account.limit = 9_000_000
        slow = connect_slow(daemon.address)
        slow.sendall(system.encode("/book/"))
        await wait_until(lambda: daemon.memory.account.held_for(Unsent) > 0)
        assert (await system.call("/look/"))[0] == 200
        assert daemon.memory.evicted == 1
        slow.close()
        await wait_until(lambda: daemon.memory.held_bytes == 0)

    run_scenario(scenario)
