"""Filter that ends the requests for which a stop has no time left."""

import asyncio

from returns.result import Failure

from greengagehoist.base import (
    ErrorCode,
    Exchange,
    ExchangeResult,
    Proceed,
    StepError,
    not_run,
    unknown,
)

STEP = "drain"


class StopFilter:
    """Answers the requests that still run when a stop's time for answers is over.

    A request of which nothing was sent to a target is reported as not run, any other one as
    unknown.
    """

    def __init__(self):
        self._running: set[asyncio.Timeout] = set()
        self._has_ended = False

    def end_running(self) -> None:
        """End all running requests, and refuse later ones."""
        if self._has_ended:
            return
        self._has_ended = True
        for limit in self._running:
            limit.reschedule(asyncio.get_running_loop().time())

    async def wait_idle(self) -> None:
        """Return at once: the requests are counted until their responses have been sent."""

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> ExchangeResult:
        """Proceed; return a failure if the stop ends first."""
        sent = False

        def mark_sent() -> None:
            nonlocal sent
            sent = True

        if self._has_ended:
            return Failure(_end_error(sent))
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._running.add(limit)
                return await proceed(exchange._replace(mark_sent=mark_sent))
        except TimeoutError:
            if not limit.expired():
                raise
        finally:
            self._running.discard(limit)
        return Failure(_end_error(sent))


def _end_error(sent: bool) -> StepError:
    if sent:
        text = "the daemon stopped before the answer was complete"
        return unknown(STEP, ErrorCode.DRAINING, text)
    return not_run(STEP, ErrorCode.DRAINING, "the daemon is stopping; use another one")
