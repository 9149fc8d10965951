"""Guards against streams that end early and reach the client as complete, with stand-ins."""

import pytest

from greengagehoist.http1 import IncompleteError, ResponseReader
from greengagehoist.standins import EndsStream
from greengagehoist.standins._gateway_standins import event

STREAM = b"".join(event(number) for number in range(5))
EVENT_BYTES = len(event(0))
# Positions inside the first, the second and the last event.
CUTS = [1, EVENT_BYTES - 1, EVENT_BYTES + 3, len(STREAM) - 1]
ONCE, RESUMABLE = "/once/", "/text/"


def set_engines(system, behaviour):
    for engine in system.engines:
        engine.behaviour = behaviour


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("cut", CUTS)
def test_stream_that_ends_inside_an_event_is_aborted(run_scenario, cut, chunked):
    """A crashed engine whose connection was closed passed for one that had finished."""

    async def scenario(system):
        set_engines(system, EndsStream(cut, chunked))
        with pytest.raises(IncompleteError):
            await system.call(ONCE)
        assert sum(len(engine.ran) for engine in system.engines) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("cut", [3 * EVENT_BYTES + 1, len(STREAM) - 1])
def test_stream_that_ends_inside_an_event_is_resumed(run_scenario, cut, chunked):
    """The rest of a resumable stream was missing after an engine had crashed."""

    async def scenario(system):
        set_engines(system, EndsStream(cut, chunked))
        assert (await system.call(RESUMABLE))[::2] == (200, STREAM)
        assert sum(len(engine.ran) for engine in system.engines) == 2

    run_scenario(scenario)


def test_stream_that_is_closed_before_its_first_event_has_failed(run_scenario):
    """An engine that crashed after the head of its answer passed for one without output."""

    async def scenario(system):
        set_engines(system, EndsStream(0))
        assert (await system.call(ONCE))[0] == 502

    run_scenario(scenario)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("path", [ONCE, RESUMABLE])
def test_whole_stream_is_relayed_with_any_framing(run_scenario, path, chunked):
    """A check for cut-off streams must not reject those that only a close ends."""

    async def scenario(system):
        set_engines(system, EndsStream(None, chunked))
        assert (await system.call(path))[::2] == (200, STREAM)

    run_scenario(scenario)


def test_stream_to_an_http_1_0_client_is_reset_if_the_daemon_ends(run_scenario):
    """Only a close ends such an answer: the daemon's end passed for the end of the stream."""

    async def scenario(system):
        for engine in system.engines:
            engine.pause_s = 0.2
        sock = await system.connect()
        sock.write(system.encode(ONCE).replace(b"HTTP/1.1", b"HTTP/1.0"))
        reader = ResponseReader(sock, b"POST")
        await reader.head()
        assert reader.ends_with_connection
        assert await reader.chunk()
        await system.daemons[0].abort()
        with pytest.raises(IncompleteError):
            await reader.whole_body()

    run_scenario(scenario)


def test_whole_stream_reaches_an_http_1_0_client(run_scenario):
    async def scenario(system):
        sock = await system.connect()
        sock.write(system.encode(ONCE).replace(b"HTTP/1.1", b"HTTP/1.0"))
        reader = ResponseReader(sock, b"POST")
        await reader.head()
        assert await reader.whole_body() == STREAM

    run_scenario(scenario)
