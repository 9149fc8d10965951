"""Encoding of messages and lists."""

from greengagehoist.codec._lists import (
    ListFile,
    ListFilesError,
    PlacedProblem,
    Position,
    parse_list_files,
)
from greengagehoist.codec._peer import MAX_FRAME_BYTES, FrameError, MessageCodec
from greengagehoist.codec._snapshots import decode_snapshot, encode_snapshot

__all__ = [
    "FrameError",
    "MAX_FRAME_BYTES",
    "ListFile",
    "ListFilesError",
    "MessageCodec",
    "PlacedProblem",
    "Position",
    "decode_snapshot",
    "encode_snapshot",
    "parse_list_files",
]
