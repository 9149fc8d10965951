"""Atomic reservation of all resources that a request needs."""

from collections.abc import Iterable
from typing import NamedTuple

from greengagehoist.config import Config, PlanUsage
from greengagehoist.quiet_hours import QuietWindow, quiet_windows, scale_limit
from greengagehoist.quota._balances import MINUTE_S, Balances, Key
from greengagehoist.quota._leases import LeaseBook
from greengagehoist.quota._slots import CLOCK_MARGIN_S, Instant
from greengagehoist.quota._transfers import size_transfer
from greengagehoist.quota._units import Units

UNIT_RETRY_AFTER_S = 0.25
CONCURRENCY = ("concurrency", "quiet_concurrency")


class Request(NamedTuple):
    """Resources that a request needs.

    :param id: unique over all daemons.
    :param max_tokens: most tokens that the request may generate; 0 if it generates none.
    :param lasting: seconds until the request's deadline.
    :param counted: False for a further attempt of a counted request, which draws tokens only.
    """

    id: str
    customer: str
    max_tokens: int
    lasting: float
    counted: bool = True


class Draw(NamedTuple):
    """An amount that is drawn from the balance of a window.

    :param end: end of the window, seconds since the Unix epoch.
    """

    key: Key
    amount: int
    end: int


class UnitHold(NamedTuple):
    """A unit of concurrency in use by a request.

    :param lender: VM that lent the unit; empty if the unit is the daemon's own.
    """

    id: str
    resource: str
    lender: str = ""


class Reservation(NamedTuple):
    """Draws and units of an admitted request."""

    id: str
    customer: str
    max_tokens: int
    draws: tuple[Draw, ...]
    units: tuple[UnitHold, ...]


class Shortage(NamedTuple):
    """Resources that were not available; nothing was drawn.

    :param draws: the missing amounts.
    :param units: concurrency resources without a free unit.
    :param retry_after: seconds until the missing windows have ended.
    """

    draws: tuple[Draw, ...]
    units: tuple[str, ...]
    retry_after: float

    @property
    def quiet(self) -> bool:
        """Whether a quiet-hour limit is among the missing resources."""
        return any(d.key.quiet for d in self.draws) or CONCURRENCY[1] in self.units


class Refusal(NamedTuple):
    """A request that cannot be admitted: it exceeds a whole limit, or the customer holds no plan.

    :param retry_after: seconds until another limit applies, None if it never does.
    """

    text: str
    quiet: bool
    retry_after: float | None


