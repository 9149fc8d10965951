"""Hashes of a prompt's leading blocks."""

from hashlib import blake2b

BLOCK_CHARACTERS = 256
MAX_BLOCKS = 64


def hash_prefix(text: str) -> tuple[int, ...]:
    """Return a hash for each complete leading block of a prompt, up to ``MAX_BLOCKS``.

    Each hash covers the prompt from its start, so equal hashes mean equal prefixes.
    """
    hashes, digest = [], blake2b(digest_size=8)
    for end in range(BLOCK_CHARACTERS, len(text) + 1, BLOCK_CHARACTERS):
        digest.update(text[end - BLOCK_CHARACTERS : end].encode())
        hashes.append(int.from_bytes(digest.digest()))
        if len(hashes) == MAX_BLOCKS:
            break
    return tuple(hashes)
