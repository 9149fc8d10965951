"""Guards against requests that a stopping daemon takes and cannot finish."""

import asyncio
from typing import NamedTuple

import pytest

from greengagehoist.gateway import Bounds
from greengagehoist.http1 import IncompleteError, ResponseReader, get_header

STOP_BOUNDS = Bounds(grace_s=4.0, revoke_s=9.0)
SEND_PERIOD_S = 0.05
# A request that arrives this late may be reset by the close of the listening socket.
CLOSE_SLACK_S = 0.2
PIECES = {"X_Greengagehoist_Segments": b"1,1", "X_Greengagehoist_Segment_Key": b"k"}


class Outcome(NamedTuple):
    """What a caller has seen of one request.

    :param status: status of a complete answer, 0 if there was none.
    :param sent_s: seconds from the stop to the send.
    """

    request_id: str
    status: int
    sent_s: float
    retry_after: bytes | None = None


async def send_request(system, path, stopped_at):
    """Send one request on a new connection; returns None if it could not be sent."""
    now = asyncio.get_running_loop().time
    try:
        sock = await system.connect()
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
        return Outcome(request_id, 0, sent_s)
    finally:
        sock.abort()
    return Outcome(request_id, head.status, sent_s, get_header(head.headers, b"retry-after"))


async def send_during_stop(system, path, before=5):
    """Send requests on new connections until the daemon has stopped; returns the outcomes."""
    loop = asyncio.get_running_loop()
    for _ in range(before):
        assert (await system.call(path, **PIECES))[0] == 200
    stopped_at = loop.time()
    stopping = asyncio.ensure_future(system.daemons[0].stop())
    tasks = []
    while not stopping.done():
        tasks.append(asyncio.ensure_future(send_request(system, path, stopped_at)))
        await asyncio.sleep(SEND_PERIOD_S)
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
    assert [item for item in cut if item.sent_s < ended_s - CLOSE_SLACK_S] == []
    refused = [item for item in outcomes if item.status == 503]
    assert [item for item in refused if item.request_id in passed_on] == []
    assert all(float(item.retry_after) > 0 for item in refused)


@pytest.mark.parametrize(
    ("path", "pause_s"), [("/book/", 0.2), ("/book/", 0.9), ("/once/", 0.2), ("/deep/", 0.1)]
)
def test_request_taken_in_the_stop_is_answered_or_refused(run_scenario, path, pause_s):
    """Guards against answers that the end of the process cuts, long after SIGTERM."""

    async def scenario(system):
        for replica in system.replicas:
            replica.pause_s = pause_s
        outcomes, ended_s = await send_during_stop(system, path)
        assert_none_is_cut(system, outcomes, ended_s)
        assert {item.status for item in outcomes if item.sent_s < 0.5} == {200}

    run_scenario(scenario, bounds=STOP_BOUNDS)
