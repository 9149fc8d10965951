"""Data centres that the operator has evacuated, as one daemon knows them.

After a restore the store may lack evacuations until the operator has written them again. A read that
may show only the copy adds evacuations, and removes none.
"""

from typing import NamedTuple

from greengagehoist.platform_client import Revision, TableState


class Evacuations(NamedTuple):
    """Evacuated data centres.

    :param zones: names of the data centres.
    :param table: newest state of the platform's table that is known to show them.
    :param proven_era: newest era of which the table is known to lack no evacuation that was written
        before the restore, None before the first proof.
    """

    zones: frozenset[str] = frozenset()
    table: Revision = Revision()
    proven_era: int | None = None

    @property
    def is_proven(self) -> bool:
        """Whether data centres that are not named are not evacuated."""
        return self.proven_era == self.table.era


def read_evacuations(held: Evacuations, state: TableState, proven: bool) -> Evacuations:
    """Return what is known after a read of the platform.

    :param proven: whether the read shows all that was written before the last restore.
    """
    era = state.table.era
    found = Evacuations(state.evacuated, state.table, era if proven else held.proven_era)
    return merge_evacuations(held, found)


def merge_evacuations(held: Evacuations, found: Evacuations) -> Evacuations:
    """Return what is known from two sources; what only unproven reads lack stays evacuated."""
    if found.is_proven and found.table >= held.table:
        return found
    if held.is_proven and held.table >= found.table:
        return held
    eras = [item.proven_era for item in (held, found) if item.proven_era is not None]
    return Evacuations(
        held.zones | found.zones,
        max(held.table, found.table),
        max(eras, default=None),
    )
