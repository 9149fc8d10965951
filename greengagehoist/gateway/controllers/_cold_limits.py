"""Limits of cold replicas, as a part of the limits that one daemon owns for all."""

import math

from greengagehoist.deployment import DeploymentSnapshot, Service
from greengagehoist.peers import ReplicaCold
from greengagehoist.replicas import (
    MAX_COLD_S,
    Allowance,
    ColdReplicas,
    ColdRule,
    ColdState,
    Incarnation,
    allowance_of,
)
from greengagehoist.utils import Published, log_event

# More changes than this at once, as after an evacuation, are logged as one line.
MAX_LOGGED_CHANGES = 20
# A statement that is older than this says nothing.
MAX_AGE_S = 3600.0


class ColdLimits:
    """Which replicas are cold, and what their services allow them.

    :param snapshot: published configuration.
    :param evacuated: published data centres whose replicas get no requests.
    :ivar rule: bounds of the settings, None for no rule.
    """

    def __init__(
        self,
        snapshot: Published[DeploymentSnapshot | None],
        evacuated: Published[frozenset[str]],
    ):
        self.snapshot = snapshot
        self.evacuated = evacuated
        self.rule: ColdRule | None = None
        self.replicas = ColdReplicas(self._start_s)

    @property
    def services(self) -> frozenset[str]:
        """Services whose cold replicas have an allowance."""
        snapshot = self.snapshot.value
        if snapshot is None or self.rule is None:
            return frozenset()
        services = snapshot.deployment.services.values()
        return frozenset(item.name for item in services if item.cold_per_s > 0)

    def _service(self, name: str) -> Service | None:
        snapshot = self.snapshot.value
        found = snapshot.deployment.services.get(name) if snapshot is not None else None
        return found if found is not None and found.cold_per_s > 0 and self.rule else None

    def _start_s(self, service: str) -> float:
        found = self._service(service)
        return found.cold_start_s if found is not None else 0.0

    def allowance(self, key: Incarnation) -> Allowance | None:
        """Return the permits of a replica if it is cold, None without a rule."""
        service = self._service(self.replicas.service_of(key))
        return allowance_of(service.cold_per_s, self.rule) if service is not None else None

    def is_cold(self, key: Incarnation, now: float) -> bool:
        """Return whether a replica is cold and has an allowance."""
        return self.replicas.is_cold(key, now) and self.allowance(key) is not None

    def cold(self, now: float) -> dict[Incarnation, ColdState]:
        """Return the replicas that are cold and have an allowance."""
        if not self.services:
            return {}
        found = self.replicas.cold(now)
        return {key: state for key, state in found.items() if self.allowance(key) is not None}

    def learn(self, key: Incarnation, cold_s: float, age_s: float, now: float) -> bool:
        """Apply what another daemon knows; return whether the cold period changed."""
        if not (0 <= cold_s <= MAX_COLD_S + 1 and 0 <= age_s <= MAX_AGE_S):
            return False
        return self.replicas.merge(key, ColdState(now + cold_s, now - age_s))

    def encode(self, key: Incarnation, now: float) -> ReplicaCold:
        """Return what is known of a replica as other daemons read it."""
        state = self.replicas.state_of(key) or ColdState(now, -math.inf)
        left_s, age_s = max(0.0, state.until - now), now - state.stated_at
        return ReplicaCold(*key, min(left_s, MAX_COLD_S), min(age_s, MAX_AGE_S))


def log_cold_changes(
    before: dict[Incarnation, ColdState],
    cold: dict[Incarnation, ColdState],
    view: dict[Incarnation, float],
) -> None:
    """Log which replicas have turned cold or warm; those of evacuated data centres are neither."""
    old = {key for key, state in before.items() if state.has_begun}
    new = {key for key, state in cold.items() if state.has_begun}
    if len(old ^ new) > MAX_LOGGED_CHANGES:
        log_event("cold_replicas_changed", cold=len(new - old), warm=len(old - new), all=len(new))
        return
    for key in sorted(new - old):
        log_event("replica_cold", replica=key[0], limit_per_s=view[key])
    for key in sorted(old - new - cold.keys()):
        log_event("replica_warm", replica=key[0])
