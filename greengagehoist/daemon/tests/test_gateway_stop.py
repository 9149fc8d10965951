"""Guards against requests that a stopping daemon takes and cannot finish."""

import asyncio
import random
import socket
from typing import NamedTuple

import pytest

from greengagehoist.daemon._gateway import LOAD_BALANCER_DELAY_S, STOP_POLL_PERIOD_S
from greengagehoist.daemon.tests.gateway_system import wait_until
from greengagehoist.gateway import Bounds
from greengagehoist.http1 import IncompleteError, ResponseReader, get_header
from greengagehoist.standins import Healthy, Silent

STOP_BOUNDS = Bounds(grace_s=4.0, revoke_s=9.0)
SEND_PERIOD_S = 0.05
# A request that arrives this late may be reset by the close of the listening socket.
CLOSE_SLACK_S = 0.2
VERSIONS = (b"HTTP/1.0", b"HTTP/1.1", b"HTTP/1.1")
LARGE_BODY = b"x" * 3_000_000
PIECES = {"X_Greengagehoist_Segments": b"1,1", "X_Greengagehoist_Segment_Key": b"k"}


class Outcome(NamedTuple):
    """What a caller has seen of one request.

    :param status: status of a complete answer, 0 if there was none.
    :param sent_s: seconds from the stop to the send.
    :param kept: whether the connection had been used before, so that a close may cross the request.
    """

    request_id: str
    status: int
    sent_s: float
    retry_after: bytes | None = None
    kept: bool = False


async def send_request(system, path, stopped_at=0.0, open_socks=None):
    """Send one request; returns None if it could not be sent.

    :param open_socks: connections that may be used again; None for a new connection.
    """
    now = asyncio.get_running_loop().time
    kept = bool(open_socks)
    try:
        sock = open_socks.pop() if kept else await system.connect()
    except (OSError, TimeoutError):
        return None
    sent_s = now() - stopped_at
    sock.write(system.encode(path, **PIECES))
    request_id = f"r{system.request_count}"
    reader = ResponseReader(sock, b"POST")
    try:
        head = await reader.head()
        await reader.whole_body()
    except IncompleteError:
        return Outcome(request_id, 0, sent_s, kept=kept)
    finally:
        if open_socks is None or not reader.reusable:
            sock.abort()
        else:
            open_socks.append(sock)
    retry_after = get_header(head.headers, b"retry-after")
    return Outcome(request_id, head.status, sent_s, retry_after, kept)


async def leave_early(system, path):
    """Send a request and close the connection before its answer."""
    try:
        sock = await system.connect()
    except (OSError, TimeoutError):
        return
    sock.write(system.encode(path, **PIECES))
    await asyncio.sleep(SEND_PERIOD_S)
    sock.abort()


async def send_during_stop(system, paths, period_s=SEND_PERIOD_S, rng=None):
    """Send requests until the daemon has stopped; returns the outcomes and the end in seconds.

    :param paths: path of each request in turn.
    :param rng: chooses the requests on kept connections and the clients that leave; without it, each
        request is sent on a new connection.
    """
    open_socks = []
    loop = asyncio.get_running_loop()
    for path in set(paths):
        assert (await system.call(path, **PIECES))[0] == 200
    stopped_at = loop.time()
    stopping = asyncio.ensure_future(system.daemons[0].stop())
    tasks = []
    while not stopping.done():
        path = paths[len(tasks) % len(paths)]
        kind = rng.choice(("new", "new", "kept", "leaves")) if rng is not None else "new"
        if kind == "leaves":
            tasks.append(asyncio.ensure_future(leave_early(system, path)))
        else:
            socks = open_socks if kind == "kept" else None
            tasks.append(asyncio.ensure_future(send_request(system, path, stopped_at, socks)))
        await asyncio.sleep(period_s)
    ended_s = loop.time() - stopped_at
    outcomes = [item for item in await asyncio.gather(*tasks) if item is not None]
    await stopping
    return outcomes, ended_s


def requests_passed_on(system):
    return {request_id for item in system.desks + system.engines for request_id in item.ran}


def assert_none_is_cut(system, outcomes, ended_s):
    passed_on = requests_passed_on(system)
    cut = [item for item in outcomes if not item.status]
    assert [item for item in cut if item.request_id in passed_on] == []
    unread = [item for item in cut if not item.kept]
    assert [item for item in unread if item.sent_s < ended_s - CLOSE_SLACK_S] == []
    refused = [item for item in outcomes if item.status == 503]
    assert [item for item in refused if item.request_id in passed_on] == []
    assert all(float(item.retry_after) > 0 for item in refused)
    assert {item.status for item in outcomes if item.status} <= {200, 503}


