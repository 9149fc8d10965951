"""Waiting requests and the exchange of amounts and units with peers."""

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

# A waiting request asks this many peers at once for each missing resource.
FAN_OUT = 2
ROUND_S = 0.05
NO_AMOUNT_S = 1.0
NO_UNIT_S = 0.1


class AskAmount(NamedTuple):
    """Ask a peer for an amount."""

    id: str
    key: Key
    amount: int


class GiveAmount(NamedTuple):
    """An amount that the sender has given up; 0 if it has none."""

    id: str
    key: Key
    amount: int


class AskUnit(NamedTuple):
    """Ask a peer for a unit of concurrency for ``lasting`` seconds."""

    id: str
    customer: str
    resource: str
    lasting: float


class LendUnit(NamedTuple):
    """Answer to :class:`AskUnit`."""

    id: str
    lent: bool


class ReturnUnit(NamedTuple):
    """Give a lent unit back."""

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


class _Want(NamedTuple):
    """An open question to a peer."""

    request_id: str
    peer: str
    kind: Hashable
    amount: int


@dataclass(slots=True)
class _Waiting:
    """A request that waits for its peers' answers."""

    request: Request
    give_up: float
    round: int = 0
    borrowed: list[UnitHold] = field(default_factory=list)
    open_wants: set[str] = field(default_factory=set)
    asked: set[tuple[str, Hashable]] = field(default_factory=set)


