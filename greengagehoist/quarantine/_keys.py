"""Keys of prompt parts and of requests: of fixed size, whatever clients send."""

import hashlib
from collections.abc import Iterable

KEY_BYTES = 7
# Keeps the keys of requests apart from those of prompt parts.
REQUEST_DOMAIN = b"request"


def part_key(part_id: str) -> int:
    """Return the key of a prompt part."""
    digest = hashlib.blake2b(part_id.encode("utf-8", "surrogatepass"), digest_size=KEY_BYTES)
    return int.from_bytes(digest.digest())


def prompt_keys(part_ids: Iterable[str]) -> tuple[int, ...]:
    """Return the keys of the parts of a prompt, in order."""
    return tuple(part_key(item) for item in part_ids)


def request_key(method: bytes, host: str, target: bytes, caller: str, body: bytes) -> int:
    """Return the key of a request, which is the same whenever the request comes again.

    Its id, its deadline and other headers may differ.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES, person=REQUEST_DOMAIN)
    for field in (method, host.encode("utf-8", "surrogatepass"), target, caller.encode(), body):
        digest.update(len(field).to_bytes(8))
        digest.update(field)
    return int.from_bytes(digest.digest())
