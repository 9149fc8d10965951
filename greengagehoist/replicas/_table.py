"""Table of the known replicas, which outlasts outages of the platform's list."""

from collections.abc import Iterable
from typing import NamedTuple

from greengagehoist.replicas._types import Replica

# After an outage, entries that expired during it reappear in the list within about two seconds. The
# rest covers the time from the last failed read to the end of the outage.
RETURN_GRACE_S = 2.7
# A list that was restored from a copy names replicas that have left since. Within this time they
# have written that they leave again, or their entries have expired.
RESTORED_S = 5.0
# Copies are some seconds old.
LEFT_MEMORY_S = 60.0


class LeftReplica(NamedTuple):
    """An incarnation of a replica that has left.

    :param at: time of the read that showed it last.
    """

    born_ms: int
    at: float


class ReplicaTable(NamedTuple):
    """The known replicas.

    :param replicas: by id.
    :param missing_allowed_until: until this time, replicas that are missing from the list are kept.
    :param fresh_since: send time of the first read since the list was last away, None while it is.
    :param missing: ids of the replicas that are kept, although the last read did not list them.
    :param read_at: time at which the last successful read was sent, None before the first.
    :param restored_until: until this time, replicas in ``left`` get no requests whatever the list
        says.
    :param left: incarnations that were leaving or dropped from the list lately, by id.
    """

    replicas: dict[str, Replica] = {}
    missing_allowed_until: float = 0.0
    read_at: float | None = None
    restored_until: float = 0.0
    left: dict[str, LeftReplica] = {}
    missing: frozenset[str] = frozenset()
    fresh_since: float | None = None

    def zones_by_address(self) -> dict[str, str]:
        """Return the data centre of each replica by its ``ip:port``."""
        return {item.address: item.zone for item in self.replicas.values()}

    def of_service(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of a service that accept new requests."""
        return tuple(
            item for item in self.replicas.values() if item.service == service and not item.leaving
        )


def apply_read(table: ReplicaTable, listed: Iterable[Replica], sent_at: float) -> ReplicaTable:
    """Return the table after a complete read of the list.

    A replica that is not listed is dropped, except shortly after an outage of the list. A read that
    was sent before the last applied one changes nothing.
    """
    if table.read_at is not None and sent_at < table.read_at:
        return table
    found = {item.replica_id: item for item in listed}
    if sent_at < table.restored_until:
        found = _without_left(table, found)
    kept = {}
    if sent_at < table.missing_allowed_until:
        addresses = {item.address for item in found.values()}
        kept = {
            key: item
            for key, item in table.replicas.items()
            if key not in found and item.address not in addresses
        }
    replicas = {**kept, **found}
    left = _note_left(table, replicas, sent_at)
    return table._replace(
        replicas=replicas,
        read_at=sent_at,
        left=left,
        missing=frozenset(kept),
        fresh_since=sent_at if table.fresh_since is None else table.fresh_since,
    )


def drop_missing(table: ReplicaTable, now: float) -> ReplicaTable:
    """Return the table without the replicas that were kept after an outage, once it is time."""
    if not table.missing or now < table.missing_allowed_until:
        return table
    listed = {key: item for key, item in table.replicas.items() if key not in table.missing}
    left = _note_left(table, listed, now)
    return table._replace(replicas=listed, left=left, missing=frozenset())


def _without_left(table: ReplicaTable, found: dict[str, Replica]) -> dict[str, Replica]:
    """Return the replicas that a restored list names, without those that have left before."""
    usable = {}
    for key, item in found.items():
        left = table.left.get(key)
        if left is None or item.born_ms > left.born_ms:
            usable[key] = item
        elif key in table.replicas:
            usable[key] = item._replace(leaving=True)
    return usable


def _note_left(
    table: ReplicaTable, replicas: dict[str, Replica], sent_at: float
) -> dict[str, LeftReplica]:
    left = {
        key: item
        for key, item in table.left.items()
        if sent_at - item.at < LEFT_MEMORY_S and key not in replicas
    }
    for key in table.replicas.keys() - replicas.keys():
        left[key] = LeftReplica(table.replicas[key].born_ms, sent_at)
    for key, item in replicas.items():
        if item.leaving:
            left[key] = LeftReplica(item.born_ms, sent_at)
    return left


def apply_restore(table: ReplicaTable, now: float) -> ReplicaTable:
    """Return the table after the list was restored from a copy.

    Replicas that the copy lacks write their entries again; those that have left since are in it.
    """
    return apply_outage(table, now)._replace(restored_until=now + RESTORED_S)


def apply_outage(table: ReplicaTable, failed_at: float) -> ReplicaTable:
    """Return the table after a read of the list has failed.

    :param failed_at: time at which the newest call that failed was sent. The time of its failure does
        not count: if only this daemon was cut off, the platform may have been up all the while.
    """
    until = max(table.missing_allowed_until, failed_at + RETURN_GRACE_S)
    return table._replace(missing_allowed_until=until, fresh_since=None)