class Ledger:
    """Balances and units of one daemon under the configuration in force."""

    def __init__(self, leases: LeaseBook, cfg: Config):
        self.leases = leases
        self.cfg = cfg
        self.balances = Balances(leases)
        self.units = Units(leases)

    def usage_of(self, customer: str) -> PlanUsage | None:
        """Return the usage limits of the customer's plan; None if the customer holds no plan."""
        holding = self.cfg.holdings.get(customer)
        return self.cfg.usage.get(holding.plan) if holding else None

    def limit_of(self, key: Key) -> int | None:
        """Return the limit of a window; None if it is not a quiet hour of this configuration."""
        usage = self.usage_of(key.customer)
        if usage is None:
            return 0
        match key.resource:
            case "requests":
                return usage.limits.requests_per_minute
            case "tokens":
                return usage.limits.tokens_per_minute
        for window in quiet_windows(usage.quiet, key.window, key.window):
            if window.start == key.window:
                limits = usage.quiet.limits
                requests = key.resource == "quiet_requests"
                limit = limits.requests_per_hour if requests else limits.tokens_per_hour
                return scale_limit(limit, window)
        return None

    def reserve(
        self, request: Request, now: Instant, borrowed: Iterable[UnitHold] = ()
    ) -> Reservation | Shortage | Refusal:
        """Reserve everything that a request needs, or nothing.

        :param borrowed: units that peers lent to this request.
        """
        usage = self.usage_of(request.customer)
        if usage is None:
            return Refusal(f"customer {request.customer} holds no plan", False, None)
        quiet = quiet_windows(usage.quiet, now.wall, now.wall + request.lasting)
        draws = self._draws(request, now, quiet)
        limits = [self.limit_of(draw.key) for draw in draws]
        for draw, limit in zip(draws, limits, strict=True):
            if limit is not None and draw.amount > limit:
                after = max(0.0, draw.end + CLOCK_MARGIN_S - now.wall) if draw.key.quiet else None
                text = f"{draw.key.resource}: {draw.amount} exceeds the limit {limit}"
                return Refusal(text, draw.key.quiet, after)
        missing_draws = []
        for draw, limit in zip(draws, limits, strict=True):
            balance = self.balances.open(draw.key, limit, now.wall)
            if balance < draw.amount:
                missing_draws.append(draw._replace(amount=draw.amount - balance))
        held, missing_units = self._acquire_units(request, usage, now, bool(quiet), tuple(borrowed))
        if missing_draws or missing_units:
            for unit in held:
                self._release_own(unit)
            ends = [draw.end + CLOCK_MARGIN_S - now.wall for draw in missing_draws]
            after = max([UNIT_RETRY_AFTER_S, *ends])
            return Shortage(tuple(missing_draws), missing_units, after)
        for draw in draws:
            self.balances.draw(draw.key, draw.amount)
        return Reservation(request.id, request.customer, request.max_tokens, draws, held)

    def _draws(
        self, request: Request, now: Instant, quiet: tuple[QuietWindow, ...]
    ) -> tuple[Draw, ...]:
        edges = (now.wall - CLOCK_MARGIN_S, now.wall + CLOCK_MARGIN_S)
        minutes = sorted({int(edge // MINUTE_S) * MINUTE_S for edge in edges})
        windows = [("", start, start + MINUTE_S) for start in minutes]
        windows += [("quiet_", window.start, window.end) for window in quiet]
        draws = []
        for prefix, start, end in windows:
            if request.counted:
                draws.append(Draw(Key(request.customer, f"{prefix}requests", start), 1, end))
            if request.max_tokens:
                key = Key(request.customer, f"{prefix}tokens", start)
                draws.append(Draw(key, request.max_tokens, end))
        return tuple(draws)

    def _acquire_units(
        self,
        request: Request,
        usage: PlanUsage,
        now: Instant,
        quiet: bool,
        borrowed: tuple[UnitHold, ...],
    ) -> tuple[tuple[UnitHold, ...], tuple[str, ...]]:
        if not request.counted:
            return (), ()
        held, missing_units = list(borrowed), []
        for resource in CONCURRENCY if quiet else CONCURRENCY[:1]:
            if any(unit.resource == resource for unit in borrowed):
                continue
            unit_id = f"{request.id}/{resource}"
            limit = _unit_limit(usage, resource)
            if self.units.acquire(unit_id, request.customer, resource, limit, now, request.lasting):
                held.append(UnitHold(unit_id, resource))
            else:
                missing_units.append(resource)
        return tuple(held), tuple(missing_units)

    def _release_own(self, unit: UnitHold) -> None:
        if not unit.lender:
            self.units.release(unit.id)

    def settle(self, reservation: Reservation, used: int, now: Instant) -> tuple[Draw, ...]:
        """Return unused tokens to the windows that are still open, and release the units.

        :param used: tokens generated by all attempts under this reservation.
        :returns: the amounts that were returned.
        """
        unused = max(0, reservation.max_tokens - used)
        returned = []
        for draw in reservation.draws:
            is_tokens = draw.key.resource.endswith("tokens")
            still_open = draw.end + CLOCK_MARGIN_S > now.wall
            if unused and is_tokens and still_open and self.balances.refund(draw.key, unused):
                returned.append(draw._replace(amount=unused))
        for unit in reservation.units:
            self._release_own(unit)
        return tuple(returned)

    def give(self, key: Key, needed: int, peers: int, now: Instant) -> int:
        """Transfer an amount to a peer; it is subtracted before the message is sent."""
        balance = self.balances.open(key, self.limit_of(key), now.wall)
        amount = size_transfer(balance, needed, peers)
        if amount > 0:
            self.balances.draw(key, amount)
        return amount

    def credit(self, key: Key, transfer_id: str, amount: int, now: Instant) -> bool:
        """Add a received transfer, at most once; return False if it was not added."""
        return self.balances.credit(key, transfer_id, amount, self.limit_of(key), now.wall)

    def lend(
        self, unit_id: str, customer: str, resource: str, now: Instant, lasting: float
    ) -> bool:
        """Lend a unit to a request of a peer.

        :returns: True if the unit is lent; a repeated id does not take up another unit.
        """
        usage = self.usage_of(customer)
        if usage is None or resource not in CONCURRENCY:
            return False
        limit = _unit_limit(usage, resource)
        return self.units.acquire(unit_id, customer, resource, limit, now, lasting)

    def hand_over(self) -> list[tuple[Key, int]]:
        """Draw all positive balances, so that a draining daemon can transfer them to its peers."""
        given = self.balances.positive()
        for key, amount in given:
            self.balances.draw(key, amount)
        return given


def _unit_limit(usage: PlanUsage, resource: str) -> int:
    if resource == CONCURRENCY[0]:
        return usage.limits.concurrency
    return usage.quiet.limits.concurrency if usage.quiet else 0
