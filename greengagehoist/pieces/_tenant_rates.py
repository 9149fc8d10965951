"""Detects tenants that use far more of a stage pool than their usual share."""

import math

# Time constants of the usual shares and of the pool's recent rate.
USUAL_TIME_S = 30.0
RECENT_TIME_S = 2.0
# No tenant is above its usual share before the pool has this much history.
MIN_HISTORY_S = 8.0
# A tenant may use this multiple of its usual share before its further work counts as excess.
EXCESS_FACTOR = 2.0
# A tenant may use in advance what it may use in this time, and at least this many requests.
BURST_S = 2.0
MIN_BURST_REQUESTS = 4
# Excess work adds less to the usual share, which therefore follows a lasting change slowly.
EXCESS_WEIGHT = 0.25


class _DecayingSum:
    """Sum of amounts, each of which decays exponentially."""

    __slots__ = ("at", "time_s", "value")

    def __init__(self, time_s: float):
        self.time_s = time_s
        self.value = 0.0
        self.at = 0.0

    def read(self, now: float) -> float:
        self.value *= math.exp(-max(0.0, now - self.at) / self.time_s)
        self.at = now
        return self.value

    def add(self, amount: float, now: float) -> None:
        self.value = self.read(now) + amount


class _Allowance:
    """Token bucket of one tenant, in pieces."""

    __slots__ = ("at", "tokens", "usual")

    def __init__(self, now: float):
        self.usual = _DecayingSum(USUAL_TIME_S)
        self.tokens = math.inf
        self.at = now


class TenantRates:
    """Usual and recent use of one pool by tenant.

    Shares are compared instead of rates, so that a burst of all tenants makes none of them stand
    out.
    """

    def __init__(self):
        self._total = _DecayingSum(USUAL_TIME_S)
        self._recent = _DecayingSum(RECENT_TIME_S)
        self._tenants: dict[str, _Allowance] = {}
        self._started: float | None = None

    def is_excess(self, tenant: str, pieces: int, now: float) -> bool:
        """Count new work; return whether it exceeds what its tenant may use now."""
        if self._started is None:
            self._started = now
        allowance = self._tenants.get(tenant)
        if allowance is None:
            allowance = self._tenants[tenant] = _Allowance(now)
        excess = False
        if now - self._started >= MIN_HISTORY_S:
            share = allowance.usual.read(now) / max(1.0, self._total.read(now))
            rate = EXCESS_FACTOR * share * self._recent.read(now) / RECENT_TIME_S
            limit = max(rate * BURST_S, MIN_BURST_REQUESTS * pieces)
            allowance.tokens = min(limit, allowance.tokens + rate * (now - allowance.at))
            excess = allowance.tokens < pieces
        allowance.at = now
        if not excess:
            allowance.tokens -= pieces
        weighted = pieces * (EXCESS_WEIGHT if excess else 1.0)
        allowance.usual.add(weighted, now)
        self._total.add(weighted, now)
        self._recent.add(pieces, now)
        return excess
