"""Task that owns the connections to one target."""

import asyncio
from typing import Any, NamedTuple

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError, ConnectionPoolAcquireTimeout, ConnectTimeout
from aiosonic.timeout import Timeouts
from returns.result import Failure, Result, Success

from greengagehoist.base import ErrorCode, Outcome, StepError
from greengagehoist.targets._calls import (
    Attempt,
    Chunk,
    ChunkWire,
    GenerateCall,
    LoadWire,
    OperationCall,
    OperationReply,
    OperationWire,
    PoolCall,
    Send,
    StageReply,
    StageWire,
    StreamEnd,
    Target,
    TargetCall,
)
from greengagehoist.utils import Controller, Reply

CONNECT_TIMEOUT_S = 0.5
LOAD_TIMEOUT_S = 1.0
LEAVING_STATUS = 503

# Raised before any byte of the request could be sent.
_NOT_SENT = (ConnectTimeout, ConnectionRefusedError, ConnectionPoolAcquireTimeout)
_BROKEN = (AiosonicError, OSError, EOFError, ValueError, msgspec.MsgspecError)


class ReadLoad:
    """Ask a target link for the target's load report."""


class SendOrder(NamedTuple):
    """Ask a target link to send an order; replied by ``Result[None, StepError]``.

    :param fence: fencing number of the issuer's lease.
    :param timeout: seconds for the whole call.
    """

    order: dict[str, Any]
    fence: int
    timeout: float


class RefusedWork(NamedTuple):
    """Tell the link's owner that the target is leaving and refused a call."""

    target: Target


class TargetLink(Controller):
    """Sends calls to one target over its own connections.

    :param owner: receives :class:`RefusedWork`, or None.
    """

    def __init__(self, target: Target, owner: Controller | None = None):
        super().__init__(f"target:{target.name}")
        self.target = target
        self.owner = owner
        self._client: aiosonic.HTTPClient | None = None

    def handle(self, message: Any, reply: Reply) -> None:
        """Start the call of ``message``."""
        match message:
            case Send():
                self.start(self._send(message, reply))
            case ReadLoad():
                self.start(self._read_load(reply))
            case SendOrder():
                self.start(self._send_order(message, reply))

    async def _send(self, message: Send, reply: Reply) -> None:
        try:
            async with asyncio.timeout(message.timeout):
                reply(await self._dispatch(message))
        except _NOT_SENT as exc:
            reply(self._failure(message.call, exc, Outcome.NOT_RUN))
        except (TimeoutError, *_BROKEN) as exc:
            reply(self._failure(message.call, exc, Outcome.UNKNOWN))

    async def _dispatch(self, message: Send) -> Result[Any, StepError]:
        match message.call:
            case PoolCall() as call:
                response = await self._post("/run", _pool_body(call), message)
            case GenerateCall() as call:
                body = _generate_body(call)
                response = await self._post("/generate", body, message, stream=True)
            case OperationCall() as call:
                path = f"/operations/{call.operation}"
                response = await self._post(path, _operation_body(call), message)
        if response.status_code == LEAVING_STATUS and _is_leaving(await response.content()):
            if self.owner is not None:
                self.owner.tell(RefusedWork(self.target))
            return Failure(self._refusal(message.call))
        if response.status_code != 200:
            raise ValueError(f"status {response.status_code}")
        match message.call:
            case PoolCall():
                return Success(_stage_reply(await response.content()))
            case GenerateCall() as call:
                return Success(await self._read_stream(call, response, message.progress))
            case OperationCall():
                wire = msgspec.json.decode(await response.content(), type=OperationWire)
                return Success(OperationReply(wire["request_id"], wire["result"]))

    async def _post(self, path: str, body: dict, message: Send, *, stream: bool = False) -> Any:
        timeouts = Timeouts(
            sock_connect=min(CONNECT_TIMEOUT_S, message.timeout),
            sock_read=message.progress,
            request_timeout=None if stream else message.timeout,
        )
        url = f"http://{self.target.address}{path}"
        return await self._http().request(url, "POST", json=body, timeouts=timeouts, stream=stream)

    def _http(self) -> aiosonic.HTTPClient:
        if self._client is None:
            self._client = aiosonic.HTTPClient()
        return self._client

    async def _read_stream(self, call: GenerateCall, response: Any, progress: float) -> StreamEnd:
        buffer = b""
        chunks = response.read_chunks()
        while True:
            async with asyncio.timeout(progress):
                data = await anext(chunks, None)
            if data is None:
                raise EOFError("stream closed before its end")
            buffer += data
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                end = await _accept_line(call, line)
                if end is not None:
                    return end

    async def _read_load(self, reply: Reply) -> None:
        timeouts = Timeouts(CONNECT_TIMEOUT_S, LOAD_TIMEOUT_S, LOAD_TIMEOUT_S, LOAD_TIMEOUT_S)
        try:
            url = f"http://{self.target.address}/load"
            response = await self._http().request(url, "GET", timeouts=timeouts)
            reply(Success(msgspec.json.decode(await response.content(), type=LoadWire)))
        except (TimeoutError, *_BROKEN) as exc:
            text = f"{type(exc).__name__} {exc}".rstrip()
            reply(
                Failure(
                    StepError("load", self.target.name, Outcome.NOT_RUN, ErrorCode.CONNECTION, text)
                )
            )

    async def _send_order(self, message: SendOrder, reply: Reply) -> None:
        limit = message.timeout
        timeouts = Timeouts(min(CONNECT_TIMEOUT_S, limit), limit, limit, limit)
        body = {"order": message.order, "fence": message.fence}
        try:
            async with asyncio.timeout(limit):
                url = f"http://{self.target.address}/orders"
                response = await self._http().request(url, "POST", json=body, timeouts=timeouts)
            if response.status_code == 200:
                reply(Success(None))
                return
            outcome, text = Outcome.NOT_RUN, f"status {response.status_code}"
        except _NOT_SENT as exc:
            outcome, text = Outcome.NOT_RUN, type(exc).__name__
        except (TimeoutError, *_BROKEN) as exc:
            outcome, text = Outcome.UNKNOWN, type(exc).__name__
        reply(Failure(StepError("order", self.target.name, outcome, ErrorCode.TARGET_FAILED, text)))

    def _failure(
        self, call: TargetCall, exc: Exception, outcome: Outcome
    ) -> Result[Any, StepError]:
        text = f"{type(exc).__name__} {exc}".rstrip()
        code = ErrorCode.CONNECTION if outcome is Outcome.NOT_RUN else ErrorCode.TARGET_FAILED
        return Failure(StepError(call.attempt.stage, self.target.name, outcome, code, text))

    def _refusal(self, call: TargetCall) -> StepError:
        return StepError(
            call.attempt.stage,
            self.target.name,
            Outcome.NOT_RUN,
            ErrorCode.UNAVAILABLE,
            "target refused new work",
        )


