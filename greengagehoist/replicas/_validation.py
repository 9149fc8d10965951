"""Validation of replicas that other programs describe."""

import ipaddress
from functools import lru_cache

from greengagehoist.replicas._cold import MAX_COLD_S
from greengagehoist.replicas._types import Replica
from greengagehoist.utils._validation import (
    MAX_PORT,
    ValidationError,
    check_address,
    check_float,
    check_int,
    check_label,
)

MAX_NAME_BYTES = 200
# Daemons read the whole list every second, and parsing an address takes most of the check's time.
MAX_CACHED_ADDRESSES = 16_384
MAX_SLOTS = 1_000_000
# Largest integer that all JSON decoders represent exactly.
MAX_BORN_MS = 2**53


def check_replica(replica: Replica) -> Replica:
    """Return ``replica`` if requests can be sent to it.

    Its names go into headers and log lines. Port 0 and ports above 65535 are rejected, because the
    event loop would connect to another port.

    :raises ValidationError: if a field is out of range.
    """
    check_label("id", replica.replica_id, MAX_NAME_BYTES)
    check_label("service", replica.service, MAX_NAME_BYTES)
    check_label("zone", replica.zone, MAX_NAME_BYTES)
    for name in replica.models:
        check_label("model", name, MAX_NAME_BYTES)
    check_int("port", replica.port, 1, MAX_PORT)
    _check_host(replica.host)
    check_int("slots", replica.slots, 0, MAX_SLOTS)
    check_int("born", replica.born_ms, 0, MAX_BORN_MS)
    if replica.cold_s is not None:
        check_float("cold_s", replica.cold_s, 0.0, MAX_COLD_S)
    check_int("cold_row", replica.cold_row, 0, MAX_BORN_MS)
    return replica


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def parse_address(address: str) -> tuple[str, int]:
    """Return the host and the port of a replica.

    :raises ValidationError: if ``address`` is not ``ip:port``.
    """
    return check_address("address", address)


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _check_host(host: str) -> None:
    accepted = "the IPv4 address of one machine"
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise ValidationError("host", host, accepted) from exc
    if address.is_unspecified or address.is_multicast:
        raise ValidationError("host", host, accepted)
