"""Encoding of messages and lists."""

from greengagehoist.codec._peer import LARGEST_FRAME_BYTES, FrameError, MessageCodec

__all__ = ["FrameError", "LARGEST_FRAME_BYTES", "MessageCodec"]
