"""Guards against requests that are sent twice and connections that stall, on real sockets."""

import asyncio
import contextlib
import json

import aiosonic
import pytest
from returns.result import Failure, Success

from greengagehoist.base import ErrorCode, Outcome
from greengagehoist.server import serve
from greengagehoist.standins import build_service
from greengagehoist.targets import (
    Attempt,
    OperationCall,
    OperationReply,
    PoolCall,
    ReadLoad,
    ReadRecord,
    Send,
    SendOrder,
    StageReply,
    Target,
    TargetLink,
)
from greengagehoist.targets._connector import NotSentError, SingleCallConnector
from greengagehoist.utils import SteppedClock


class SocketDouble:
    """HTTP server that follows a script and counts connections and requests.

    :param script: one step per request: ``answer``, ``close`` (close without an answer) or
        ``silent`` (no answer); the last step repeats.
    :param keep_open: keep the connection open after an answer.
    """

    def __init__(self, script, keep_open=True):
        self.script = list(script)
        self.keep_open = keep_open
        self.connections = 0
        self.bodies = []
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            length = next(
                int(line.split(b":")[1])
                for line in head.lower().split(b"\r\n")
                if line.startswith(b"content-length")
            )
            body = json.loads(await reader.readexactly(length))
            self.bodies.append(body)
            step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
            if step == "close":
                writer.close()
                return
            if step == "answer":
                writer.write(answer_of(body))
                if not self.keep_open:
                    writer.close()
                    return


def answer_of(body):
    identity = {k: body[k] for k in ("request_id", "stage", "attempt") if k in body}
    content = {**identity, "result": 1, "output": "x", "digest": "d"}
    data = json.dumps(content).encode()
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(data), data)


def operation(deadline=10.0, request_id="r1"):
    return OperationCall(Attempt(request_id, "desk", 1), "book", "depot/k", {}, deadline)


def pool(number):
    return PoolCall(Attempt("r1", "encoder", number), "text", 1000)


def with_link(address, use, clock=None):
    async def run():
        link = TargetLink(Target("a", address, "dc", "role", 1), clock or SteppedClock())
        task = asyncio.create_task(link.run())
        try:
            return await use(link)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    return run()


def test_operation_uses_its_own_connection_and_is_sent_once():
    """Guards against an operation on a pooled connection that the target has already closed."""

    async def run():
        double = SocketDouble(["answer", "close", "answer"])
        address = await double.start()

        async def use(link):
            return [await link.ask(Send(operation(), 2.0, 1.0)) for _ in range(3)]

        return double, await with_link(address, use)

    double, results = asyncio.run(run())
    outcomes = [r.failure().outcome if isinstance(r, Failure) else "ok" for r in results]
    assert outcomes == ["ok", Outcome.UNKNOWN, "ok"]
    assert (double.connections, len(double.bodies)) == (3, 3)


@pytest.mark.parametrize("method", ["POST", "PUT"])
def test_aiosonic_repeats_only_idempotent_methods_on_a_stale_connection(method):
    """Shows why operations are sent by POST: aiosonic retries a PUT on its own."""

    async def run():
        double = SocketDouble(["answer", "close", "answer"])
        url = f"http://{await double.start()}/"
        client = aiosonic.HTTPClient()
        await client.request(url, method, json={"n": 1})
        with contextlib.suppress(aiosonic.exceptions.ConnectionDisconnected):
            await client.request(url, method, json={"n": 2})
        return len(double.bodies)

    assert asyncio.run(run()) == {"POST": 2, "PUT": 3}[method]


def test_nothing_is_sent_after_the_deadline():
    """Guards against a daemon that was suspended after its claim and sends the call too late."""

    async def run():
        double = SocketDouble(["answer"])
        address = await double.start()

        async def use(link):
            return await link.ask(Send(operation(deadline=0.0), 2.0, 1.0))

        return double, await with_link(address, use)

    double, result = asyncio.run(run())
    assert (result.failure().outcome, double.bodies) == (Outcome.NOT_RUN, [])


def test_refused_connection_means_not_run():
    async def run():
        double = SocketDouble(["answer"])
        address = await double.start()
        double.server.close()
        await double.server.wait_closed()

        async def use(link):
            return await link.ask(Send(operation(), 2.0, 1.0))

        return await with_link(address, use)

    error = asyncio.run(run()).failure()
    assert (error.outcome, error.code) == (Outcome.NOT_RUN, ErrorCode.CONNECTION)


