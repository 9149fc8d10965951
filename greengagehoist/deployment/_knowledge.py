"""What a daemon knows of the configuration, and how long it may rely on it."""

from dataclasses import dataclass
from typing import NamedTuple

from greengagehoist.deployment._types import Deployment, Tenant

# A key counts as revoked before the bound is reached, to allow for the drift of the boot clock.
REVOKE_MARGIN_S = 0.2


class Knowledge(NamedTuple):
    """The newest configuration and the read that last confirmed it.

    :param confirmed_at: instant on the boot clock at which that read was sent, in seconds. The
        boot clock counts the time for which the machine was suspended.
    """

    deployment: Deployment
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request may run, for the tenant if it has a key."""

    tenant: Tenant | None


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """No tenant of a confirmed configuration holds the key."""


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """The configuration is too old to decide on a key.

    :param age_s: seconds since the last confirmation.
    """

    age_s: float


KeyDecision = Allowed | UnknownKey | Unconfirmed


def merge(
    held: Knowledge | None, deployment: Deployment | None, read_sent_at: float
) -> Knowledge | None:
    """Return the knowledge after a read.

    Versions only rise: a read of an older version confirms nothing.

    :param deployment: what was read; None if the row has not changed since the last read.
    """
    if held is None:
        return None if deployment is None else Knowledge(deployment, read_sent_at)
    if deployment is None or deployment.version == held.deployment.version:
        return held._replace(confirmed_at=max(held.confirmed_at, read_sent_at))
    if deployment.version < held.deployment.version or read_sent_at < held.confirmed_at:
        return held
    return Knowledge(deployment, read_sent_at)


def check_key(
    known: Knowledge, key: str | None, public: bool, now: float, revoke_after_s: float
) -> KeyDecision:
    """Decide whether a request may run with this API key.

    :param revoke_after_s: time after its acknowledgement from which a revocation must hold.
    """
    if public or not known.deployment.checks_keys:
        return Allowed(None)
    age = now - known.confirmed_at
    if age > revoke_after_s - REVOKE_MARGIN_S:
        return Unconfirmed(age)
    tenant = known.deployment.tenants.get(key or "")
    return UnknownKey() if tenant is None else Allowed(tenant)


def is_fresh(known: Knowledge, now: float, within_s: float) -> bool:
    """Return whether the configuration was confirmed within the last ``within_s`` seconds."""
    return now - known.confirmed_at <= within_s