def _is_leaving(content: bytes) -> bool:
    """Tell a target that leaves from one that refuses for another reason, such as overload."""
    try:
        return msgspec.json.decode(content, type=dict).get("error") == "leaving"
    except msgspec.MsgspecError:
        return False


async def _accept_line(call: GenerateCall, line: bytes) -> StreamEnd | None:
    wire = msgspec.json.decode(line, type=ChunkWire)
    attempt = Attempt(wire["request_id"], wire["stage"], wire["attempt"])
    if wire.get("end"):
        return StreamEnd(attempt, wire["length"], wire["digest"])
    await call.sink(Chunk(attempt, wire["offset"], tuple(wire["tokens"])))
    return None


def _pool_body(call: PoolCall) -> dict[str, Any]:
    return {**call.attempt._asdict(), "input": call.text, "deadline_ms": call.deadline_ms}


def _generate_body(call: GenerateCall) -> dict[str, Any]:
    return {
        **call.attempt._asdict(),
        "input": call.text,
        "max_tokens": call.max_tokens,
        "offset": call.offset,
        "priority": call.priority,
        "deadline_ms": call.deadline_ms,
    }


def _operation_body(call: OperationCall) -> dict[str, Any]:
    return {
        "request_id": call.attempt.request_id,
        "attempt": call.attempt.attempt,
        "key": call.key,
        "args": call.args,
    }


def _stage_reply(content: bytes) -> StageReply:
    wire = msgspec.json.decode(content, type=StageWire)
    attempt = Attempt(wire["request_id"], wire["stage"], wire["attempt"])
    return StageReply(attempt, wire["output"], wire["digest"])
