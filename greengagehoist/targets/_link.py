"""Controller that owns the connections to one target."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple
from urllib.parse import quote

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError, ConnectionPoolAcquireTimeout, ConnectTimeout
from aiosonic.timeout import Timeouts
from returns.result import Failure, Result, Success

from greengagehoist.base import ErrorCode, Outcome, StepError
from greengagehoist.targets._adaptive_timeout import AdaptiveTimeout
from greengagehoist.targets._calls import (
    Attempt,
    Chunk,
    GenerateCall,
    LoadWire,
    OperationCall,
    PoolCall,
    Send,
    StreamEnd,
    Target,
)
from greengagehoist.targets._connector import (
    NotSentError,
    SingleCallConnector,
    open_client,
    open_pooled_client,
    read_body,
)
from greengagehoist.targets._stream import StreamReader
from greengagehoist.targets._wire import (
    LEAVING,
    body_of,
    decode_line,
    decode_operation,
    decode_record,
    decode_stage,
    merge_chunks,
    path_of,
    refusal_reason,
)
from greengagehoist.utils import Clock, Controller, Reply, log_event

CONNECT_TIMEOUT_S = 0.5
LOAD_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
REFUSED_STATUS = 503
NO_RECORD_STATUS = 404
KEY_REUSED_STATUS = 422

# Errors raised before any byte of the request is sent.
_NOT_SENT = (NotSentError, ConnectTimeout, ConnectionRefusedError, ConnectionPoolAcquireTimeout)
# A body that is nested too deeply raises RecursionError.
_CALL_ERRORS = (
    AiosonicError,
    OSError,
    EOFError,
    ValueError,
    LookupError,
    RecursionError,
    msgspec.MsgspecError,
)


class ReadLoad:
    """Ask a target link for the target's load report."""


class SendOrder(NamedTuple):
    """Ask a target link to send an order; replied by ``Result[None, StepError]``.

    :param fence: fencing number of the issuer's lease.
    :param timeout: seconds for the whole call.
    :param may_send: called immediately before the order is sent; if it returns False, the order
        is not sent.
    """

    order: dict[str, Any]
    fence: int
    timeout: float
    may_send: Callable[[], bool]


class TargetLeaving(NamedTuple):
    """Tell the link's owner that the target refused a call because it is leaving."""

    target: Target


class ReadRecord(NamedTuple):
    """Ask for the result that the target has stored for an idempotency key.

    Replied by ``Result[OperationReply | None, StepError]``, None if the operation has not run
    yet. A failure with code ``not_found`` means that the target does not store results.

    :param timeout: seconds for the call.
    """

    key: str
    timeout: float


class Cancel(NamedTuple):
    """Cancel an attempt whose result is no longer needed; never used for operations."""

    attempt: Attempt


