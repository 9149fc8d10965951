"""CBOR encoding of the messages on peer links."""

import io
from collections.abc import Mapping
from typing import Any

import cbor2
import msgspec

# A snapshot of the lists of 12,000 organisations takes 1.3 MiB.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Bounds the work of the check on shared and cyclic values, which CBOR can express.
MOST_VALUES = 200_000
DEEPEST_NESTING = 32

_SCALARS = (str, int, float, bool, type(None))


class FrameError(ValueError):
    """A frame that does not hold a valid message."""


class MessageCodec:
    """Encodes ``NamedTuple`` messages as arrays that start with a number for the type.

    :param tags: number of each message type; numbers are never given to another type.
    """

    def __init__(self, tags: Mapping[type, int]):
        self.tags = tags

    def encode(self, message: Any) -> bytes:
        """Return the frame of a message.

        :raises FrameError: if the frame would exceed ``MAX_FRAME_BYTES``.
        """
        frame = cbor2.dumps([self.tags[type(message)], *message])
        if len(frame) > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {len(frame)} bytes, accepted: {MAX_FRAME_BYTES}")
        return frame

    def decode(self, frame: bytes | str) -> Any:
        """Return the message of a frame, or None if its type is unknown.

        :raises FrameError: if the frame is malformed, too large or does not match the schema.
        """
        if not isinstance(frame, bytes) or len(frame) > MAX_FRAME_BYTES:
            raise FrameError(f"accepted: a binary frame of up to {MAX_FRAME_BYTES} bytes")
        try:
            value = _load(frame)
            _check_plain(value)
        except (cbor2.CBORDecodeError, ValueError, TypeError, OverflowError, RecursionError) as exc:
            raise FrameError(f"not plain CBOR: {type(exc).__name__} {exc}") from exc
        if not isinstance(value, list) or not value or type(value[0]) is not int:
            raise FrameError("accepted: an array that starts with the number of its type")
        for kind, tag in self.tags.items():
            if tag == value[0]:
                return _convert(value[1:], kind)
        return None


def _load(frame: bytes) -> Any:
    source = io.BytesIO(frame)
    value = cbor2.CBORDecoder(
        source, max_depth=DEEPEST_NESTING, allow_indefinite=False, strict_hashable_types=True
    ).decode()
    if source.tell() != len(frame):
        raise FrameError("accepted: one value without bytes after it")
    return value


def _convert(fields: list, kind: type) -> Any:
    try:
        return msgspec.convert(fields, type=kind)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as exc:
        raise FrameError(f"{kind.__name__}: {exc}") from exc


def _check_plain(value: Any) -> None:
    """Accept only what JSON can express, within bounds of size and nesting."""
    pending = [(value, 0)]
    seen = 0
    while pending:
        item, depth = pending.pop()
        seen += 1
        if seen > MOST_VALUES or depth > DEEPEST_NESTING:
            raise FrameError(f"accepted: {MOST_VALUES} values, nested {DEEPEST_NESTING} deep")
        if type(item) is list:
            if seen + len(pending) + len(item) > MOST_VALUES:
                raise FrameError(f"accepted: at most {MOST_VALUES} values")
            pending.extend((child, depth + 1) for child in item)
        elif type(item) is dict:
            if not all(type(key) is str for key in item):
                raise FrameError("accepted: maps with text keys")
            pending.extend((child, depth + 1) for child in item.values())
        elif type(item) not in _SCALARS:
            raise FrameError(f"{type(item).__name__} is not a plain value")
