"""Filter that sends a request to a replica and relays the answer."""

import asyncio

from greengagehoist.deployment import Idempotent, Streaming
from greengagehoist.gateway import (
    MISDIRECTED,
    Exchange,
    InputsLost,
    MayHaveRun,
    NotRun,
    Proceed,
    Relayed,
    Reply,
    StreamBroken,
    StreamEnded,
    WireFormat,
)
from greengagehoist.gateway._events import EventSplitter
from greengagehoist.gateway.controllers import (
    AnswerBegun,
    AnswerObserved,
    FreeResults,
    LoadReported,
    RequestEnded,
)
from greengagehoist.gateway.filters._buffer_space import BufferSpace
from greengagehoist.gateway.filters._first_event_latency import FirstEventLatency
from greengagehoist.gateway.filters._quarantine import QuarantineGate
from greengagehoist.gateway.filters._replica_choice import ReplicaChooser
from greengagehoist.gateway.filters._retry_budgets import RetryBudgets
from greengagehoist.gateway.filters._send_limits import SendLimitGate
from greengagehoist.gateway.filters._send_log import (
    log_failed_send,
    log_invalid_response,
    log_sent,
    log_withheld,
)
from greengagehoist.gateway.filters._shutdown import ShutdownGate
from greengagehoist.gateway.filters._stream_relay import (
    new_splitter,
    relay_stream,
)
from greengagehoist.http1 import (
    IncompleteError,
    ProtocolError,
    ResponseHead,
    ResponseReader,
    Socket,
    get_header,
    open_socket,
    write_request,
)
from greengagehoist.replicas import Replica
from greengagehoist.retries import (
    AbortAnswer,
    Broken,
    FailUnknown,
    Lost,
    NextStep,
    NotSent,
    RefuseNotRun,
    Rejected,
    SendAgain,
    SendEnd,
    SendState,
    Withheld,
    decide_next,
    is_retryable,
)
from greengagehoist.utils import Clock, Controller, Published

# A connect takes a few milliseconds unless the replica is unreachable or overloaded.
CONNECT_TIMEOUT_S = 0.25
# An idempotent request goes to another replica after this multiple of its target latency.
RESPONSE_TIMEOUT_FACTOR = 3.0
OK = 200
FIRST_ERROR_STATUS = 400
SERVER_ERROR = 500
UNAVAILABLE = 503
# Time that a replica needs to fetch the stage results: a few megabytes at 10 Gbit/s.
INPUT_FETCH_S = 0.03