def assert_served_while_possible(outcomes, ended_s, answer_s):
    """Check that requests are served until their answers might end too late.

    :param answer_s: most seconds that an answer takes.
    """
    until_s = ended_s - 3 * answer_s - 1.0
    refused = [item for item in outcomes if item.status == 503 and item.sent_s < until_s]
    assert refused == []


@pytest.mark.parametrize(
    ("path", "pause_s", "answer_s"),
    [("/book/", 0.2, 0.2), ("/book/", 0.9, 0.9), ("/once/", 0.2, 1.0), ("/deep/", 0.1, 0.8)],
)
def test_request_taken_in_the_stop_is_answered_or_refused(run_scenario, path, pause_s, answer_s):
    """Guards against answers that the end of the process cuts, long after SIGTERM."""

    async def scenario(system):
        for replica in system.replicas:
            replica.pause_s = pause_s
        outcomes, ended_s = await send_during_stop(system, [path])
        assert_none_is_cut(system, outcomes, ended_s)
        assert_served_while_possible(outcomes, ended_s, answer_s)

    run_scenario(scenario, bounds=STOP_BOUNDS)


@pytest.mark.parametrize("seed", range(6))
def test_any_mix_of_requests_in_the_stop_is_answered_or_refused(run_scenario, seed):
    """Guards against cut answers over random mixes of routes, speeds, slow-downs and grace times."""
    rng = random.Random(seed)
    bounds = STOP_BOUNDS._replace(grace_s=rng.uniform(3.0, 4.5))

    async def slow_down(system, after_s):
        await asyncio.sleep(after_s)
        for desk in system.desks:
            desk.pause_s *= 2

    async def scenario(system):
        for desk in system.desks:
            desk.pause_s = rng.uniform(0.0, 0.4)
        for engine in system.engines:
            engine.pause_s, engine.prefill_s = rng.uniform(0.0, 0.15), rng.uniform(0.0, 0.2)
        for pool in system.pool:
            pool.pause_s = rng.uniform(0.0, 0.1)
        paths = rng.choices(["/book/", "/look/", "/once/", "/text/", "/deep/"], k=20)
        slowing = asyncio.ensure_future(slow_down(system, rng.uniform(0.0, 4.0)))
        outcomes, ended_s = await send_during_stop(system, paths, rng.uniform(0.02, 0.1), rng)
        assert_none_is_cut(system, outcomes, ended_s)
        slowing.cancel()

    run_scenario(scenario, bounds=bounds)


def test_request_that_waits_for_its_stages_is_handed_back_in_the_stop(run_scenario):
    """Guards against stage work that is awaited until the process ends."""

    async def scenario(system):
        for replica in system.pool:
            replica.behaviour = Silent()
        waiting = asyncio.ensure_future(send_request(system, "/deep/"))
        await wait_until(lambda: any(replica.calls for replica in system.pool))
        await system.daemons[0].stop()
        assert (await waiting).status == 503
        assert not requests_passed_on(system)

    run_scenario(scenario, bounds=STOP_BOUNDS._replace(grace_s=1.0))


@pytest.mark.parametrize("path", ["/book/", "/once/", "/look/"])
def test_request_that_outlives_the_stop_may_have_run(run_scenario, path):
    """Guards against closing connections without an answer, and against a false "not run"."""

    async def scenario(system):
        for replica in system.desks + system.engines:
            replica.behaviour = Silent()
        waiting = asyncio.ensure_future(send_request(system, path))
        await wait_until(lambda: requests_passed_on(system))
        await system.daemons[0].stop()
        assert (await waiting).status == 502

    run_scenario(scenario, bounds=STOP_BOUNDS._replace(grace_s=0.8))


def test_stream_that_outlives_the_stop_does_not_look_complete(run_scenario):
    """Guards against a stream that the end of the process cuts and that looks complete."""

    async def scenario(system):
        for engine in system.engines:
            engine.pause_s = 0.3
        waiting = asyncio.ensure_future(send_request(system, "/once/"))
        await wait_until(lambda: requests_passed_on(system))
        await system.daemons[0].stop()
        assert (await waiting).status == 0

    run_scenario(scenario, bounds=STOP_BOUNDS._replace(grace_s=0.8))


