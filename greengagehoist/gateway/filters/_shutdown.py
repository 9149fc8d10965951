"""Filter that refuses or hands back the requests that a stopping daemon cannot finish."""

import asyncio
import math
from typing import NamedTuple

from greengagehoist.deployment import Idempotent, NonIdempotent, Streaming
from greengagehoist.gateway import (
    STOPPING_RETRY_AFTER_S,
    Exchange,
    Proceed,
    Progress,
    Reply,
    failure_reply,
)
from greengagehoist.shutdown import AnswerTimes, begin_by
from greengagehoist.utils import Clock, log_event

REASON = "the daemon stops before the answer could end"


class _Waiting(NamedTuple):
    """A request that no replica can have received.

    :param timeout: ends its way through the chain.
    """

    exchange: Exchange
    timeout: asyncio.Timeout


class ShutdownGate:
    """Decides during a stop which requests may be sent to replicas, by the time of their answers.

    A request that arrives soon after the beginning of the stop may be sent if its answer is expected
    to end in time. Callers of a later one have other daemons, and a refusal costs them less than an
    answer that is cut: it is sent only if something bounds its answer.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.times = AnswerTimes()
        self._finish_by: float | None = None
        self._bounded_from = math.inf
        self._waiting: dict[Progress, _Waiting] = {}
        # Of all requests in the chain, also of those that a replica may have received.
        self._timeouts: dict[Progress, asyncio.Timeout] = {}

    def begin_stop(self, finish_by: float, bounded_from: float) -> None:
        """Begin to refuse the requests whose answers would end too late.

        :param finish_by: time on the boot clock by which all answers must have ended.
        :param bounded_from: requests that arrive later are sent only with a bound on their answers.
        """
        self._finish_by, self._bounded_from = finish_by, bounded_from
        for waiting in self._waiting.values():
            self._set_timeout(waiting)

    def refuse(self, exchange: Exchange, before_send_s: float = 0.0) -> Reply | None:
        """Return a refusal if the answer would end too late.

        :param before_send_s: least seconds until the request can be sent.
        """
        if self._finish_by is None:
            return None
        left_s = self._begin_by(exchange) - self.clock.monotonic()
        if before_send_s <= left_s:
            return None
        log_event(
            "request_refused",
            request=exchange.req.request_id,
            reason="stopping",
            bounded=self._needs_bound(exchange),
            expected_ms=round(self._expected_s(exchange) * 1000),
            before_send_ms=round(before_send_s * 1000),
            left_ms=round((self._finish_by - self.clock.monotonic()) * 1000),
        )
        return failure_reply(exchange.progress, REASON, STOPPING_RETRY_AFTER_S)

    def begin_wait(self, exchange: Exchange, timeout: asyncio.Timeout) -> None:
        """Let a request wait for its first send.

        :param timeout: ends the request's way through the chain when it is too late to send it.
        """
        self._timeouts[exchange.progress] = timeout
        self.resume_wait(exchange)

    def resume_wait(self, exchange: Exchange) -> None:
        """Let a request wait for another send."""
        timeout = self._timeouts.get(exchange.progress)
        if timeout is not None:
            self._waiting[exchange.progress] = _Waiting(exchange, timeout)
            self._set_timeout(self._waiting[exchange.progress])

    def begin_send(self, exchange: Exchange) -> Reply | None:
        """Return a refusal, or None if the request must be sent now."""
        refusal = self.refuse(exchange)
        if refusal is not None:
            return refusal
        progress = exchange.progress
        waiting = self._waiting.pop(progress, None)
        if waiting is not None:
            waiting.timeout.reschedule(None)
        progress.in_send = True
        self.times.begin_send(
            progress, exchange.route.name, _tokens_out(exchange), self.clock.monotonic()
        )
        return None

    def begin_body(self, exchange: Exchange) -> None:
        """Record the first bytes of an answer."""
        now = self.clock.monotonic()
        progress = exchange.progress
        self.times.begin_body(progress, exchange.route.name, _count_events(progress), now)

    def end_send(self, exchange: Exchange, answered: bool) -> None:
        """Record the end of a send, if it was begun.

        :param answered: whether the client has the complete answer of the replica.
        """
        now = self.clock.monotonic()
        progress = exchange.progress
        self.times.end_send(progress, exchange.route.name, answered, _count_events(progress), now)

    def forget(self, exchange: Exchange) -> None:
        """Forget a request that has ended."""
        self._waiting.pop(exchange.progress, None)
        self._timeouts.pop(exchange.progress, None)

    def _set_timeout(self, waiting: _Waiting) -> None:
        if self._finish_by is None:
            return
        left_s = self._begin_by(waiting.exchange) - self.clock.monotonic()
        waiting.timeout.reschedule(asyncio.get_running_loop().time() + left_s)

    def _begin_by(self, exchange: Exchange) -> float:
        longest_s = self._expected_s(exchange)
        if self._needs_bound(exchange):
            longest_s = max(longest_s, self._longest_s(exchange))
        return begin_by(self._finish_by, longest_s, exchange.answer_deadline)

    def _needs_bound(self, exchange: Exchange) -> bool:
        """Return whether the request may be sent only if something bounds its answer.

        An answer that has begun is resumed by the estimate, as a refusal would cut it.
        """
        return exchange.arrived > self._bounded_from and not exchange.progress.started

    def _longest_s(self, exchange: Exchange) -> float:
        route = exchange.route
        match route.kind:
            case Idempotent():
                # At the end of the process its client is told to send it again.
                return self._expected_s(exchange)
            case NonIdempotent():
                return math.inf
            case Streaming():
                return self.times.longest_s(
                    route.name,
                    _tokens_out(exchange),
                    route.target_latency_s,
                    _count_events,
                    self.clock.monotonic(),
                )

    def _expected_s(self, exchange: Exchange) -> float:
        route = exchange.route
        return self.times.expected_s(
            route.name, _tokens_out(exchange), route.target_latency_s, self.clock.monotonic()
        )


class ShutdownFilter:
    """Refuses new requests that a stopping daemon cannot finish, and hands back those that wait.

    A request waits until it is sent to a replica; from then on it runs to its end.
    """

    def __init__(self, gate: ShutdownGate):
        self.gate = gate

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> Reply:
        """Refuse the request, or forward it and refuse it when it has waited for too long."""
        refusal = self.gate.refuse(exchange)
        if refusal is not None:
            return refusal
        try:
            async with asyncio.timeout(None) as timeout:
                self.gate.begin_wait(exchange, timeout)
                return await proceed(exchange)
        except TimeoutError:
            if not timeout.expired():
                raise
            log_event("request_handed_back", request=exchange.req.request_id)
            return failure_reply(exchange.progress, REASON, STOPPING_RETRY_AFTER_S)
        finally:
            self.gate.forget(exchange)


def _count_events(progress: Progress) -> int:
    return progress.splitter.events if progress.splitter is not None else 0


def _tokens_out(exchange: Exchange) -> int:
    prompt = exchange.req.prompt
    return prompt.tokens_out if prompt is not None else 0
