"""Encoding of messages and lists."""

from greengagehoist.codec._lists import (
    ListFile,
    ListFilesError,
    PlacedProblem,
    Position,
    parse_list_files,
)
from greengagehoist.codec._snapshots import decode_snapshot, encode_snapshot

__all__ = [
    "ListFile",
    "ListFilesError",
    "PlacedProblem",
    "Position",
    "decode_snapshot",
    "encode_snapshot",
    "parse_list_files",
]
