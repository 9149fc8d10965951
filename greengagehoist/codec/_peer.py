"""CBOR encoding of the messages on peer links."""

import io
from collections.abc import Mapping
from typing import Any

import cbor2
import msgspec

# A snapshot of the lists of 12,000 organisations takes 1.3 MiB.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Bounds the time to check shared and cyclic values, which CBOR can represent.
MAX_VALUES = 200_000
MAX_NESTING = 32
# Fields of a message may be bytes; values inside of fields have JSON types.
FIELD_DEPTH = 1

_SCALARS = (str, int, float, bool, type(None))


class FrameError(ValueError):
    """A frame that does not hold a valid message."""


class MessageCodec:
    """Encodes ``NamedTuple`` messages as arrays whose first item is the tag of the message type.

    :param tags: tag of each message type; a tag is never reused for another type.
    """

    def __init__(self, tags: Mapping[type, int]):
        self.tags = tags

    def encode(self, message: Any) -> bytes:
        """Encode a message as a frame.

        :raises FrameError: if the frame would exceed ``MAX_FRAME_BYTES``.
        """
        frame = cbor2.dumps([self.tags[type(message)], *message])
        if len(frame) > MAX_FRAME_BYTES:
            raise FrameError(
                f"frame of {len(frame)} bytes, accepted: up to {MAX_FRAME_BYTES} bytes"
            )
        return frame

    def decode(self, frame: bytes | str) -> Any:
        """Decode a frame; return None if its message type is unknown.

        :raises FrameError: if the frame is malformed, too large or does not match the schema.
        """
        if not isinstance(frame, bytes) or len(frame) > MAX_FRAME_BYTES:
            raise FrameError(f"accepted: a binary frame of up to {MAX_FRAME_BYTES} bytes")
        try:
            value = _decode_cbor(frame)
            _check_json_types(value)
        except (cbor2.CBORDecodeError, ValueError, TypeError, OverflowError, RecursionError) as exc:
            raise FrameError(f"malformed or unsupported CBOR: {type(exc).__name__} {exc}") from exc
        if not isinstance(value, list) or not value or type(value[0]) is not int:
            raise FrameError("accepted: an array that starts with the tag of a message type")
        for message_type, tag in self.tags.items():
            if tag == value[0]:
                return _convert_fields(value[1:], message_type)
        return None


def _decode_cbor(frame: bytes) -> Any:
    stream = io.BytesIO(frame)
    value = cbor2.CBORDecoder(
        stream, max_depth=MAX_NESTING, allow_indefinite=False, strict_hashable_types=True
    ).decode()
    if stream.tell() != len(frame):
        raise FrameError("accepted: one value without trailing bytes")
    return value


def _convert_fields(fields: list, message_type: type) -> Any:
    try:
        return msgspec.convert(fields, type=message_type)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as exc:
        raise FrameError(f"{message_type.__name__}: {exc}") from exc


def _check_json_types(value: Any) -> None:
    """Check that a value has JSON types only and is within the limits on size and nesting."""
    pending = [(value, 0)]
    count = 0
    while pending:
        item, depth = pending.pop()
        count += 1
        if count > MAX_VALUES or depth > MAX_NESTING:
            raise FrameError(
                f"accepted: at most {MAX_VALUES} values and {MAX_NESTING} levels of nesting"
            )
        if type(item) is list:
            if count + len(pending) + len(item) > MAX_VALUES:
                raise FrameError(f"accepted: at most {MAX_VALUES} values")
            pending.extend((child, depth + 1) for child in item)
        elif type(item) is dict:
            if not all(type(key) is str for key in item):
                raise FrameError("accepted: maps with text keys")
            pending.extend((child, depth + 1) for child in item.values())
        elif type(item) is bytes and depth == FIELD_DEPTH:
            continue
        elif type(item) not in _SCALARS:
            raise FrameError(f"accepted: JSON types, got {type(item).__name__}")
