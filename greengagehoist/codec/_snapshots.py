"""Snapshots of the lists as objects of the platform."""

import msgspec

from greengagehoist.config import Snapshot, parse_snapshot
from greengagehoist.utils import ValidationError


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot as JSON."""
    return msgspec.json.encode(snapshot._asdict())


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot that an object holds.

    :raises ValidationError: if it is not a snapshot; the lists themselves are checked later.
    """
    try:
        value = msgspec.json.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise ValidationError("snapshot", type(exc).__name__, "JSON") from exc
    return parse_snapshot(value)
