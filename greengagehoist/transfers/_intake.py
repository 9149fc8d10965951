"""What a daemon has received of a payload."""

import hashlib
from typing import NamedTuple

from greengagehoist.transfers._encoding import (
    MAX_CONTENT_BYTES,
    apply_change,
    decode_whole,
    matches_token,
)
from greengagehoist.transfers._versions import DIGEST_BYTES

# A piece takes 26 ms on a link of 5 Mbit/s, so that heartbeats pass between the pieces.
PIECE_BYTES = 16 * 1024
MAX_PAYLOAD_BYTES = MAX_CONTENT_BYTES


class Intake(NamedTuple):
    """A payload that is arriving.

    :param digest: identifies the payload; each hub that holds its bytes may continue it.
    """

    token: str
    base: str
    digest: str
    size: int
    data: bytes = b""

    @property
    def is_complete(self) -> bool:
        """Whether all bytes have arrived."""
        return len(self.data) >= self.size


def begin_intake(
    token: str, base: str, digest: str, size: int, earlier: Intake | None = None
) -> Intake | None:
    """Return the state of a transfer that begins, None if the payload is too large.

    :param earlier: a transfer that ended early; its bytes are used if the payload is the same.
    """
    if not 0 < size <= MAX_PAYLOAD_BYTES:
        return None
    intake = Intake(token, base, digest, size)
    if earlier is not None and earlier._replace(data=b"") == intake:
        return earlier
    return intake


def add_piece(intake: Intake, offset: int, data: bytes) -> Intake | None:
    """Return the state after a piece, None if it is not the one that was asked for."""
    if offset != len(intake.data) or not 0 < len(data) <= intake.size - offset:
        return None
    return intake._replace(data=intake.data + data)


def finish_intake(intake: Intake, base_content: str) -> str:
    """Return the content of a complete transfer.

    :param base_content: content that this daemon holds under the token ``intake.base``.
    :raises ValueError: if the payload is malformed or does not lead to the content of its token.
    """
    if hashlib.blake2b(intake.data, digest_size=DIGEST_BYTES).hexdigest() != intake.digest:
        raise ValueError("payload differs from the one that was offered")
    is_change = bool(intake.base)
    content = apply_change(base_content, intake.data) if is_change else decode_whole(intake.data)
    if not matches_token(content, intake.token):
        raise ValueError("content differs from the one that its token names")
    return content
