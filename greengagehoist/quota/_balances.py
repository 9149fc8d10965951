"""Balances of the rate limits, which are counted in windows of a minute or a quiet hour."""

from typing import NamedTuple

from greengagehoist.quota._leases import LeaseBook
from greengagehoist.quota._slots import apportion

RESOURCES = ("requests", "tokens", "quiet_requests", "quiet_tokens")
MINUTE_S = 60
HOUR_S = 3600
# A balance is dropped this long after the end of its window, which is never opened again.
RETENTION_S = 120.0
# Windows that start later than this are not opened yet. A request draws on every quiet hour up to
# its deadline, so the look-ahead for quiet hours covers the longest deadline.
MINUTE_LOOK_AHEAD_S = 1.0
QUIET_LOOK_AHEAD_S = 601.0


class Key(NamedTuple):
    """Identifies a balance.

    :param resource: ``requests``, ``tokens``, ``quiet_requests`` or ``quiet_tokens``.
    :param window: start of the window, seconds since the Unix epoch.
    """

    customer: str
    resource: str
    window: int

    @property
    def quiet(self) -> bool:
        """Whether the window is a quiet hour."""
        return self.resource.startswith("quiet_")

    @property
    def latest_end(self) -> int:
        """Latest possible end of the window, in seconds since the Unix epoch."""
        return self.window + (HOUR_S if self.quiet else MINUTE_S)


class _Balance:
    """Shares of the opened slots plus received transfers, minus sent transfers and draws.

    :ivar generation: generation of the leases at which the slots were last opened.
    :ivar credited: identifiers of the received transfers.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.slots: set[int] = set()
        self.generation = -1
        self.amount = 0
        self.credited: set[str] = set()


class Balances:
    """Balances of one daemon."""

    def __init__(self, leases: LeaseBook):
        self.leases = leases
        self._balances: dict[Key, _Balance] = {}
        self._closed_until = 0.0

    def open(self, key: Key, limit: int | None, wall: float) -> int:
        """Open a window for all slots whose leases allow it, and return the balance.

        :param limit: limit of the window; None keeps the last known one.
        :returns: the balance; 0 if the window does not exist, is too far ahead or was closed.
        """
        ahead = QUIET_LOOK_AHEAD_S if key.quiet else MINUTE_LOOK_AHEAD_S
        if not key.quiet and key.window % MINUTE_S:
            return 0
        if key.latest_end <= self._closed_until or key.window > wall + ahead:
            return 0
        balance = self._balances.get(key)
        if balance is None:
            balance = self._balances[key] = _Balance(limit or 0)
        if limit is not None and limit != balance.limit:
            for slot in balance.slots:
                balance.amount += apportion(limit, slot, key.customer)
                balance.amount -= apportion(balance.limit, slot, key.customer)
            balance.limit = limit
        if balance.generation != self.leases.generation:
            balance.generation = self.leases.generation
            for slot in self.leases.open_slots(key.window):
                if slot not in balance.slots:
                    balance.slots.add(slot)
                    balance.amount += apportion(balance.limit, slot, key.customer)
        return balance.amount

    def draw(self, key: Key, amount: int) -> None:
        """Subtract an amount from the balance of an open window."""
        self._balances[key].amount -= amount

    def refund(self, key: Key, amount: int) -> bool:
        """Add an unused amount back to its balance; return False if the window was closed."""
        balance = self._balances.get(key)
        if balance is None:
            return False
        balance.amount += amount
        return True

    def credit(
        self, key: Key, transfer_id: str, amount: int, limit: int | None, wall: float
    ) -> bool:
        """Add a received transfer to a balance.

        :returns: False if the transfer was credited before or the window was closed.
        """
        self.open(key, limit, wall)
        balance = self._balances.get(key)
        if balance is None or transfer_id in balance.credited:
            return False
        balance.credited.add(transfer_id)
        balance.amount += amount
        return True

    def positive(self) -> list[tuple[Key, int]]:
        """Return the balances above zero."""
        return [(key, item.amount) for key, item in self._balances.items() if item.amount > 0]

    def close_expired(self, wall: float) -> None:
        """Drop the balances of windows that ended ``RETENTION_S`` ago, and never reopen them."""
        self._closed_until = max(self._closed_until, wall - RETENTION_S)
        for key in [key for key in self._balances if key.latest_end <= self._closed_until]:
            del self._balances[key]
