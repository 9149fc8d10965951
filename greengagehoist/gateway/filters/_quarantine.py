"""Filter that refuses requests that end replicas, or whose prompt has a part that does."""

from collections.abc import Iterable

from greengagehoist.gateway import Exchange, NotRun, Proceed, Reply, failure_reply
from greengagehoist.gateway.controllers import (
    QuarantineView,
    ReportAnswer,
    ReportBroken,
    RequestTrial,
    ServiceView,
    TrialDecision,
    format_key,
)
from greengagehoist.gateway.filters._request_key import request_key_of
from greengagehoist.quarantine import prompt_keys
from greengagehoist.replicas import Replica
from greengagehoist.utils import Clock, Controller, Published, log_event

# An answer that was broken off this long after its first event has not ended its replica: that
# happens when a replica begins to write.
BEGINNING_S = 0.3
MIN_RETRY_AFTER_S = 1.0
REASON = "in quarantine: replicas ended when they answered this request or a part of its prompt"


class QuarantineGate:
    """What the filters ask and tell the quarantine.

    :param view: published state of the quarantine.
    """

    def __init__(self, quarantine: Controller, view: Published[QuarantineView], clock: Clock):
        self.quarantine = quarantine
        self.view = view
        self.clock = clock

    async def admit(self, exchange: Exchange) -> NotRun | None:
        """Return a refusal, or None if the request may run, perhaps as a trial."""
        view = self._service_view(exchange)
        parts = _suspects(exchange) if view is not None and view.held else frozenset()
        held = view.held.keys() & parts if parts else frozenset()
        if not held:
            return None
        now = self.clock.monotonic()
        wait_s = max(view.held[key].trial_at_with(parts) - now for key in held)
        decision = TrialDecision(False, wait_s)
        if wait_s <= 0:
            decision = await self.quarantine.ask(RequestTrial(exchange.service, parts))
        if decision.granted:
            exchange.progress.on_trial = True
            log_event("trial_started", request=exchange.req.request_id, parts=_format(held))
            return None
        _log_refused(exchange, held)
        return NotRun(REASON, max(MIN_RETRY_AFTER_S, decision.retry_after_s))

    def refuse_send(self, exchange: Exchange) -> Reply | None:
        """Return a refusal of a send if a part was put in quarantine since the request arrived."""
        progress, view = exchange.progress, self._service_view(exchange)
        if view is None or not view.held or (progress.on_trial and not progress.sends):
            return None
        held = view.held.keys() & _suspects(exchange)
        if not held:
            return None
        _log_refused(exchange, held)
        wait_s = max(view.held[key].trial_at for key in held) - self.clock.monotonic()
        return failure_reply(progress, REASON, max(MIN_RETRY_AFTER_S, wait_s))

    async def report_broken(self, exchange: Exchange, replica: Replica) -> None:
        """Report an answer that was broken off, and wait for the conclusions.

        A further send must not end another replica meanwhile.
        """
        begun_at = exchange.progress.answer_begun_at
        keys: tuple[int, ...] = ()
        if begun_at is None or self.clock.monotonic() - begun_at <= BEGINNING_S:
            keys = _crash_keys(exchange)
        await self.quarantine.ask(ReportBroken(exchange.service, replica, keys))

    def report_answer(self, exchange: Exchange) -> None:
        """Report a complete answer if it says something about suspected parts."""
        view = self._service_view(exchange)
        if view is None or not (view.suspected or view.awaiting_others):
            return
        parts = _suspects(exchange)
        if view.suspected & parts or view.awaiting_others - parts:
            self.quarantine.tell(ReportAnswer(exchange.service, parts))

    def _service_view(self, exchange: Exchange) -> ServiceView | None:
        return self.view.value.services.get(exchange.service)


class QuarantineFilter:
    """Refuses requests in quarantine before any work is done for them."""

    def __init__(self, gate: QuarantineGate):
        self.gate = gate

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> Reply:
        """Refuse the request or forward it."""
        refusal = await self.gate.admit(exchange)
        return refusal if refusal is not None else await proceed(exchange)


def _crash_keys(exchange: Exchange) -> tuple[int, ...]:
    """Return what may have ended a replica: shared parts of the prompt, then the request itself.

    The last key tells requests apart; crashes under the same one may be repeats by chance.
    """
    parts = exchange.req.prompt.parts if exchange.req.prompt is not None else ()
    keys, own = prompt_keys(part.part_id for part in parts), request_key_of(exchange)
    return (*keys[:-1], own, keys[-1] if keys else own)


def _suspects(exchange: Exchange) -> frozenset[int]:
    """Return the keys of the request and of the parts that its prompt may share with others."""
    return frozenset(_crash_keys(exchange)[:-1])


def _format(keys: Iterable[int]) -> str:
    return ",".join(format_key(key) for key in sorted(keys))


def _log_refused(exchange: Exchange, held: Iterable[int]) -> None:
    log_event(
        "request_refused",
        request=exchange.req.request_id,
        reason="request or prompt part in quarantine",
        parts=_format(held),
    )
