"""Encoding of peer messages, list files and snapshots."""

from greengagehoist.codec._lists import (
    ListFile,
    ListFilesError,
    LocatedProblem,
    Position,
    parse_list_files,
)
from greengagehoist.codec._peer import MAX_FRAME_BYTES, FrameError, MessageCodec
from greengagehoist.codec._snapshots import decode_snapshot, encode_snapshot

__all__ = [
    "FrameError",
    "ListFile",
    "ListFilesError",
    "MAX_FRAME_BYTES",
    "MessageCodec",
    "LocatedProblem",
    "Position",
    "decode_snapshot",
    "encode_snapshot",
    "parse_list_files",
]
