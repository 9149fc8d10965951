"""Reservations of one daemon, which borrows missing amounts and units from its peers."""

import itertools
from collections.abc import Container, Hashable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from greengagehoist.config import Config
from greengagehoist.quota._balances import Key
from greengagehoist.quota._leases import LeaseBook, SlotWrite
from greengagehoist.quota._ledger import (
    Draw,
    Ledger,
    Refusal,
    Request,
    Reservation,
    Shortage,
    UnitHold,
)
from greengagehoist.quota._slots import Instant
from greengagehoist.quota._transfers import NegativeCache, order_peers

# Number of peers that a waiting request asks at a time for each missing resource.
FAN_OUT = 2
ROUND_TIMEOUT_S = 0.05
# A peer that could not supply a resource is not asked for it again for this long.
NO_AMOUNT_TTL_S = 1.0
NO_UNIT_TTL_S = 0.1


class AskAmount(NamedTuple):
    """Asks a peer for an amount."""

    id: str
    key: Key
    amount: int


class GiveAmount(NamedTuple):
    """Transfers an amount that the sender has subtracted from its balance; 0 if it had none."""

    id: str
    key: Key
    amount: int


class AskUnit(NamedTuple):
    """Asks a peer for a unit of concurrency for ``lasting`` seconds."""

    id: str
    customer: str
    resource: str
    lasting: float


class LendUnit(NamedTuple):
    """Reply to :class:`AskUnit`."""

    id: str
    lent: bool


class ReturnUnit(NamedTuple):
    """Returns a lent unit to its lender."""

    id: str