def test_request_on_a_kept_connection_is_served_in_the_stop_and_closes_it(run_scenario):
    """Guards against requests on kept connections that the stop cuts or leaves unanswered."""

    async def scenario(system):
        sock = await system.connect()
        sock.write(system.encode("/look/"))
        reader = ResponseReader(sock, b"POST")
        await reader.head()
        await reader.whole_body()
        stopping = asyncio.ensure_future(system.daemons[0].stop())
        await asyncio.sleep(0.1)
        sock.write(system.encode("/look/"))
        reader = ResponseReader(sock, b"POST")
        head = await reader.head()
        assert head.status == 200
        assert get_header(head.headers, b"connection") == b"close"
        await reader.whole_body()
        await stopping

    run_scenario(scenario)


def test_new_connection_is_not_closed_before_its_request_arrives(run_scenario):
    """Guards against a periodic close of idle connections that races with requests on their way."""

    async def scenario(system):
        daemon = system.daemons[0]
        for desk in system.desks:
            desk.pause_s = 1.2
        stopping = asyncio.ensure_future(daemon.stop())
        await asyncio.sleep(LOAD_BALANCER_DELAY_S - 0.3)
        pending = asyncio.ensure_future(send_request(system, "/book/"))
        await asyncio.sleep(0.5)
        sock = await system.connect()
        await asyncio.sleep(3 * STOP_POLL_PERIOD_S)
        sock.write(system.encode("/book/"))
        assert (await ResponseReader(sock, b"POST").head()).status in (200, 503)
        assert (await pending).status == 200
        await stopping

    run_scenario(scenario, bounds=STOP_BOUNDS._replace(grace_s=6.0))


async def send_prompt(system, tokens_out):
    """Send a prompt with a limit of tokens and return the status, 0 if the answer was cut."""
    prompt = {
        "X_Greengagehoist_Model": b"m",
        "X_Greengagehoist_Prefix_Hash": b"aa:10",
        "X_Greengagehoist_Token_Count": b"10,%d" % tokens_out,
    }
    try:
        return (await system.call("/once/", **prompt))[0]
    except IncompleteError:
        return 0


def test_answers_below_their_limit_of_tokens_do_not_shorten_the_estimate(run_scenario):
    """Guards against cut streams where earlier answers were far shorter than their limit."""

    async def scenario(system):
        for engine in system.engines:
            engine.events, engine.pause_s = 20, 0.05
        assert await send_prompt(system, 400) == 200
        stopping = asyncio.ensure_future(system.daemons[0].stop())
        await asyncio.sleep(2.4)
        assert await send_prompt(system, 20) == 503
        await stopping

    run_scenario(scenario, bounds=STOP_BOUNDS._replace(grace_s=3.7))


async def stop_while_busy(system):
    """Begin a stop; returns it and a request that keeps the process running after the load balancer
    has reacted.
    """
    stopping = asyncio.ensure_future(system.daemons[0].stop())
    await asyncio.sleep(LOAD_BALANCER_DELAY_S - 0.2)
    for desk in system.desks:
        desk.pause_s = 0.8
    pending = asyncio.ensure_future(send_request(system, "/look/"))
    await asyncio.sleep(0.3)
    return stopping, pending


@pytest.mark.parametrize(("limit", "status"), [(400, 503), (4, 200)])
def test_stream_that_may_use_its_limit_of_tokens_is_not_cut(run_scenario, limit, status):
    """Guards against late sends that rely on earlier answers, which were shorter than their limit."""

    async def scenario(system):
        for engine in system.engines:
            engine.events, engine.pause_s = 5, 0.02
        for _ in range(4):
            assert await send_prompt(system, limit) == 200
        stopping, pending = await stop_while_busy(system)
        for engine in system.engines:
            engine.events = min(60, limit)
        assert await send_prompt(system, limit) == status
        assert (await pending).status == 200
        await stopping

    run_scenario(scenario, bounds=STOP_BOUNDS)


@pytest.mark.parametrize(("path", "status"), [("/book/", 503), ("/look/", 502)])
def test_late_request_that_may_run_once_is_not_sent_without_a_bound(run_scenario, path, status):
    """Guards against requests that have run, may not run again and lose their answer at the stop.

    An idempotent request is sent, as its client may repeat it after any failure.
    """

    async def scenario(system):
        for _ in range(4):
            assert (await system.call(path))[0] == 200
        stopping, pending = await stop_while_busy(system)
        for desk in system.desks:
            desk.pause_s = 1.2
        assert (await system.call(path))[0] == status
        assert (await pending).status == 200
        await stopping

    run_scenario(scenario, bounds=STOP_BOUNDS)


