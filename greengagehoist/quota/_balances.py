"""Balances of windowed amounts."""

from typing import NamedTuple

from greengagehoist.quota._leases import LeaseBook
from greengagehoist.quota._slots import apportion

RESOURCES = ("requests", "tokens", "quiet_requests", "quiet_tokens")
MINUTE_S = 60
HOUR_S = 3600
# Balances are kept for this long after the end of their window, then never opened again.
KEEP_S = 120.0
# A minute is opened at most this long before its start, a quiet hour before the longest deadline.
MINUTE_LOOK_AHEAD_S = 1.0
QUIET_LOOK_AHEAD_S = 601.0


class Key(NamedTuple):
    """Names one balance.

    :param resource: ``requests``, ``tokens``, ``quiet_requests`` or ``quiet_tokens``.
    :param window: start of the window, seconds since the Unix epoch.
    """

    customer: str
    resource: str
    window: int

    @property
    def quiet(self) -> bool:
        """Return whether the window is a quiet hour."""
        return self.resource.startswith("quiet_")

    @property
    def latest_end(self) -> int:
        """Return the latest possible end of the window, seconds since the Unix epoch."""
        return self.window + (HOUR_S if self.quiet else MINUTE_S)


class _Balance:
    """Credit of the opened slots, plus transfers in, less transfers out and draws."""

    def __init__(self, limit: int):
        self.limit = limit
        self.slots: set[int] = set()
        self.generation = -1
        self.amount = 0
        self.credited: set[str] = set()


class Balances:
    """Keeps the balances of one daemon."""

    def __init__(self, leases: LeaseBook):
        self.leases = leases
        self._balances: dict[Key, _Balance] = {}
        self._closed_until = 0.0

    def open(self, key: Key, limit: int | None, wall: float) -> int:
        """Open a window for all slots that allow it and return the balance.

        :param limit: limit in force; None leaves the last known one in force.
        :returns: the balance, 0 if there is no such window, or it is too far ahead or was closed.
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
        """Subtract an amount from an open window."""
        self._balances[key].amount -= amount

    def give_back(self, key: Key, amount: int) -> bool:
        """Return an unused amount; False if the window was closed."""
        balance = self._balances.get(key)
        if balance is None:
            return False
        balance.amount += amount
        return True

    def credit(
        self, key: Key, transfer_id: str, amount: int, limit: int | None, wall: float
    ) -> bool:
        """Add a received transfer; False if it was credited before or the window was closed."""
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

    def close_old(self, wall: float) -> None:
        """Drop balances of windows that ended ``KEEP_S`` ago; they are never opened again."""
        self._closed_until = max(self._closed_until, wall - KEEP_S)
        for key in [key for key in self._balances if key.latest_end <= self._closed_until]:
            del self._balances[key]
