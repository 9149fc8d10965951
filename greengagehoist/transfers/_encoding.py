"""Encoding of contents, and of the change from one version of a content to the next.

A content is JSON text whose lists have many entries. It is split after each entry, so that a change
consists of runs of entries that the earlier version holds too, and of the text of all others.
The order of the entries and the exact text are kept.
"""

import bisect
import hashlib
import re
import zlib
from collections import defaultdict

import msgspec

# Limit on a decoded content; the store's responses are limited to the same size.
MAX_CONTENT_BYTES = 4 * 1024 * 1024
COMPRESSION_LEVEL = 6
TOKEN_BYTES = 8

_ENTRY_ENDS = re.compile(r"(?<=[}\]],)")

# A run of parts of the earlier version, as first part and number of parts, or new text.
_Steps = list[tuple[int, int] | str]


def content_token(content: str, prefix: str = "") -> str:
    """Return the token of a content, which ends with its digest."""
    digest = hashlib.blake2b(content.encode(), digest_size=TOKEN_BYTES).hexdigest()
    return f"{prefix}/{digest}" if prefix else digest


def matches_token(content: str, token: str) -> bool:
    """Return whether a token is one of this content."""
    return token.rpartition("/")[2] == content_token(content)


def encode_whole(content: str) -> bytes:
    """Return the compressed content."""
    return zlib.compress(content.encode(), COMPRESSION_LEVEL)


def decode_whole(payload: bytes) -> str:
    """Return the content of a payload.

    :raises ValueError: if the payload is malformed or the content too large.
    """
    return _decompress(payload).decode()


def encode_change(before: str, after: str) -> bytes:
    """Return the compressed change that leads from one version to another."""
    old, new = _split(before), _split(after)
    positions: dict[str, list[int]] = defaultdict(list)
    for position, part in enumerate(old):
        positions[part].append(position)
    steps: list[list] = []
    cursor = 0
    for part in new:
        if cursor >= len(old) or old[cursor] != part:
            found = positions.get(part)
            if found is None:
                _add_text(steps, part)
                # An entry that was replaced is passed over.
                cursor += 1
                continue
            cursor = found[bisect.bisect_left(found, cursor) % len(found)]
        _add_run(steps, cursor)
        cursor += 1
    return zlib.compress(msgspec.json.encode(steps), COMPRESSION_LEVEL)


def apply_change(before: str, payload: bytes) -> str:
    """Return the version to which a change leads.

    :raises ValueError: if the payload is malformed, does not fit ``before`` or leads to a content
        that is too large.
    """
    old, parts, size = _split(before), [], 0
    steps = msgspec.json.decode(_decompress(payload), type=_Steps)
    for step in steps:
        match step:
            case (first, count):
                if not 0 <= first <= first + count <= len(old):
                    raise ValueError("change names parts that the earlier version lacks")
                text = "".join(old[first : first + count])
            case _:
                text = step
        size += len(text)
        if size > MAX_CONTENT_BYTES:
            raise ValueError(f"content of more than {MAX_CONTENT_BYTES} bytes")
        parts.append(text)
    return "".join(parts)


def _split(content: str) -> list[str]:
    return _ENTRY_ENDS.split(content)


def _add_run(steps: list, position: int) -> None:
    last = steps[-1] if steps else None
    if isinstance(last, list) and last[0] + last[1] == position:
        last[1] += 1
    else:
        steps.append([position, 1])


def _add_text(steps: list, part: str) -> None:
    if steps and isinstance(steps[-1], str):
        steps[-1] += part
    else:
        steps.append(part)


def _decompress(payload: bytes) -> bytes:
    decoder = zlib.decompressobj()
    try:
        data = decoder.decompress(payload, MAX_CONTENT_BYTES)
    except zlib.error as exc:
        raise ValueError(f"malformed payload: {exc}") from exc
    if not decoder.eof:
        raise ValueError(f"payload broke off, or has more than {MAX_CONTENT_BYTES} bytes")
    return data