class TargetLink(Controller):
    """Sends calls to one target over its own connections.

    :param owner: receives :class:`TargetLeaving`, or None.
    """

    def __init__(self, target: Target, clock: Clock, owner: Controller | None = None):
        super().__init__(f"target:{target.name}")
        self.target = target
        self.clock = clock
        self.owner = owner
        self._client: aiosonic.HTTPClient | None = None
        self._calls: dict[Attempt, asyncio.Task] = {}
        self._response_timeout = AdaptiveTimeout()
        self._stream_idle_timeout = AdaptiveTimeout()

    def handle(self, message: Any, reply: Reply) -> None:
        """Start the call that ``message`` asks for."""
        match message:
            case Send(OperationCall() as call):
                self.start(self._send_operation(call, message, reply))
            case Send():
                attempt = message.call.attempt
                task = self.start(self._send(message, reply))
                self._calls[attempt] = task
                task.add_done_callback(lambda _: self._calls.pop(attempt, None))
            case ReadRecord():
                self.start(self._read_record(message, reply))
            case Cancel(attempt):
                self._cancel(attempt)
            case ReadLoad():
                self.start(self._read_load(reply))
            case SendOrder():
                self.start(self._send_order(message, reply))

    async def _send(self, message: Send, reply: Reply) -> None:
        client = self._pooled_client()
        try:
            async with asyncio.timeout(message.timeout):
                reply(await self._exchange(client, message))
                return
        except _NOT_SENT as exc:
            reply(self._failure(message.call.attempt.stage, exc, Outcome.NOT_RUN))
        except (TimeoutError, *_CALL_ERRORS) as exc:
            reply(self._failure(message.call.attempt.stage, exc, Outcome.UNKNOWN))
        except asyncio.CancelledError:
            await self._discard(client)
            raise
        await self._discard(client)

    async def _exchange(self, client: aiosonic.HTTPClient, message: Send) -> Result:
        call = message.call
        stream = isinstance(call, GenerateCall)
        with self._measured(self._response_timeout):
            response = await self._post(client, message, stream=stream)
        try:
            if response.status_code == REFUSED_STATUS:
                reason = refusal_reason(await read_body(response))
                if reason:
                    return Failure(self._refusal(call.attempt.stage, reason))
            if response.status_code == KEY_REUSED_STATUS and isinstance(call, OperationCall):
                return Failure(self._key_reused(call.attempt.stage))
            if response.status_code != 200:
                raise ValueError(f"unexpected status {response.status_code}")
            match call:
                case GenerateCall():
                    return Success(await self._read_stream(call, response, message))
                case PoolCall():
                    return Success(decode_stage(await read_body(response)))
                case OperationCall():
                    return Success(decode_operation(await read_body(response)))
        finally:
            if stream:
                await response.aclose()

    async def _post(self, client: aiosonic.HTTPClient, message: Send, *, stream: bool) -> Any:
        timeouts = Timeouts(
            sock_connect=min(CONNECT_TIMEOUT_S, message.timeout),
            sock_read=min(message.max_idle_s, self._response_timeout.current()),
            request_timeout=None if stream else message.timeout,
        )
        url = f"http://{self.target.address}{path_of(message.call)}"
        body = body_of(message.call)
        return await client.request(url, "POST", json=body, timeouts=timeouts, stream=stream)

    @contextlib.contextmanager
    def _measured(self, timeout: AdaptiveTimeout) -> Iterator[None]:
        start = self.clock.monotonic()
        try:
            yield
        finally:
            timeout.observe(self.clock.monotonic() - start)

    async def _send_operation(self, call: OperationCall, message: Send, reply: Reply) -> None:
        """Send an operation over a new connection.

        If the target closes a pooled connection, the client can't tell whether the request was
        received.
        """

        def check_deadline() -> None:
            if self.clock.monotonic() >= call.deadline:
                raise NotSentError("deadline passed before the request was sent")

        connector = SingleCallConnector(check_deadline)
        client = aiosonic.HTTPClient(connector)
        try:
            async with asyncio.timeout(message.timeout):
                reply(await self._exchange(client, message))
        except (NotSentError, TimeoutError, *_CALL_ERRORS) as exc:
            outcome = Outcome.UNKNOWN if connector.sent else Outcome.NOT_RUN
            reply(self._failure(call.attempt.stage, exc, outcome))
        finally:
            await client.aclose()

    async def _read_stream(self, call: GenerateCall, response: Any, message: Send) -> StreamEnd:
        async with StreamReader(response, self._stream_idle_timeout, message.max_idle_s) as reader:
            while True:
                lines = await reader.read_lines()
                position = 0
                for item in merge_chunks(map(decode_line, lines)):
                    match item:
                        case Chunk(offset=offset, tokens=tokens):
                            await call.sink(item)
                            position = offset + len(tokens)
                        case StreamEnd():
                            await reader.finish()
                            return item
                if message.read_interval_s and 0 < position < call.max_tokens:
                    await reader.pause(message.read_interval_s)

    async def _read_record(self, message: ReadRecord, reply: Reply) -> None:
        client = open_client()
        url = f"http://{self.target.address}/operations/by-key/{quote(message.key, safe='')}"
        try:
            response = await client.request(url, "GET", timeouts=_timeouts(message.timeout))
            if response.status_code == NO_RECORD_STATUS:
                text = "target does not store results by idempotency key"
                error = StepError("record", self.name, Outcome.UNKNOWN, ErrorCode.NOT_FOUND, text)
                reply(Failure(error))
                return
            if response.status_code != 200:
                raise ValueError(f"unexpected status {response.status_code}")
            reply(Success(decode_record(await read_body(response))))
        except (TimeoutError, *_CALL_ERRORS) as exc:
            reply(self._failure("record", exc, Outcome.UNKNOWN))
        finally:
            await client.aclose()

    def _cancel(self, attempt: Attempt) -> None:
        task = self._calls.get(attempt)
        if task is not None:
            task.cancel()
        self.start(self._send_cancel(attempt))

    async def _send_cancel(self, attempt: Attempt) -> None:
        client = open_client()
        url = f"http://{self.target.address}/cancel"
        timeouts = _timeouts(CANCEL_TIMEOUT_S)
        try:
            await client.request(url, "POST", json=attempt._asdict(), timeouts=timeouts)
        except (TimeoutError, *_CALL_ERRORS) as exc:
            log_event("cancel_failed", peer=self.target.name, error=type(exc).__name__)
        finally:
            await client.aclose()

    async def _read_load(self, reply: Reply) -> None:
        client = self._pooled_client()
        url = f"http://{self.target.address}/load"
        try:
            response = await client.request(url, "GET", timeouts=_timeouts(LOAD_TIMEOUT_S))
            reply(Success(msgspec.json.decode(await read_body(response), type=LoadWire)))
        except (TimeoutError, *_CALL_ERRORS) as exc:
            reply(self._failure("load", exc, Outcome.NOT_RUN))
            await self._discard(client)
        except asyncio.CancelledError:
            await self._discard(client)
            raise

    async def _send_order(self, message: SendOrder, reply: Reply) -> None:
        limit = message.timeout
        timeouts = Timeouts(min(CONNECT_TIMEOUT_S, limit), limit, limit, limit)
        body = {"order": message.order, "fence": message.fence}
        if not message.may_send():
            reply(Failure(self._order_error(Outcome.NOT_RUN, "the issuer's lease is expiring")))
            return
        # Replies to orders carry no id. On a kept connection, an earlier response could pass for one.
        client = open_client()
        try:
            async with asyncio.timeout(limit):
                url = f"http://{self.target.address}/orders"
                response = await client.request(url, "POST", json=body, timeouts=timeouts)
            if response.status_code == 200:
                reply(Success(None))
                return
            # A target that fails with another status may have carried out the order before.
            refused = 400 <= response.status_code < 500 or response.status_code == REFUSED_STATUS
            outcome = Outcome.NOT_RUN if refused else Outcome.UNKNOWN
            text = f"unexpected status {response.status_code}"
        except _NOT_SENT as exc:
            outcome, text = Outcome.NOT_RUN, type(exc).__name__
        except (TimeoutError, *_CALL_ERRORS) as exc:
            outcome, text = Outcome.UNKNOWN, type(exc).__name__
        finally:
            await client.aclose()
        reply(Failure(self._order_error(outcome, text)))

    def _order_error(self, outcome: Outcome, text: str) -> StepError:
        return StepError("order", self.target.name, outcome, ErrorCode.TARGET_FAILED, text)

    def _pooled_client(self) -> aiosonic.HTTPClient:
        if self._client is None:
            self._client = open_pooled_client()
        return self._client

    async def _discard(self, client: aiosonic.HTTPClient) -> None:
        """Close ``client`` and its connections, so that no later call uses them.

        After a timeout, aiosonic returns the connection to the pool although its response is
        still outstanding, so that a later request could read the response to an earlier one.
        """
        if self._client is client:
            self._client = None
        await client.aclose()

    def _failure(self, step: str, exc: Exception, outcome: Outcome) -> Result[Any, StepError]:
        text = f"{type(exc).__name__} {exc}".rstrip()
        code = ErrorCode.CONNECTION if outcome is Outcome.NOT_RUN else ErrorCode.TARGET_FAILED
        return Failure(StepError(step, self.target.name, outcome, code, text))

    def _refusal(self, step: str, reason: str) -> StepError:
        if reason == LEAVING and self.owner is not None:
            self.owner.tell(TargetLeaving(self.target))
        text = f"target refused new work: {reason}"
        peer = self.target.name
        return StepError(step, peer, Outcome.NOT_RUN, ErrorCode.UNAVAILABLE, text)

    def _key_reused(self, step: str) -> StepError:
        text = "the key was used for another request"
        return StepError(step, self.target.name, Outcome.NOT_RUN, ErrorCode.KEY_REUSED, text)


def _timeouts(seconds: float) -> Timeouts:
    return Timeouts(min(CONNECT_TIMEOUT_S, seconds), seconds, seconds, seconds)