class Coordinator:
    """Decides on reservations of one daemon together with its peers.

    Each method returns outputs that the caller carries out.
    """

    def __init__(self, leases: LeaseBook, cfg: Config):
        self.leases = leases
        self.ledger = Ledger(leases, cfg)
        self.peers: dict[str, str] = {}
        self._serving: dict[str, str] = {}
        self.draining = False
        self._negative_cache = NegativeCache()
        self._numbers = itertools.count()
        self._waiting: dict[str, _Waiting] = {}
        self._wants: dict[str, _Want] = {}
        self._reservations: dict[str, Reservation] = {}

    def apply_config(self, cfg: Config) -> None:
        """Put a configuration in force unless a later one is."""
        if cfg.version > self.ledger.cfg.version:
            self.ledger.cfg = cfg

    def observe_peers(self, peers: Mapping[str, str], ready: Container[str]) -> None:
        """Take in the data centre of each linked peer.

        :param ready: peers that serve requests; the others are left out of the division of slots.
        """
        self.peers = dict(peers)
        self._serving = {vm: centre for vm, centre in peers.items() if vm in ready}

    def lease_writes(self, now: Instant) -> list[SlotWrite]:
        """Return the lease writes that are due."""
        members = self.leases.members(now, self._serving)
        longest = self.ledger.units.longest_remaining(now)
        return self.leases.plan_writes(now, members, draining=self.draining, longest=longest)

    def tidy(self, now: Instant) -> None:
        """Drop balances of old windows and notes that have run out."""
        self.ledger.balances.close_expired(now.wall)
        self._negative_cache.expire(now.mono)

    def reserve(self, request: Request, now: Instant, patience: float) -> list[Output]:
        """Decide on a request now or after answers of peers.

        :param patience: longest time to wait for peers, in seconds.
        """
        waiting = _Waiting(request, now.mono + patience)
        self._waiting[request.id] = waiting
        return self._advance(waiting, now)

    def _advance(self, waiting: _Waiting, now: Instant) -> list[Output]:
        result = self.ledger.reserve(waiting.request, now, waiting.borrowed)
        match result:
            case Reservation():
                del self._waiting[waiting.request.id]
                self._drop_wants(waiting)
                self._reservations[result.id] = result
                return [Drawn(result.draws), Decide(result.id, result)]
            case Refusal():
                return self._give_up(waiting, result)
            case Shortage():
                if waiting.open_wants:
                    return []
                return self._ask(waiting, result, now)

    def _ask(self, waiting: _Waiting, shortage: Shortage, now: Instant) -> list[Output]:
        if now.mono >= waiting.give_up:
            return self._give_up(waiting, shortage)
        sent: list[Output] = []
        request = waiting.request
        for draw in shortage.draws:
            for peer in self._choose(waiting, draw.key, now):
                want_id = self._note_want(waiting, peer, draw.key, draw.amount)
                sent.append(Send(peer, AskAmount(want_id, draw.key, draw.amount)))
        for resource in shortage.units:
            kind = (request.customer, resource)
            for peer in self._choose(waiting, kind, now):
                want_id = self._note_want(waiting, peer, kind, 1)
                ask = AskUnit(want_id, request.customer, resource, request.lasting)
                sent.append(Send(peer, ask))
        if not sent:
            return self._give_up(waiting, shortage)
        waiting.round += 1
        delay = min(ROUND_S, waiting.give_up - now.mono)
        return [*sent, Wake(request.id, waiting.round, delay)]

    def _choose(self, waiting: _Waiting, kind: Hashable, now: Instant) -> list[str]:
        excluded = self._negative_cache.excluded_peers(kind, now.mono, self.peers)
        excluded |= {peer for peer, asked in waiting.asked if asked == kind}
        rotation = next(self._numbers)
        return order_peers(self.peers, self.leases.data_centre, rotation, excluded)[:FAN_OUT]

    def _note_want(self, waiting: _Waiting, peer: str, kind: Hashable, amount: int) -> str:
        want_id = f"{self.leases.vm}/{self.leases.incarnation}/{next(self._numbers)}"
        waiting.asked.add((peer, kind))
        waiting.open_wants.add(want_id)
        self._wants[want_id] = _Want(waiting.request.id, peer, kind, amount)
        return want_id

    def _drop_wants(self, waiting: _Waiting) -> None:
        for want_id in waiting.open_wants:
            self._wants.pop(want_id, None)
        waiting.open_wants.clear()

    def _give_up(self, waiting: _Waiting, result: Shortage | Refusal) -> list[Output]:
        del self._waiting[waiting.request.id]
        self._drop_wants(waiting)
        returns = _returns(waiting.borrowed)
        return [*returns, Decide(waiting.request.id, result)]

    def wake(self, request_id: str, number: int, now: Instant) -> list[Output]:
        """End a round of questions; answers that arrive later are still credited."""
        waiting = self._waiting.get(request_id)
        if waiting is None or waiting.round != number:
            return []
        self._drop_wants(waiting)
        return self._advance(waiting, now)

    def receive(self, peer: str, message: Message, now: Instant) -> list[Output]:
        """Process a message of a peer."""
        match message:
            case AskAmount(want_id, key, needed):
                amount = self.ledger.give(key, needed, len(self.peers), now)
                return [Send(peer, GiveAmount(want_id, key, amount))]
            case GiveAmount(want_id, key, amount):
                self.ledger.credit(key, want_id, amount, now)
                return self._answered(want_id, amount, NO_AMOUNT_S, now)
            case AskUnit(want_id, customer, resource, lasting):
                lent = self.ledger.lend(want_id, customer, resource, now, lasting)
                return [Send(peer, LendUnit(want_id, lent))]
            case LendUnit(want_id, lent):
                return self._receive_unit(peer, want_id, lent, now)
            case ReturnUnit(want_id):
                self.ledger.units.release(want_id)
                return []

    def _answered(self, want_id: str, got: int, silence: float, now: Instant) -> list[Output]:
        want = self._wants.pop(want_id, None)
        if want is None:
            return []
        if got < want.amount:
            self._negative_cache.add(want.peer, want.kind, now.mono + silence)
        waiting = self._waiting[want.request_id]
        waiting.open_wants.discard(want_id)
        return self._advance(waiting, now)

    def _receive_unit(self, peer: str, want_id: str, lent: bool, now: Instant) -> list[Output]:
        if not lent:
            return self._answered(want_id, 0, NO_UNIT_S, now)
        if self._uses(want_id):
            return []
        want = self._wants.get(want_id)
        waiting = self._waiting.get(want.request_id) if want else None
        resource = want.kind[1] if want else ""
        if waiting is None or any(unit.resource == resource for unit in waiting.borrowed):
            return [Send(peer, ReturnUnit(want_id)), *self._answered(want_id, 1, NO_UNIT_S, now)]
        waiting.borrowed.append(UnitHold(want_id, resource, peer))
        return self._answered(want_id, 1, NO_UNIT_S, now)

    def _uses(self, unit_id: str) -> bool:
        """Return whether a borrowed unit is in use, so that a duplicate answer is ignored."""
        want_holders = [waiting.borrowed for waiting in self._waiting.values()]
        want_holders += [reservation.units for reservation in self._reservations.values()]
        return any(unit.id == unit_id for units in want_holders for unit in units)

    def settle(self, reservation_id: str, used: int, now: Instant) -> list[Output]:
        """End a reservation; a second call for the same one has no effect."""
        reservation = self._reservations.pop(reservation_id, None)
        if reservation is None:
            return []
        returned = self.ledger.settle(reservation, used, now)
        back = tuple(draw._replace(amount=-draw.amount) for draw in returned)
        return [Drawn(back), *_returns(reservation.units)]

    def abandon(self, request_id: str, now: Instant) -> list[Output]:
        """Drop a request whose caller has gone, whether it waits or was just admitted."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return self.settle(request_id, 0, now)
        self._drop_wants(waiting)
        return _returns(waiting.borrowed)

    def drain(self) -> list[Output]:
        """Start to release all slots and give the balances to peers in turn."""
        self.draining = True
        peers = order_peers(self.peers, self.leases.data_centre, 0, ())
        if not peers:
            return []
        turns = itertools.cycle(peers)
        sent: list[Output] = []
        for key, amount in self.ledger.hand_over():
            give_id = f"{self.leases.vm}/{self.leases.incarnation}/{next(self._numbers)}"
            sent.append(Send(next(turns), GiveAmount(give_id, key, amount)))
        return sent


def _returns(units: Iterable[UnitHold]) -> list[Output]:
    return [Send(unit.lender, ReturnUnit(unit.id)) for unit in units if unit.lender]
