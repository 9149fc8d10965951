"""Controller that owns the connections to the platform."""

import asyncio
import math
import random
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

import aiosonic
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts
from returns.result import Failure, Result, Success

from greengagehoist.base import (
    Bucket,
    ErrorCode,
    Outcome,
    StepError,
    change_rate,
    not_run,
    try_acquire,
)
from greengagehoist.http1 import BODY_PROGRESS, BufferedConnection
from greengagehoist.platform_client._breaker import (
    MAX_OPEN_S,
    Breaker,
    admit,
    record_result,
)
from greengagehoist.platform_client._rates import (
    READS_PER_S,
    WRITES_PER_S,
    share,
)
from greengagehoist.platform_client._types import (
    DeleteRow,
    DeploymentRead,
    EraChanged,
    Revision,
    SetVmCount,
    WriteRow,
)
from greengagehoist.platform_client._wire import CALL_TIMEOUT_S, TABLE_CODEC, HttpCall
from greengagehoist.utils import Clock, Controller, Published, Reply, log_event

# Longest wait for the next bytes of a response that has begun.
STALL_TIMEOUT_S = 1.0
# A response that is slower than this from its beginning on is given up. It is a tenth of the narrowest
# link, as other transfers use the link too.
MIN_BYTES_PER_S = 62_500
LARGE_BODY_BYTES = 32 * 1024
CONNECT_TIMEOUT_S = 0.5
POOL_SIZE = 64
MAX_WAITING_CALLS = 256
# Calls that the rate limit would delay for longer are refused at once.
MAX_RATE_WAIT_S = 2.0

_CALL_ERRORS = (AiosonicError, OSError, EOFError, ValueError, LookupError, TypeError)


class _WaitElapsed(NamedTuple):
    message: Any
    reply: Reply


class _CallEnded(NamedTuple):
    ok: bool
    client: aiosonic.HTTPClient
    sent_at: float


class _BodyTimeout:
    """Moves the time-out of a call while the body of its response arrives.

    :param arriving: published number of large bodies that are arriving.
    """

    def __init__(self, limit: asyncio.Timeout, arriving: Published[int]):
        self.limit = limit
        self.arriving = arriving
        self.is_large = False
        self.first_end = limit.when() or 0.0
        self.arrived = 0

    def extend(self, size: int) -> None:
        """Take note of ``size`` more bytes."""
        self.arrived += size
        if not self.is_large and self.arrived >= LARGE_BODY_BYTES:
            self.is_large = True
            self.arriving.value += 1
        if self.limit.expired():
            return
        now = asyncio.get_running_loop().time()
        latest = self.first_end + self.arrived / MIN_BYTES_PER_S
        self.limit.reschedule(max(self.first_end, min(now + STALL_TIMEOUT_S, latest)))

    def end(self) -> None:
        """Take note of the end of the call."""
        self.arriving.value -= self.is_large


class CallCodec(Protocol):
    """Encodes platform calls as HTTP requests and decodes their responses."""

    def is_write(self, message: Any) -> bool:
        """Return True if the call counts against the write rate limit."""

    def encode(self, message: Any) -> HttpCall:
        """Return the HTTP request of a message.

        :raises ValueError: if the message is unknown.
        """

    def read_era(self, headers: Mapping[str, str]) -> int:
        """Return the era of the table that a response states.

        :raises ValueError: if the statement is malformed.
        """

    def decode(self, message: Any, status: int, content: bytes, era: int = 0) -> Any:
        """Return the reply to a message.

        :param era: era of the table that the response states.
        :raises ValueError: if the content is malformed.
        """


class DeploymentCodec(CallCodec, Protocol):
    """Also decodes the operator's configuration that another daemon has read."""

    def read_deployment(self, source: str, row: Revision) -> DeploymentRead:
        """Decode a configuration.

        :param source: the configuration as the operator wrote it.
        :param row: revision of its row.
        :raises ValueError: if it is malformed.
        """


