"""Controller that stores claims on idempotency keys in the table."""

import random
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Success

from greengagehoist.base import ErrorCode, not_run
from greengagehoist.claims import (
    Claim,
    Insert,
    Own,
    Replace,
    StoredClaim,
    decide_claim,
    final_write_version,
)
from greengagehoist.controllers._drain import Drain
from greengagehoist.platform_client import ReadRow, Refused, Row, WriteRow, Written, full_jitter
from greengagehoist.utils import Clock, Controller, Reply, log_event

PREFIX = "claim/"
OPEN_ATTEMPTS = 4
RETRY_BASE_S = 0.2
RETRY_MAX_S = 30.0
MAX_PENDING = 10_000


class OpenClaim(NamedTuple):
    """Ask to claim a key; replied by ``Result[Decision, StepError]``.

    The caller may send its request only after a reply of ``Own``.

    :param key: scoped idempotency key, see :func:`greengagehoist.claims.scoped_key`.
    :param until: monotonic time in seconds after which no further write is started.
    :param version: version of the caller's row if it already has one for another target, else 0.
    """

    key: str
    claim: Claim
    until: float
    version: int = 0


class ReadClaim(NamedTuple):
    """Ask for a claim; replied by ``Result[StoredClaim | None, StepError]``."""

    key: str


class CloseClaim(NamedTuple):
    """Write the final state of a claim; retried until the table has stored it.

    Replied by True if the first attempt succeeded, else by False before the retries.

    :param version: version of the owner's row, or None to read it first.
    """

    key: str
    claim: Claim
    version: int | None


class GetPendingClaims(NamedTuple):
    """Ask for the number of final states not yet stored in the table; replied by ``int``."""


class _PendingChanged(NamedTuple):
    change: int


class ClaimController(Controller):
    """Inserts claims and writes final states; reads the row back if a response was lost."""

    def __init__(self, platform: Controller, clock: Clock, rng: random.Random):
        super().__init__("claims")
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self._pending = 0
        self._drain_reply: Reply | None = None

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case OpenClaim():
                self.start(self._open(message, reply))
            case ReadClaim(key):
                self.start(self._reply_read(key, reply))
            case CloseClaim() if self._pending >= MAX_PENDING:
                log_event("claim_close_dropped", "ERROR", key=message.key)
                reply(False)
            case CloseClaim():
                self._pending += 1
                self.start(self._close(message, reply))
            case GetPendingClaims():
                reply(self._pending)
            case _PendingChanged(change):
                self._pending += change
                self._check_drained()
            case Drain():
                self._drain_reply = reply
                self._check_drained()

    def _check_drained(self) -> None:
        if self._drain_reply is not None and not self._pending:
            self._drain_reply(None)
            self._drain_reply = None

    async def _open(self, message: OpenClaim, reply: Reply) -> None:
        expect = message.version
        for _ in range(OPEN_ATTEMPTS):
            if self.clock.monotonic() >= message.until:
                break
            match await self._write(message.key, message.claim, expect):
                case Success(Written(version)):
                    reply(Success(Own(version)))
                    return
                case Success(Refused(row)):
                    found = Success(_decode(row))
                case _:
                    found = await self._read(message.key)
            match found:
                case Success(stored):
                    decision = decide_claim(stored, message.claim)
                    match decision:
                        case Insert():
                            expect = 0
                        case Replace(version):
                            expect = version
                        case _:
                            reply(Success(decision))
                            return
        text = "could not determine the state of the claim in the table"
        reply(Failure(not_run("claim", ErrorCode.PLATFORM, text, peer="table")))

    async def _reply_read(self, key: str, reply: Reply) -> None:
        reply(await self._read(key))

    async def _close(self, message: CloseClaim, reply: Reply) -> None:
        version, failures = message.version, 0
        while not await self._try_close(message, version):
            reply(False)
            version = None
            delay = full_jitter(self.rng, failures, RETRY_BASE_S, RETRY_MAX_S)
            await self.clock.sleep(delay)
            failures += 1
        reply(True)
        self.tell(_PendingChanged(-1))

    async def _try_close(self, message: CloseClaim, version: int | None) -> bool:
        """Try to write the final state; return True if the row needs no further write."""
        if version is None:
            match await self._read(message.key):
                case Success(stored):
                    version = final_write_version(stored, message.claim)
                case _:
                    return False
            if version is None:
                return True
        match await self._write(message.key, message.claim, version):
            case Success(Written()):
                return True
            case Success(Refused(row)):
                return final_write_version(_decode(row), message.claim) is None
            case _:
                return False

    async def _read(self, key: str) -> Any:
        result = await self.platform.ask(ReadRow(PREFIX + key))
        return result.map(lambda found: _decode(found.rows[0]) if found.rows else None)

    async def _write(self, key: str, claim: Claim, expect: int) -> Any:
        return await self.platform.ask(WriteRow(PREFIX + key, claim._asdict(), expect))


def _decode(row: Row | None) -> StoredClaim | None:
    if row is None:
        return None
    names = {name: row.value.get(name) for name in Claim._fields}
    return StoredClaim(row.version, msgspec.convert(list(names.values()), Claim))