class ReplicaFilter:
    """Last filter of the chain: sends the request to replicas until one has answered it.

    Each send opens a new connection. After a failure of a reused connection it would be unknown
    whether the request has run.

    :param placement: controller that chooses the replicas.
    :param pools: controller that frees stage results.
    :param gate: learns which prompts replicas end on, and refuses those in quarantine.
    :param limits: knows the limits that replicas name.
    :param shutdown: refuses sends whose answers would outlive the process.
    :param budgets: limit the retries of each service.
    :param first_event_latency: receives the measured times from send to first event.
    :param memory: account of the memory that requests and answers take.
    :param evacuated: published data centres whose replicas get no requests.
    """

    def __init__(
        self,
        placement: Controller,
        pools: Controller,
        gate: QuarantineGate,
        limits: SendLimitGate,
        shutdown: ShutdownGate,
        budgets: RetryBudgets,
        first_event_latency: FirstEventLatency,
        wire: WireFormat,
        clock: Clock,
        memory: Controller,
        evacuated: Published[frozenset[str]] | None = None,
    ):
        self.evacuated = evacuated or Published(frozenset())
        self.first_event_latency = first_event_latency
        self.placement = placement
        self.pools = pools
        self.gate = gate
        self.limits = limits
        self.shutdown = shutdown
        self.chooser = ReplicaChooser(placement, gate, limits, shutdown, clock)
        self.budgets = budgets
        self.wire = wire
        self.clock = clock
        self.memory = memory

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> Reply:
        """Return a replica's answer, or a failure that says whether the request may have run."""
        progress = exchange.progress
        if not progress.sends:
            self.budgets.service_budget(exchange.service).observe_request(self.clock.monotonic())
        splitter = progress.splitter = progress.splitter or new_splitter(exchange)
        while True:
            replica = await self.chooser.choose(exchange)
            if not isinstance(replica, Replica):
                return replica
            end = await self._send(exchange, replica, splitter)
            match end:
                case Withheld():
                    continue
                case Lost() | Broken():
                    await self.gate.report_broken(exchange, replica)
                case NotSent() | Rejected():
                    pass
                case _:
                    if _is_answer(end):
                        self.gate.report_answer(exchange)
                    return end
            reply = self._handle_failed_send(exchange, replica, end)
            if reply is not None:
                return reply

    def _handle_failed_send(
        self, exchange: Exchange, replica: Replica, end: SendEnd
    ) -> Reply | None:
        """Return the reply after a send without an answer, None if the request is sent again."""
        progress = exchange.progress
        progress.may_have_run += isinstance(end, Lost | Broken)
        progress.in_send = False
        progress.sends += 1
        progress.tried |= {replica.replica_id}
        step = self._decide(exchange, end)
        log_failed_send(exchange, replica, end, step, self.clock.monotonic())
        match step:
            case SendAgain():
                self.shutdown.resume_wait(exchange)
                inputs_lost = end == Rejected(inputs_gone=True) or progress.inputs_freed
                return InputsLost() if inputs_lost else None
            case RefuseNotRun():
                return NotRun(
                    "all sends failed before the request ran", self.chooser.retry_after_s(exchange)
                )
            case FailUnknown():
                return MayHaveRun("answer of the replica was lost", False)
            case AbortAnswer():
                return StreamBroken("answer of the replica ended early")

    def _should_retry_error(self, exchange: Exchange, head: ResponseHead) -> bool:
        """Return whether a replica's server error is retried on another replica."""
        progress = exchange.progress
        if head.status < SERVER_ERROR or progress.sends or not is_retryable(exchange.route.kind):
            return False
        remaining_s = exchange.answer_deadline - self.clock.monotonic()
        return exchange.route.max_attempts > 1 and remaining_s > exchange.route.target_latency_s

    def _decide(self, exchange: Exchange, end: SendEnd) -> NextStep:
        now, progress = self.clock.monotonic(), exchange.progress
        budget = self.budgets.service_budget(exchange.service)
        state = SendState(
            progress.may_have_run,
            progress.sends,
            exchange.route.max_attempts,
            exchange.answer_deadline - now,
            True,
            progress.started,
            progress.splitter.can_resume,
        )
        step = decide_next(exchange.route.kind, end, state)
        if not isinstance(step, SendAgain) or isinstance(end, NotSent) or budget.try_acquire(now):
            return step
        return decide_next(exchange.route.kind, end, state._replace(budget_left=False))

    async def _send(
        self, exchange: Exchange, replica: Replica, splitter: EventSplitter
    ) -> Reply | SendEnd | Withheld:
        """Send the request once and always report the outcome to the placement controller."""
        failure, answered = "failed", False
        try:
            end = await self._connect_and_send(exchange, replica, splitter)
            answered = isinstance(end, Relayed | StreamEnded)
            match end:
                case Withheld():
                    failure = "cancelled"
                case NotSent():
                    failure = "unreachable"
                case Rejected():
                    failure = "rejected"
                case Lost() | Broken():
                    failure = "failed"
                case _ if not exchange.progress.in_send:
                    failure = "cancelled"
                case Relayed(head, _) if head.status >= SERVER_ERROR:
                    failure = "failed"
                case _:
                    failure = ""
            return end
        except asyncio.CancelledError:
            failure = "cancelled"
            raise
        finally:
            self.shutdown.end_send(exchange, answered)
            ticket = exchange.progress.ticket
            self.placement.tell(RequestEnded(replica.replica_id, failure, ticket))

    async def _connect_and_send(
        self, exchange: Exchange, replica: Replica, splitter: EventSplitter
    ) -> Reply | SendEnd | Withheld:
        remaining_s = exchange.answer_deadline - self.clock.monotonic()
        try:
            sock = await open_socket(
                replica.host, replica.port, min(remaining_s, CONNECT_TIMEOUT_S)
            )
        except (OSError, TimeoutError):
            return NotSent()
        try:
            remaining_s = exchange.answer_deadline - self.clock.monotonic()
            if remaining_s <= 0:
                return NotSent()
            if replica.zone in self.evacuated.value or not self.limits.may_send(exchange, replica):
                log_withheld(exchange, replica)
                return Withheld()
            refusal = self.shutdown.begin_send(exchange)
            if refusal is not None:
                return refusal
            async with asyncio.timeout(remaining_s):
                return await self._send_on(exchange, replica, sock, remaining_s, splitter)
        except TimeoutError:
            if exchange.progress.started:
                return StreamBroken("request timed out")
            return MayHaveRun("no answer before the request timed out", True)
        finally:
            sock.abort()

    async def _send_on(
        self,
        exchange: Exchange,
        replica: Replica,
        sock: Socket,
        remaining_s: float,
        splitter: EventSplitter,
    ) -> Reply | SendEnd:
        req = exchange.req
        log_sent(exchange, replica, self.clock.monotonic(), remaining_s)
        headers = self.wire.replica_headers(exchange, replica, remaining_s, splitter.last_id)
        sent_at = self.clock.monotonic()
        exchange.progress.answer_begun_at = None
        write_request(sock, req.method, req.target, headers, req.body)
        reader = ResponseReader(sock, req.method)
        free_task = asyncio.ensure_future(self._free_inputs_after_fetch(exchange))
        try:
            async with asyncio.timeout(self._response_timeout_s(exchange)):
                head = await reader.head()
        except ProtocolError as exc:
            log_invalid_response(exchange, replica, exc)
            return Lost()
        except (IncompleteError, TimeoutError):
            return Lost()
        finally:
            free_task.cancel()
        reply = self.wire.read_reply(head)
        if reply.load is not None:
            self.placement.tell(LoadReported(replica.replica_id, reply.load))
        if reply.leaving or reply.pause_s is not None:
            self.placement.tell(AnswerObserved(replica, reply.leaving, reply.pause_s))
        is_own = reply.request_id == req.request_id
        self.limits.observe(replica, head.status, reply, is_own, sent_at)
        if reply.request_id not in (None, req.request_id):
            # The answer belongs to another request, so it says nothing about this one.
            return Lost()
        if reply.not_executed and head.status == UNAVAILABLE:
            waiting, slots = (reply.load.waiting, reply.load.slots) if reply.load else (0, 0)
            now = self.clock.monotonic()
            room = self.chooser.room
            room.observe_rejection(exchange.service, replica.replica_id, waiting, slots, now)
        if reply.not_executed or head.status == MISDIRECTED:
            return Rejected(inputs_gone=head.status == 409 and bool(exchange.inputs))
        if reply.request_id is None:
            return Lost()
        if not reply.signed or get_header(head.headers, b"content-encoding") is not None:
            return Lost()
        if isinstance(exchange.route.kind, Streaming) and head.status == OK:
            self.first_event_latency.observe(exchange.route, self.clock.monotonic() - sent_at)
            return await relay_stream(
                exchange,
                replica,
                head,
                reader,
                self.clock,
                lambda: self._begin_body(exchange, replica),
                BufferSpace(self.memory, exchange.progress, replica.replica_id),
            )
        if exchange.progress.started:
            # The client already has the beginning of another replica's answer.
            return Broken()
        answer = await self._read_answer(exchange, replica, head, reader)
        if isinstance(answer, Relayed):
            took_s = self.clock.monotonic() - sent_at
            self.chooser.room.observe_answer(exchange.service, replica.replica_id, took_s)
        return answer

    def _response_timeout_s(self, exchange: Exchange) -> float | None:
        if isinstance(exchange.route.kind, Idempotent) and exchange.route.max_attempts > 1:
            return RESPONSE_TIMEOUT_FACTOR * exchange.route.target_latency_s
        return None

    async def _read_answer(
        self, exchange: Exchange, replica: Replica, head: ResponseHead, reader: ResponseReader
    ) -> Reply | SendEnd:
        try:
            space = BufferSpace(self.memory, exchange.progress, replica.replica_id)
            body = await reader.whole_body(reserve=space.reserve)
        except ProtocolError as exc:
            log_invalid_response(exchange, replica, exc)
            return Broken()
        except IncompleteError:
            return Broken()
        if self._should_retry_error(exchange, head):
            return Broken()
        if head.status in (408, MISDIRECTED, 429, UNAVAILABLE):
            # These statuses tell the client that the request has not run, but the replica did not
            # state that.
            return Lost()
        return Relayed(head, body)

    async def _free_inputs_after_fetch(self, exchange: Exchange) -> None:
        """Free the stage results after the time that the replica needs to fetch them.

        A replica that has not fetched them by then rejects the request without running it.
        """
        if exchange.inputs:
            await self.clock.sleep(INPUT_FETCH_S)
            self._free_inputs(exchange)

    def _begin_body(self, exchange: Exchange, replica: Replica) -> None:
        self.placement.tell(AnswerBegun(exchange.progress.ticket, replica))
        self._free_inputs(exchange)
        self.shutdown.begin_body(exchange)

    def _free_inputs(self, exchange: Exchange) -> None:
        if exchange.progress.inputs_freed:
            return
        exchange.progress.inputs_freed = bool(exchange.inputs)
        for service, handles in exchange.inputs:
            self.pools.tell(FreeResults(service, handles))


def _is_answer(reply: Reply) -> bool:
    """Return whether a replica has answered the request successfully."""
    match reply:
        case StreamEnded():
            return True
        case Relayed(head, _):
            return head.status < FIRST_ERROR_STATUS
    return False