class PlatformController(Controller):
    """Sends calls to the platform within this daemon's share of the rate limits.

    :param address: ``ip:port`` of the platform.
    :param codec: encoding of the calls.
    :param max_open_s: maximum time that the circuit breaker stays open before a probe, in seconds.
    :param followers: controllers that receive :class:`EraChanged`.
    :ivar failed_at: time at which the newest call that failed was sent.
    :ivar arriving: published number of large bodies that are arriving.
    :ivar received_bytes: bytes of the bodies of all responses.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        rng: random.Random,
        codec: CallCodec = TABLE_CODEC,
        max_open_s: float = MAX_OPEN_S,
        followers: tuple[Controller, ...] = (),
    ):
        super().__init__("platform")
        self.address = address
        self.clock = clock
        self.rng = rng
        self.codec = codec
        self.max_open_s = max_open_s
        self.followers = followers
        self.failed_at: Published[float] = Published(-math.inf)
        self.received_bytes = 0
        self.arriving: Published[int] = Published(0)
        self._client: aiosonic.HTTPClient | None = None
        self._breaker = Breaker()
        self._buckets = {
            True: Bucket(WRITES_PER_S, WRITES_PER_S, clock.monotonic()),
            False: Bucket(READS_PER_S, READS_PER_S, clock.monotonic()),
        }
        self._waiting = 0
        self._era: int | None = None
        self._rejecting = False

    def handle(self, message: Any, reply: Reply) -> None:
        """Start a call or process the end of one."""
        match message:
            case _CallEnded():
                self._record_end(message)
            case _WaitElapsed():
                self._waiting -= 1
                self._admit(message.message, message.reply)
            case SetVmCount(vms):
                self._set_vm_count(vms)
            case _:
                self._admit(message, reply)

    def _admit(self, message: Any, reply: Reply) -> None:
        now = self.clock.monotonic()
        if self._conditional_on_other_era(message):
            reply(self._refused(message, "its condition was read in another era"))
            return
        if not admit(self._breaker, now)[1]:
            # A refused call takes no token of the rate limit.
            reply(self._refused(message, f"circuit breaker is {self._breaker.state}"))
            return
        write = self.codec.is_write(message)
        self._buckets[write], wait = try_acquire(self._buckets[write], now)
        if wait > 0:
            if self._waiting >= MAX_WAITING_CALLS or wait > MAX_RATE_WAIT_S:
                reply(self._refused(message, "over this daemon's share of the rate limit"))
                return
            self._waiting += 1
            self.start(self._wait_for_rate(message, reply, wait))
            return
        self._breaker, _ = admit(self._breaker, now)
        if self._client is None:
            self._client = _open_client()
        self.start(self._call(self._client, message, reply))

    def _conditional_on_other_era(self, message: Any) -> bool:
        match message:
            case WriteRow(era=era) | DeleteRow(era=era):
                return self._era is not None and era != self._era
        return False

    async def _wait_for_rate(self, message: Any, reply: Reply, wait: float) -> None:
        await self.clock.sleep(wait)
        self.tell(_WaitElapsed(message, reply))

    async def _call(self, client: aiosonic.HTTPClient, message: Any, reply: Reply) -> None:
        ok, sent_at = False, self.clock.monotonic()
        try:
            result = Success(await self._send(client, message))
            ok = True
        except (TimeoutError, *_CALL_ERRORS) as exc:
            result = self._failure(message, exc)
        except Exception as exc:
            # Without a reply, the caller would never make another call.
            reply(self._failure(message, exc))
            raise
        finally:
            self.tell(_CallEnded(ok, client, sent_at))
        reply(result)
        if not ok:
            await client.aclose()

    async def _send(self, client: aiosonic.HTTPClient, message: Any) -> Any:
        call = self.codec.encode(message)
        content = {"json": call.json} if call.json is not None else {"data": call.data}
        timeouts = Timeouts(CONNECT_TIMEOUT_S, CALL_TIMEOUT_S, CALL_TIMEOUT_S, None)
        url = f"http://{self.address}{call.path}"
        async with asyncio.timeout(call.timeout_s) as limit:
            progress = _BodyTimeout(limit, self.arriving)
            BODY_PROGRESS.set(progress.extend)
            try:
                response = await client.request(url, call.method, timeouts=timeouts, **content)
                era = self._check_era(response.headers)
                if response.status_code not in call.accept:
                    raise ValueError(f"unexpected status {response.status_code}")
                body = await response.content()
            finally:
                progress.end()
        self.received_bytes += len(body)
        return self.codec.decode(message, response.status_code, body, era)

    def _check_era(self, headers: Mapping[str, str]) -> int:
        """Return the era of a response.

        :raises ValueError: if it is malformed, or lower than that of an earlier response: a late
            response of an earlier era says nothing about the present one.
        """
        try:
            era = self.codec.read_era(headers)
            if self._era is not None and era < self._era:
                raise ValueError(f"response of era {era}, the newest is {self._era}")
        except ValueError as exc:
            if not self._rejecting:
                log_event("store_response_rejected", "WARNING", reason=str(exc))
            self._rejecting = True
            raise
        self._rejecting = False
        if era != self._era:
            log_event("store_era_changed", before="" if self._era is None else self._era, era=era)
            if self._era is not None:
                for follower in self.followers:
                    follower.tell(EraChanged(era))
            self._era = era
        return era

    def _record_end(self, message: _CallEnded) -> None:
        now, previous = self.clock.monotonic(), self._breaker.state
        self._breaker = record_result(self._breaker, message.ok, now, self.rng, self.max_open_s)
        if not message.ok:
            self.failed_at.value = max(self.failed_at.value, message.sent_at)
            if self._client is message.client:
                self._client = None
        if self._breaker.state is not previous:
            log_event("platform_breaker", state=self._breaker.state)

    def _set_vm_count(self, vms: int) -> None:
        now = self.clock.monotonic()
        for write, total in ((True, WRITES_PER_S), (False, READS_PER_S)):
            self._buckets[write] = change_rate(self._buckets[write], share(total, vms), now)

    def _refused(self, message: Any, reason: str) -> Result[Any, StepError]:
        text = f"{type(message).__name__} not sent: {reason}"
        return Failure(not_run("platform", ErrorCode.PLATFORM, text, peer=self.address))

    def _failure(self, message: Any, exc: Exception) -> Result[Any, StepError]:
        name = type(message).__name__
        text = f"{name} failed: {type(exc).__name__} {exc}".rstrip()
        return Failure(
            StepError("platform", self.address, Outcome.UNKNOWN, ErrorCode.PLATFORM, text)
        )


def _open_client() -> aiosonic.HTTPClient:
    pools = {":default": PoolConfig(size=POOL_SIZE)}
    return aiosonic.HTTPClient(TCPConnector(pools, connection_cls=BufferedConnection))
