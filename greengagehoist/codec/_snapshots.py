"""JSON encoding of the snapshots of the lists in the platform's object store."""

import msgspec

from greengagehoist.config import Snapshot, parse_snapshot
from greengagehoist.utils import ValidationError


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot as JSON."""
    return msgspec.json.encode(snapshot._asdict())


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot from JSON.

    :raises ValidationError: if it is not a snapshot; the lists are checked when it is applied.
    """
    try:
        value = msgspec.json.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise ValidationError("snapshot", type(exc).__name__, "JSON") from exc
    return parse_snapshot(value)