def test_late_answer_is_not_read_by_the_next_request():
    """Guards against an answer that arrives after its request has timed out."""

    async def run():
        double = SocketDouble(["answer", "silent", "answer"])
        address = await double.start()

        async def use(link):
            first = await link.ask(Send(pool(1), 2.0, 1.0))
            silent = await link.ask(Send(pool(2), 2.0, 0.05))
            for writer in double.writers:
                if not writer.is_closing():
                    writer.write(answer_of(double.bodies[1]))
            return first, silent, await link.ask(Send(pool(3), 2.0, 1.0))

        return double, await with_link(address, use)

    double, (first, silent, third) = asyncio.run(run())
    assert isinstance(first, Success)
    assert silent.failure().outcome is Outcome.UNKNOWN
    assert third == Success(StageReply(Attempt("r1", "encoder", 3), "x", "d"))
    assert double.connections == 2


def test_lost_answer_is_read_back_from_the_standin():
    """Guards against an operation that ran, but whose lost answer is not recovered."""

    async def run():
        app = build_service("desk")
        listener = await serve(app, "127.0.0.1", 0, shutdown_s=0)
        app.active = {"lose_answers": 1}

        async def use(link):
            sent = await link.ask(Send(operation(), 2.0, 1.0))
            return sent, await link.ask(ReadRecord("depot/k", 1.0))

        results = await with_link(listener.address, use)
        await listener.stop()
        return results

    sent, record = asyncio.run(run())
    assert sent.failure().outcome is Outcome.UNKNOWN
    assert record == Success(OperationReply("r1", {"done": "book"}))


def test_dropped_request_has_no_effect_at_the_standin():
    async def run():
        app = build_service("desk")
        listener = await serve(app, "127.0.0.1", 0, shutdown_s=0)
        app.active = {"drop_before": 1}

        async def use(link):
            sent = await link.ask(Send(operation(), 2.0, 1.0))
            return sent, await link.ask(ReadRecord("depot/k", 1.0))

        results = await with_link(listener.address, use)
        await listener.stop()
        return results

    sent, record = asyncio.run(run())
    assert (sent.failure().outcome, record) == (Outcome.UNKNOWN, Success(None))


def test_connector_raises_before_the_request_is_written():
    def refuse():
        raise NotSentError("no")

    async def run():
        double = SocketDouble(["answer"])
        connector = SingleCallConnector(refuse)
        with pytest.raises(NotSentError):
            await aiosonic.HTTPClient(connector).post(f"http://{await double.start()}/", json={})
        return connector.sent, double.bodies

    assert asyncio.run(run()) == (False, [])


@pytest.mark.parametrize(
    ("status", "outcome"),
    [(503, Outcome.NOT_RUN), (409, Outcome.NOT_RUN), (500, Outcome.UNKNOWN)],
)
def test_order_that_ends_in_a_server_error_may_have_been_carried_out(status, outcome):
    """A 500 counted as not run, so that an order could be given twice."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n" % status)

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        link = TargetLink(Target("a", f"{host}:{port}", "dc", "engine", 1), SteppedClock())
        task = asyncio.create_task(link.run())
        try:
            return await link.ask(SendOrder({}, 1, 5.0, lambda: True))
        finally:
            task.cancel()
            server.close()

    assert asyncio.run(run()).failure().outcome is outcome


def test_repeated_response_does_not_confirm_an_order():
    """A late copy of an earlier response passed for the target's confirmation of the order."""

    async def serve(reader, writer):
        earlier = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"POST /orders"):
                    writer.write(earlier + b"HTTP/1.1 409 X\r\ncontent-length: 0\r\n\r\n")
                    break
                earlier = b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\n{}"
                writer.write(earlier)
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()

        async def use(link):
            assert isinstance(await link.ask(ReadLoad()), Success)
            return await link.ask(SendOrder({}, 1, 5.0, lambda: True))

        try:
            return await with_link(f"{host}:{port}", use)
        finally:
            server.close()

    assert asyncio.run(run()).failure().outcome is Outcome.NOT_RUN
