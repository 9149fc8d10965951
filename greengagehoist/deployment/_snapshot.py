"""Newest configuration that a daemon has read, and whether it is fresh enough for a decision."""

from dataclasses import dataclass
from typing import NamedTuple

from greengagehoist.deployment._types import Deployment, Tenant

# The configuration is trusted for this much less than the revocation bound, to allow for the drift
# of the boot clock.
REVOCATION_MARGIN_S = 0.2


class DeploymentSnapshot(NamedTuple):
    """The newest configuration and the read that last confirmed it.

    :param confirmed_at: time at which that read was sent, in seconds on the boot clock, which also
        counts the time for which the machine was suspended.
    """

    deployment: Deployment
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request may run.

    :param tenant: holder of the key, None if the request needs no key.
    """

    tenant: Tenant | None


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """No tenant of a confirmed configuration holds the key."""


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """The configuration was confirmed too long ago to decide on a key.

    :param age_s: seconds since the last confirmation.
    """

    age_s: float


KeyDecision = Allowed | UnknownKey | Unconfirmed


def merge(
    held: DeploymentSnapshot | None, deployment: Deployment | None, read_sent_at: float
) -> DeploymentSnapshot | None:
    """Return the newest configuration and its confirmation after a read.

    Versions only increase: a read of an older version is ignored.

    :param deployment: what was read; None if the row has not changed since the last read.
    """
    if held is None:
        return None if deployment is None else DeploymentSnapshot(deployment, read_sent_at)
    if deployment is None or deployment.version == held.deployment.version:
        return held._replace(confirmed_at=max(held.confirmed_at, read_sent_at))
    if deployment.version < held.deployment.version or read_sent_at < held.confirmed_at:
        return held
    return DeploymentSnapshot(deployment, read_sent_at)


def check_key(
    known: DeploymentSnapshot, key: str | None, public: bool, now: float, revoke_after_s: float
) -> KeyDecision:
    """Decide whether a request may run with this API key.

    :param revoke_after_s: seconds after its acknowledgement by which a revocation must be in force.
    """
    if public or not known.deployment.checks_keys:
        return Allowed(None)
    age = now - known.confirmed_at
    if age > revoke_after_s - REVOCATION_MARGIN_S:
        return Unconfirmed(age)
    tenant = known.deployment.tenants.get(key or "")
    return UnknownKey() if tenant is None else Allowed(tenant)


def is_fresh(known: DeploymentSnapshot, now: float, within_s: float) -> bool:
    """Return whether the configuration was confirmed within the last ``within_s`` seconds."""
    return now - known.confirmed_at <= within_s
