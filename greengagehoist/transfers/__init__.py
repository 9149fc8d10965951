"""Transfer of large contents between daemons: changes, compression, pieces and their limits."""

from greengagehoist.transfers._encoding import (
    MAX_CONTENT_BYTES,
    apply_change,
    content_token,
    decode_whole,
    encode_change,
    encode_whole,
    matches_token,
)
from greengagehoist.transfers._intake import (
    MAX_PAYLOAD_BYTES,
    PIECE_BYTES,
    Intake,
    add_piece,
    begin_intake,
    finish_intake,
)
from greengagehoist.transfers._slots import TransferSlots
from greengagehoist.transfers._versions import ContentVersions, Payload

__all__ = [
    "MAX_CONTENT_BYTES",
    "MAX_PAYLOAD_BYTES",
    "PIECE_BYTES",
    "ContentVersions",
    "Intake",
    "Payload",
    "TransferSlots",
    "add_piece",
    "apply_change",
    "begin_intake",
    "content_token",
    "decode_whole",
    "encode_change",
    "encode_whole",
    "finish_intake",
    "matches_token",
]
