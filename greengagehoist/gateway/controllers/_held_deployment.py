"""What a daemon holds of the operator's configuration, also when the platform's store is restored.

The operator's own versions always increase, so that a daemon never goes back to a lower one. After
a restore the store may lack what the operator wrote last, until the operator has written it again.
A read that may show only the copy confirms nothing, as a revocation may be missing there.
"""

from dataclasses import dataclass
from typing import NamedTuple

from greengagehoist.deployment import DeploymentSnapshot, merge
from greengagehoist.platform_client import DeploymentRead, Revision

# The operator writes again within about this time after the return of a store that was restored.
OPERATOR_RETURN_S = 2.0


@dataclass(frozen=True, slots=True)
class InForce:
    """The read shows what is held now, and confirms it."""


@dataclass(frozen=True, slots=True)
class Unproven:
    """The read may show only the copy, which the operator has not written to yet."""


@dataclass(frozen=True, slots=True)
class Older:
    """The read shows an older version than the one that is held."""


@dataclass(frozen=True, slots=True)
class EarlierEra:
    """The read is from an earlier era of the store."""


@dataclass(frozen=True, slots=True)
class NoConfiguration:
    """The operator has not written a configuration yet."""


ReadOutcome = InForce | Unproven | Older | EarlierEra | NoConfiguration


class HeldDeployment(NamedTuple):
    """The newest configuration and the reads that it comes from.

    :param snapshot: None before the first configuration.
    :param source: the configuration as the operator wrote it.
    :param row: revision of the row with this configuration.
    :param row_versions: all versions of the row in which this configuration was read.
    :param era: newest era of the store that is known, None before the first read.
    :param era_since: time at which it became known.
    :param first_row: revision of the row at the first read in that era.
    :param proven_era: newest era in which reads are known to show what the operator wrote last.
    """

    snapshot: DeploymentSnapshot | None = None
    source: str = ""
    row: Revision = Revision()
    row_versions: frozenset[int] = frozenset()
    era: int | None = None
    era_since: float = 0.0
    first_row: Revision = Revision()
    proven_era: int = 0

    @property
    def version(self) -> int:
        """The operator's version, 0 if there is none."""
        return self.snapshot.deployment.version if self.snapshot else 0


def apply_own_read(
    held: HeldDeployment, read: DeploymentRead, sent_at: float, now: float
) -> tuple[HeldDeployment, ReadOutcome]:
    """Return what is held after a read of the platform, and what the read shows."""
    era = read.row.era
    if held.era is not None and era < held.era:
        return held, EarlierEra()
    held = _enter_era(held, read.row, now)
    if not read.row.version:
        return held, NoConfiguration()
    deployment = read.deployment
    if deployment is None and held.snapshot is not None and read.row == held.row:
        deployment = held.snapshot.deployment
    if deployment is None or deployment.version < held.version:
        return held, Older()
    proven = era == held.proven_era or _is_proven(held, read.row, deployment.version, sent_at)
    if proven:
        held = held._replace(proven_era=era)
    current = held.snapshot
    if read.deployment is not None:
        held = _take_content(held, read)
    if proven or current is None:
        return held._replace(snapshot=merge(current, deployment, sent_at)), InForce()
    return held._replace(snapshot=current._replace(deployment=deployment)), Unproven()


def apply_shared_read(
    held: HeldDeployment, read: DeploymentRead, confirmed_at: float, now: float
) -> tuple[HeldDeployment, ReadOutcome]:
    """Return what is held after another daemon has passed on what it holds.

    :param confirmed_at: time of the read by which the other daemon has confirmed it.
    """
    held = _enter_era(held, read.row, now)
    if read.deployment is None or read.deployment.version < held.version:
        return held, Older()
    current = held.snapshot
    if current is None or read.deployment.version > held.version:
        # The operator's version decides, whatever the era: the copy may lack this one.
        snapshot = DeploymentSnapshot(read.deployment, confirmed_at)
        return _take_content(held, read)._replace(snapshot=snapshot), InForce()
    if read.row.era < held.era:
        return held, EarlierEra()
    if read.row > held.row:
        held = _take_content(held, read)
    return held._replace(snapshot=merge(current, None, confirmed_at)), InForce()


def apply_confirmation(
    held: HeldDeployment, row: Revision, confirmed_at: float
) -> tuple[HeldDeployment, ReadOutcome]:
    """Return what is held after another daemon has confirmed the content of ``row``."""
    if held.era is not None and row.era < held.era:
        return held, EarlierEra()
    if row != held.row:
        return held, Older()
    return held._replace(snapshot=merge(held.snapshot, None, confirmed_at)), InForce()


def _enter_era(held: HeldDeployment, row: Revision, now: float) -> HeldDeployment:
    if held.era is None:
        return held._replace(era=row.era, era_since=now, first_row=row, proven_era=row.era)
    if row.era > held.era:
        return held._replace(era=row.era, era_since=now, first_row=row)
    return held


def _take_content(held: HeldDeployment, read: DeploymentRead) -> HeldDeployment:
    same = read.deployment.version == held.version
    versions = (held.row_versions if same else frozenset()) | {read.row.version}
    return held._replace(source=read.source, row=read.row, row_versions=versions)


def _is_proven(held: HeldDeployment, row: Revision, version: int, sent_at: float) -> bool:
    """Return whether the row shows what the operator wrote last before a restore, or later.

    In the copy a configuration has the version of the row that it had before.
    """
    written_again = version == held.version and row.version not in held.row_versions
    changed = row.version != held.first_row.version
    return written_again or changed or sent_at >= held.era_since + OPERATOR_RETURN_S