Message = AskAmount | GiveAmount | AskUnit | LendUnit | ReturnUnit


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer."""

    vm: str
    message: Message


@dataclass(frozen=True, slots=True)
class Decide:
    """Answer the request ``id``."""

    id: str
    result: Reservation | Shortage | Refusal


@dataclass(frozen=True, slots=True)
class Wake:
    """Call :meth:`Coordinator.wake` after ``delay`` seconds."""

    id: str
    round: int
    delay: float


@dataclass(frozen=True, slots=True)
class Drawn:
    """Amounts were drawn, or returned if they are negative."""

    draws: tuple[Draw, ...]


Output = Send | Decide | Wake | Drawn


class _PendingAsk(NamedTuple):
    """An :class:`AskAmount` or :class:`AskUnit` that a peer has not answered.

    :param kind: the balance key of an amount, or the customer and the resource of a unit.
    """

    request_id: str
    peer: str
    kind: Hashable
    amount: int


@dataclass(slots=True)
class _Waiting:
    """A request that waits for answers of peers.

    :param wait_until: monotonic time after which no more peers are asked.
    :param asked: the peers that were asked, with the kind of resource.
    """

    request: Request
    wait_until: float
    round: int = 0
    borrowed: list[UnitHold] = field(default_factory=list)
    open_asks: set[str] = field(default_factory=set)
    asked: set[tuple[str, Hashable]] = field(default_factory=set)


class Coordinator:
    """Decides on the reservations of one daemon and exchanges amounts and units with its peers.

    It does no I/O: methods return outputs that the caller carries out.
    """

    def __init__(self, leases: LeaseBook, cfg: Config):
        self.leases = leases
        self.ledger = Ledger(leases, cfg)
        self.peers: dict[str, str] = {}
        self._serving: dict[str, str] = {}
        self.draining = False
        self._negative_cache = NegativeCache()
        self._sequence = itertools.count()
        self._waiting: dict[str, _Waiting] = {}
        self._asks: dict[str, _PendingAsk] = {}
        self._reservations: dict[str, Reservation] = {}

    def apply_config(self, cfg: Config) -> None:
        """Apply a configuration unless the current one is at least as recent."""
        if cfg.version > self.ledger.cfg.version:
            self.ledger.cfg = cfg

    def observe_peers(self, peers: Mapping[str, str], ready: Container[str]) -> None:
        """Update the linked peers, given with the data centre of each.

        :param ready: peers that serve requests; only these count in the division of slots.
        """
        self.peers = dict(peers)
        self._serving = {vm: centre for vm, centre in peers.items() if vm in ready}

    def lease_writes(self, now: Instant) -> list[SlotWrite]:
        """Return the lease writes that are due."""
        members = self.leases.members(now, self._serving)
        longest_use = self.ledger.units.longest_remaining(now)
        return self.leases.plan_writes(
            now, members, draining=self.draining, longest_use=longest_use
        )

    def expire(self, now: Instant) -> None:
        """Drop the balances of old windows and the expired entries of the negative cache."""
        self.ledger.balances.close_expired(now.wall)
        self._negative_cache.expire(now.mono)

    def reserve(self, request: Request, now: Instant, max_wait: float) -> list[Output]:
        """Decide on a request at once, or after answers of peers if resources are missing.

        :param max_wait: longest time to wait for peers, in seconds.
        """
        waiting = _Waiting(request, now.mono + max_wait)
        self._waiting[request.id] = waiting
        return self._advance(waiting, now)

    def _advance(self, waiting: _Waiting, now: Instant) -> list[Output]:
        result = self.ledger.reserve(waiting.request, now, waiting.borrowed)
        match result:
            case Reservation():
                del self._waiting[waiting.request.id]
                self._drop_asks(waiting)
                self._reservations[result.id] = result
                return [Drawn(result.draws), Decide(result.id, result)]
            case Refusal():
                return self._reject(waiting, result)
            case Shortage():
                if waiting.open_asks:
                    return []
                return self._ask(waiting, result, now)

    def _ask(self, waiting: _Waiting, shortage: Shortage, now: Instant) -> list[Output]:
        if now.mono >= waiting.wait_until:
            return self._reject(waiting, shortage)
        outputs: list[Output] = []
        request = waiting.request
        for draw in shortage.draws:
            for peer in self._choose_peers(waiting, draw.key, now):
                ask_id = self._register_ask(waiting, peer, draw.key, draw.amount)
                outputs.append(Send(peer, AskAmount(ask_id, draw.key, draw.amount)))
        for resource in shortage.units:
            kind = (request.customer, resource)
            for peer in self._choose_peers(waiting, kind, now):
                ask_id = self._register_ask(waiting, peer, kind, 1)
                ask = AskUnit(ask_id, request.customer, resource, request.lasting)
                outputs.append(Send(peer, ask))
        if not outputs:
            return self._reject(waiting, shortage)
        waiting.round += 1
        delay = min(ROUND_TIMEOUT_S, waiting.wait_until - now.mono)
        return [*outputs, Wake(request.id, waiting.round, delay)]

    def _choose_peers(self, waiting: _Waiting, kind: Hashable, now: Instant) -> list[str]:
        excluded = self._negative_cache.excluded_peers(kind, now.mono, self.peers)
        excluded |= {peer for peer, asked in waiting.asked if asked == kind}
        rotation = next(self._sequence)
        return order_peers(self.peers, self.leases.data_centre, rotation, excluded)[:FAN_OUT]

    def _register_ask(self, waiting: _Waiting, peer: str, kind: Hashable, amount: int) -> str:
        ask_id = f"{self.leases.vm}/{self.leases.incarnation}/{next(self._sequence)}"
        waiting.asked.add((peer, kind))
        waiting.open_asks.add(ask_id)
        self._asks[ask_id] = _PendingAsk(waiting.request.id, peer, kind, amount)
        return ask_id

    def _drop_asks(self, waiting: _Waiting) -> None:
        for ask_id in waiting.open_asks:
            self._asks.pop(ask_id, None)
        waiting.open_asks.clear()

    def _reject(self, waiting: _Waiting, result: Shortage | Refusal) -> list[Output]:
        del self._waiting[waiting.request.id]
        self._drop_asks(waiting)
        returns = _return_units(waiting.borrowed)
        return [*returns, Decide(waiting.request.id, result)]

    def wake(self, request_id: str, round_number: int, now: Instant) -> list[Output]:
        """Stop waiting for the answers of a round; amounts that arrive later are still credited."""
        waiting = self._waiting.get(request_id)
        if waiting is None or waiting.round != round_number:
            return []
        self._drop_asks(waiting)
        return self._advance(waiting, now)

    def receive(self, peer: str, message: Message, now: Instant) -> list[Output]:
        """Process a message of a peer."""
        match message:
            case AskAmount(ask_id, key, needed):
                amount = self.ledger.give(key, needed, len(self.peers), now)
                return [Send(peer, GiveAmount(ask_id, key, amount))]
            case GiveAmount(ask_id, key, amount):
                self.ledger.credit(key, ask_id, amount, now)
                return self._complete_ask(ask_id, amount, NO_AMOUNT_TTL_S, now)
            case AskUnit(ask_id, customer, resource, lasting):
                lent = self.ledger.lend(ask_id, customer, resource, now, lasting)
                return [Send(peer, LendUnit(ask_id, lent))]
            case LendUnit(ask_id, lent):
                return self._receive_unit(peer, ask_id, lent, now)
            case ReturnUnit(ask_id):
                self.ledger.units.release(ask_id)
                return []

    def _complete_ask(self, ask_id: str, got: int, ttl: float, now: Instant) -> list[Output]:
        pending = self._asks.pop(ask_id, None)
        if pending is None:
            return []
        if got < pending.amount:
            self._negative_cache.add(pending.peer, pending.kind, now.mono + ttl)
        waiting = self._waiting[pending.request_id]
        waiting.open_asks.discard(ask_id)
        return self._advance(waiting, now)

    def _receive_unit(self, peer: str, ask_id: str, lent: bool, now: Instant) -> list[Output]:
        if not lent:
            return self._complete_ask(ask_id, 0, NO_UNIT_TTL_S, now)
        if self._is_in_use(ask_id):
            return []
        pending = self._asks.get(ask_id)
        waiting = self._waiting.get(pending.request_id) if pending else None
        resource = pending.kind[1] if pending else ""
        if waiting is None or any(unit.resource == resource for unit in waiting.borrowed):
            return [
                Send(peer, ReturnUnit(ask_id)),
                *self._complete_ask(ask_id, 1, NO_UNIT_TTL_S, now),
            ]
        waiting.borrowed.append(UnitHold(ask_id, resource, peer))
        return self._complete_ask(ask_id, 1, NO_UNIT_TTL_S, now)

    def _is_in_use(self, unit_id: str) -> bool:
        """Return whether a borrowed unit is in use: the answer that lent it is then a duplicate."""
        holds = [waiting.borrowed for waiting in self._waiting.values()]
        holds += [reservation.units for reservation in self._reservations.values()]
        return any(unit.id == unit_id for units in holds for unit in units)

    def settle(self, reservation_id: str, used: int, now: Instant) -> list[Output]:
        """End a reservation; further calls for the same one have no effect."""
        reservation = self._reservations.pop(reservation_id, None)
        if reservation is None:
            return []
        returned = self.ledger.settle(reservation, used, now)
        refunds = tuple(draw._replace(amount=-draw.amount) for draw in returned)
        return [Drawn(refunds), *_return_units(reservation.units)]

    def abandon(self, request_id: str, now: Instant) -> list[Output]:
        """Drop a request whose caller has disconnected, whether it is waiting or was admitted."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return self.settle(request_id, 0, now)
        self._drop_asks(waiting)
        return _return_units(waiting.borrowed)

    def drain(self) -> list[Output]:
        """Start to release all slots, and transfer the balances to the peers in turn."""
        self.draining = True
        peers = order_peers(self.peers, self.leases.data_centre, 0, ())
        if not peers:
            return []
        recipients = itertools.cycle(peers)
        outputs: list[Output] = []
        for key, amount in self.ledger.hand_over():
            transfer_id = f"{self.leases.vm}/{self.leases.incarnation}/{next(self._sequence)}"
            outputs.append(Send(next(recipients), GiveAmount(transfer_id, key, amount)))
        return outputs


def _return_units(units: Iterable[UnitHold]) -> list[Output]:
    return [Send(unit.lender, ReturnUnit(unit.id)) for unit in units if unit.lender]
