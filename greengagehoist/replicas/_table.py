"""Table of the known replicas, which outlasts outages of the platform's list."""

from collections.abc import Iterable
from typing import NamedTuple

from greengagehoist.replicas._types import Replica

# After an outage, entries that expired during it reappear in the list within about two seconds.
# The rest covers the period of the reads.
RETURN_GRACE_S = 2.5


class ReplicaTable(NamedTuple):
    """The known replicas.

    :param replicas: by id.
    :param missing_allowed_until: until this time, replicas that are missing from the list are kept.
    :param read_at: time at which the last successful read was sent, None before the first.
    """

    replicas: dict[str, Replica] = {}
    missing_allowed_until: float = 0.0
    read_at: float | None = None

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
    kept = {}
    if sent_at < table.missing_allowed_until:
        addresses = {item.address for item in found.values()}
        kept = {
            key: item
            for key, item in table.replicas.items()
            if key not in found and item.address not in addresses
        }
    return table._replace(replicas={**kept, **found}, read_at=sent_at)


def apply_outage(table: ReplicaTable, now: float) -> ReplicaTable:
    """Return the table after a read of the list has failed."""
    return table._replace(missing_allowed_until=now + RETURN_GRACE_S)
