"""Permits of the limits that this daemon owns."""

import math
from collections.abc import Callable
from typing import NamedTuple

from greengagehoist.gateway.controllers._cold_limits import ColdLimits
from greengagehoist.gateway.controllers._ownership import Ownership
from greengagehoist.replicas import (
    MIN_RATE_PER_S,
    Allowance,
    Granted,
    Incarnation,
    PermitQueue,
    Queued,
    Refused,
    SendLimits,
)
from greengagehoist.utils import Clock, Published

# Retry-After while the owner of a limit, or the number of daemons, is unknown.
PENDING_RETRY_AFTER_S = 0.3
PENDING = Refused(PENDING_RETRY_AFTER_S)
# Permits are granted at most this much after their time.
MIN_WAKE_S = 0.002


class SendAsk(NamedTuple):
    """A send that needs a permit.

    :param rank: 0 is the most urgent.
    :param vm: daemon that asks, empty for this one.
    :param number: identifies the ask at that daemon.
    :param max_wait_s: seconds after which the permit is of no use, 0 to ask for one now.
    """

    rank: int
    vm: str
    number: int
    max_wait_s: float


class PermitCalls(NamedTuple):
    """What the controller does for the owner of a limit.

    :param grant: answers an ask that has waited.
    :param refuse: refuses one, with the seconds until there may be room.
    :param wake: calls :meth:`OwnedPermits.wake` after some seconds.
    """

    grant: Callable[[str, int], None]
    refuse: Callable[[str, int, float], None]
    wake: Callable[[Incarnation, float], None]


class OwnedPermits:
    """Grants permits for the replicas whose limits this daemon owns.

    :param view: published limits in force.
    :param limits: limits that replicas have named.
    :param cold: replicas that are cold, with their allowances.
    :ivar refusals: number of permits that were refused.
    """

    def __init__(
        self,
        view: Published[dict[Incarnation, float]],
        limits: SendLimits,
        cold: ColdLimits,
        ownership: Ownership,
        clock: Clock,
        calls: PermitCalls,
    ):
        self.view = view
        self.limits = limits
        self.cold = cold
        self.ownership = ownership
        self.clock = clock
        self.calls = calls
        self.refusals = 0
        self._queues: dict[Incarnation, PermitQueue] = {}
        self._wakes: set[Incarnation] = set()

    def decide(self, key: Incarnation, ask: SendAsk) -> Granted | Queued | Refused:
        """Decide about a send to a replica."""
        decision = self._decide(key, ask)
        self.refusals += isinstance(decision, Refused)
        return decision

    def _decide(self, key: Incarnation, ask: SendAsk) -> Granted | Queued | Refused:
        if key not in self.view.value:
            return Granted()
        self.ownership.look(self.cold.services)
        own, now = self._own_allowance(key), self.clock.monotonic()
        if own is None:
            return PENDING
        if key not in self._queues:
            self._queues[key] = PermitQueue(own.per_s, now, own.burst)
        self._grant_due(key)
        decision = self._queues[key].ask(ask.rank, ask.vm, ask.number, ask.max_wait_s, now)
        self._schedule_wake(key)
        return decision

    def end(self, key: Incarnation) -> None:
        """Grant all that waits for a limit that has ended."""
        queue = self._queues.pop(key, None)
        for ask in queue.grant_all() if queue is not None else ():
            self.calls.grant(ask.vm, ask.number)

    def drop(self, vm: str, number: int) -> None:
        """Forget an ask that waits no longer."""
        for queue in self._queues.values():
            queue.drop(vm, number)

    def keep_only(self, vms: frozenset[str]) -> None:
        """Forget the asks of the daemons that are lost."""
        for queue in self._queues.values():
            for vm in queue.waiting_vms() - vms:
                queue.drop(vm)

    def wake(self, key: Incarnation) -> None:
        """Grant what is due at a time for which a wake was asked for."""
        self._wakes.discard(key)
        self._grant_due(key)

    def grant_due(self) -> None:
        """Grant what is due after a change of limits, of ownership or of the share."""
        for key in list(self._queues):
            self._grant_due(key)

    def _own_allowance(self, key: Incarnation) -> Allowance | None:
        """Return at which rate this daemon may grant permits, None if it may not grant any now."""
        state, cold = self.limits.state_of(key), None
        if self.cold.is_cold(key, self.clock.monotonic()):
            share = self.ownership.settled_share(self.cold.replicas.service_of(key))
            if not share:
                return None
            whole = self.cold.allowance(key)
            if 2.0 * whole.burst * share < 1.0:
                # Whole permits of many small shares would exceed the allowance together.
                return None
            cold = Allowance(whole.per_s * share, max(1.0, whole.burst * share))
        if state is None or not state.in_force:
            return cold
        rate = max(state.per_s, MIN_RATE_PER_S) * self.ownership.share
        if cold is None:
            return Allowance(rate, None) if rate else None
        return Allowance(min(rate, cold.per_s), min(max(1.0, rate), cold.burst))

    def _grant_due(self, key: Incarnation) -> None:
        queue, now = self._queues.get(key), self.clock.monotonic()
        if queue is None:
            return
        own = self._own_allowance(key)
        if own is not None:
            queue.set_rate(own.per_s, now, own.burst)
        elif self.cold.is_cold(key, now):
            # Another daemon is, or may be, the owner.
            del self._queues[key]
            for ask in queue.grant_all():
                self.refusals += 1
                self.calls.refuse(ask.vm, ask.number, PENDING_RETRY_AFTER_S)
            return
        for ask in queue.grant_due(now):
            self.calls.grant(ask.vm, ask.number)
        self._schedule_wake(key)

    def _schedule_wake(self, key: Incarnation) -> None:
        now = self.clock.monotonic()
        at = self._queues[key].next_at(now)
        if key not in self._wakes and at < math.inf:
            self._wakes.add(key)
            self.calls.wake(key, max(MIN_WAKE_S, at - now))
