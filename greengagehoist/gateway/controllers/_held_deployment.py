"""What a daemon holds of the operator's configuration, also when the platform's store is restored.

The operator's own versions always increase, so that a daemon never goes back to a lower one. After
a restore the store may lack what the operator wrote last, until the operator has written it again.
A read that may show only the copy confirms nothing, as a revocation may be missing there.
"""

from dataclasses import dataclass
from typing import NamedTuple

from greengagehoist.deployment import DeploymentSnapshot, merge
from greengagehoist.gateway.controllers._evacuations import (
    Evacuations,
    merge_evacuations,
    read_evacuations,
)
from greengagehoist.platform_client import DeploymentRead, Revision, TableState

# The operator writes again within about this time after the return of a store that was restored.
OPERATOR_RETURN_S = 2.0
# Copies are some seconds old.
MAX_COPY_AGE_S = 20.0


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
    :param era: newest era of the store that is known, None before the first read.
    :param era_since: time at which it became known.
    :param first_row: revision of the row at the first own read in that era, None before it.
    :param copied_row: revision that the row with this configuration has if the store shows it as
        it was before the restore, None if that is not known.
    :param proven_era: newest era in which reads are known to show what the operator wrote last.
    :param believed_era: era in which this daemon believes its own reads, because it knew of no other
        at its first one; what other daemons hold may prove more.
    :param evacuations: data centres that the operator has evacuated.
    """

    snapshot: DeploymentSnapshot | None = None
    source: str = ""
    row: Revision = Revision()
    era: int | None = None
    era_since: float = 0.0
    first_row: Revision | None = None
    copied_row: Revision | None = None
    proven_era: int = 0
    believed_era: int | None = None
    evacuations: Evacuations = Evacuations()

    @property
    def version(self) -> int:
        """The operator's version, 0 if there is none."""
        return self.snapshot.deployment.version if self.snapshot else 0


def apply_unused_read(held: HeldDeployment, era: int, now: float) -> HeldDeployment:
    """Return what is held after a read that is not used, as a peer holds a newer configuration."""
    return _enter_era(held, era, now)


def apply_table_state(held: HeldDeployment, state: TableState, sent_at: float) -> HeldDeployment:
    """Return what is held after a read of the platform has shown the evacuations.

    The era is entered only with the configuration of the same read.
    """
    era = state.table.era
    if held.era is not None and era < held.era:
        return held
    # The operator writes the rows again one by one, so that only time proves that none is missing.
    proven = era == held.era and sent_at >= held.era_since + OPERATOR_RETURN_S
    return held._replace(evacuations=read_evacuations(held.evacuations, state, proven))


def apply_shared_evacuations(held: HeldDeployment, found: Evacuations) -> HeldDeployment:
    """Return what is held after another daemon has passed on the evacuations that it holds."""
    return held._replace(evacuations=merge_evacuations(held.evacuations, found))


def apply_own_read(
    held: HeldDeployment, read: DeploymentRead, sent_at: float, now: float
) -> tuple[HeldDeployment, ReadOutcome]:
    """Return what is held after a read of the platform, and what the read shows."""
    era = read.row.era
    if held.era is not None and era < held.era:
        return held, EarlierEra()
    if held.era is None:
        held = held._replace(believed_era=era)
    held = _enter_era(held, era, now)
    if held.first_row is None:
        held = held._replace(first_row=read.row)
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
    if proven or era == held.believed_era or current is None:
        # Another daemon's read may have been sent later and shown an older version. A newer version
        # holds what was revoked before that, so the later confirmation stays.
        confirmed_at = sent_at if current is None else max(sent_at, current.confirmed_at)
        return held._replace(snapshot=merge(current, deployment, confirmed_at)), InForce()
    return held._replace(snapshot=current._replace(deployment=deployment)), Unproven()


def apply_shared_read(
    held: HeldDeployment,
    read: DeploymentRead,
    confirmed_at: float,
    now: float,
    era: int,
    proven_era: int,
) -> tuple[HeldDeployment, ReadOutcome]:
    """Return what is held after another daemon has passed on what it holds.

    :param confirmed_at: time of the read by which the other daemon has confirmed it.
    :param era: newest era that the other daemon knows of.
    :param proven_era: newest era of which it knows that reads show what the operator wrote last.
    """
    held = _learn_proof(_enter_era(held, era, now), proven_era)
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
    return _confirm(held, confirmed_at)


def apply_confirmation(
    held: HeldDeployment, row: Revision, confirmed_at: float, proven_era: int
) -> tuple[HeldDeployment, ReadOutcome]:
    """Return what is held after another daemon has confirmed the content of ``row``.

    :param proven_era: as of :func:`apply_shared_read`.
    """
    held = _learn_proof(held, proven_era)
    if held.era is not None and row.era < held.era:
        return held, EarlierEra()
    if row != held.row:
        return held, Older()
    return _confirm(held, confirmed_at)


def _confirm(held: HeldDeployment, confirmed_at: float) -> tuple[HeldDeployment, ReadOutcome]:
    """Confirm what is held by another daemon's read, unless that may have shown only the copy."""
    if held.era not in (held.proven_era, held.believed_era):
        return held, Unproven()
    return held._replace(snapshot=merge(held.snapshot, None, confirmed_at)), InForce()


def _learn_proof(held: HeldDeployment, proven_era: int) -> HeldDeployment:
    return held._replace(proven_era=max(held.proven_era, proven_era))


def _enter_era(held: HeldDeployment, era: int, now: float) -> HeldDeployment:
    if held.era is None:
        return held._replace(era=era, era_since=now)
    if era <= held.era:
        return held
    # After another restore shortly before, the copy may have any of several rows.
    calm = now - held.era_since >= MAX_COPY_AGE_S
    known = calm and held.row.era == held.era == era - 1
    copied_row = held.row._replace(era=era) if known else None
    return held._replace(era=era, era_since=now, first_row=None, copied_row=copied_row)


def _take_content(held: HeldDeployment, read: DeploymentRead) -> HeldDeployment:
    if read.deployment.version != held.version:
        held = held._replace(copied_row=None)
    return held._replace(source=read.source, row=read.row)


def _is_proven(held: HeldDeployment, row: Revision, version: int, sent_at: float) -> bool:
    """Return whether the row shows what the operator wrote last before a restore, or later.

    In the copy a configuration has the version of the row that it had before.
    """
    written_again = version == held.version and held.copied_row not in (None, row)
    changed = held.first_row is not None and row.version > held.first_row.version
    return written_again or changed or sent_at >= held.era_since + OPERATOR_RETURN_S
