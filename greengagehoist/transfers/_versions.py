"""Versions of a content that a hub holds, and the payloads that it sends of them."""

import hashlib
from typing import NamedTuple

from greengagehoist.transfers._encoding import encode_change, encode_whole

# Earlier versions from which a change is sent. A daemon that asks once in half a second holds one of
# them even while the content changes several times a second.
MAX_EARLIER_VERSIONS = 4
# Payloads that are kept encoded, as many daemons ask for the same one at once.
MAX_PAYLOADS = 6
DIGEST_BYTES = 16


class Payload(NamedTuple):
    """Encoded content or change.

    :param token: token of the content to which it leads.
    :param base: token of the content that it changes, empty if it is a whole content.
    :param digest: identifies the bytes.
    """

    token: str
    base: str
    digest: str
    data: bytes


class ContentVersions:
    """Newest version of a content, a few earlier ones, and their encoded payloads."""

    def __init__(self):
        self._contents: dict[str, str] = {}
        self._payloads: dict[tuple[str, str], Payload] = {}

    def note(self, token: str, content: str) -> None:
        """Hold a version as the newest one."""
        if self._contents and next(reversed(self._contents)) == token:
            return
        self._contents.pop(token, None)
        self._contents[token] = content
        while len(self._contents) > MAX_EARLIER_VERSIONS + 1:
            del self._contents[next(iter(self._contents))]

    def payload(self, known: str) -> Payload:
        """Return what leads from the version ``known`` to the newest one.

        :param known: token of the version that the receiver holds, empty if it holds none.
        """
        token = next(reversed(self._contents))
        base = known if known in self._contents and known != token else ""
        found = self._payloads.get((token, base))
        if found is None:
            found = self._encode(token, base)
            self._payloads[token, base] = found
            while len(self._payloads) > MAX_PAYLOADS:
                del self._payloads[next(iter(self._payloads))]
        return found

    def find(self, digest: str) -> Payload | None:
        """Return a payload that was offered before, None if it is no longer held."""
        for key, payload in self._payloads.items():
            if payload.digest == digest:
                # A payload that is being sent stays while others are encoded.
                del self._payloads[key]
                self._payloads[key] = payload
                return payload
        return None

    def _encode(self, token: str, base: str) -> Payload:
        content = self._contents[token]
        data = encode_whole(content)
        if base and len(change := encode_change(self._contents[base], content)) < len(data):
            data = change
        else:
            base = ""
        digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
        return Payload(token, base, digest, data)