def test_silent_replica_of_the_past_does_not_refuse_a_route(run_scenario):
    """Guards against a time-out that counts as the time of an answer."""

    async def scenario(system):
        for engine in system.engines:
            engine.behaviour = Silent()
        assert (await system.call("/once/"))[0] == 504
        for engine in system.engines:
            engine.behaviour = Healthy()
        assert (await system.call("/once/"))[0] == 200
        stopping = asyncio.ensure_future(system.daemons[0].stop())
        await asyncio.sleep(0.05)
        assert (await system.call("/once/"))[0] == 200
        await stopping

    run_scenario(scenario, bounds=STOP_BOUNDS._replace(grace_s=2.0))


@pytest.mark.parametrize("busy", [False, True])
def test_request_that_arrives_slowly_is_answered_in_the_stop(run_scenario, busy):
    """Guards against closing a connection, or ending the stop, while a request is received."""

    async def scenario(system):
        for desk in system.desks:
            desk.pause_s = 1.2
        stopping = asyncio.ensure_future(system.daemons[0].stop())
        await asyncio.sleep(LOAD_BALANCER_DELAY_S - 0.2)
        pending = asyncio.ensure_future(send_request(system, "/book/")) if busy else None
        sock = await system.connect()
        data = system.encode("/once/", b"x" * 300)
        for part in (data[:-200], data[-200:-100], data[-100:]):
            sock.write(part)
            await asyncio.sleep(0.4)
        assert (await ResponseReader(sock, b"POST").head()).status == 200
        if pending is not None:
            assert (await pending).status == 200
        await stopping

    run_scenario(scenario, bounds=STOP_BOUNDS._replace(grace_s=6.0))


async def send_in_parts(system, path, version, pause_s, stopped_at):
    """Send a request in two parts; ``sent_s`` of the outcome is the time of the second."""
    now = asyncio.get_running_loop().time
    try:
        sock = await system.connect()
    except (OSError, TimeoutError):
        return None
    data = system.encode(path, b"x" * 300, **PIECES).replace(b"HTTP/1.1", version, 1)
    request_id = f"r{system.request_count}"
    sock.write(data[:-100])
    await asyncio.sleep(pause_s)
    sent_s = now() - stopped_at
    sock.write(data[-100:])
    reader = ResponseReader(sock, b"POST")
    try:
        head = await reader.head()
        await reader.whole_body()
    except IncompleteError:
        return Outcome(request_id, 0, sent_s)
    finally:
        sock.abort()
    retry_after = get_header(head.headers, b"retry-after")
    return Outcome(request_id, head.status, sent_s, retry_after)


@pytest.mark.parametrize("path", ["/book/", "/once/", "/deep/"])
def test_request_whose_parts_come_late_in_the_grace_is_answered_or_refused(run_scenario, path):
    """Guards against requests that are passed on, or read, and then cut by the end of the process."""

    async def scenario(system):
        loop = asyncio.get_running_loop()
        for replica in system.replicas:
            replica.pause_s = 0.05
        assert (await system.call(path, **PIECES))[0] == 200
        stopped_at = loop.time()
        stopping = asyncio.ensure_future(system.daemons[0].stop())
        tasks = []
        while not stopping.done():
            pause_s, version = 0.05 * (len(tasks) % 10), VERSIONS[len(tasks) % len(VERSIONS)]
            sending = send_in_parts(system, path, version, pause_s, stopped_at)
            tasks.append(asyncio.ensure_future(sending))
            await asyncio.sleep(0.03)
        ended_s = loop.time() - stopped_at
        outcomes = [item for item in await asyncio.gather(*tasks) if item is not None]
        await stopping
        assert_none_is_cut(system, outcomes, ended_s)

    run_scenario(scenario, bounds=STOP_BOUNDS)


async def read_slowly(system, path):
    """Send a request and read the answer over a slow link; returns the number of bytes."""
    loop = asyncio.get_running_loop()
    host, _, port = system.daemons[0].address.partition(":")
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, system.encode(path))
        received = 0
        while received <= len(LARGE_BODY):
            received += len(await loop.sock_recv(sock, 65536))
            await asyncio.sleep(0.03)
    return received


def test_request_is_in_flight_until_its_answer_is_sent(run_scenario):
    """Guards against the end of a stop that loses answers in the buffers of the process."""

    async def scenario(system):
        for desk in system.desks:
            desk.padding = LARGE_BODY
        (listener,) = system.daemons[0].front._server.sockets
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        reading = asyncio.ensure_future(read_slowly(system, "/look/"))
        await wait_until(lambda: any(desk.ran for desk in system.desks))
        front = system.daemons[0].front
        await asyncio.sleep(0.3)
        assert front.in_flight == 1
        assert await reading > len(LARGE_BODY)
        await wait_until(lambda: front.in_flight == 0)

    run_scenario(scenario)
