"""What a daemon offers and sends to others of the contents that it holds."""

from collections import Counter, defaultdict

from greengagehoist.gateway.controllers._held_content import HeldContent
from greengagehoist.peers import ContentOffer, ContentPiece, ContentQuery, PieceQuery
from greengagehoist.transfers import PIECE_BYTES, ContentVersions, TransferSlots
from greengagehoist.utils import Clock


class Offers:
    """Answers queries for contents and for pieces of their payloads.

    :ivar sent: bytes of payloads that were sent, by topic.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.slots = TransferSlots()
        self.sent: Counter[str] = Counter()
        self._versions: dict[str, ContentVersions] = defaultdict(ContentVersions)

    def offer(self, vm: str, query: ContentQuery, held: HeldContent | None) -> ContentOffer:
        """Return the answer to the daemon of ``vm``, with the payload if it is small."""
        if held is None or not held.may_read(vm):
            return ContentOffer(query.number, "", 0.0)
        now = self.clock.monotonic()
        offer = ContentOffer(
            query.number,
            held.token,
            now - held.at,
            held.era,
            held.proven_era,
            held.table,
            held.is_exact,
            held.evacuations_era,
        )
        if not held.content:
            return offer
        versions = self._versions[query.topic]
        versions.note(held.token, held.content)
        if held.token == query.token:
            return offer
        payload = versions.payload(query.token)
        offer = offer._replace(base=payload.base, digest=payload.digest, size=len(payload.data))
        if len(payload.data) > PIECE_BYTES:
            return offer._replace(wait_s=self.slots.admit(vm, query.topic, now))
        self.sent[query.topic] += len(payload.data)
        return offer._replace(data=payload.data)

    def piece(self, vm: str, query: PieceQuery, held: HeldContent | None) -> ContentPiece:
        """Return a piece of a payload that was offered."""
        nothing = ContentPiece(query.number, query.offset, b"")
        payload = self._versions[query.topic].find(query.digest)
        if payload is None or held is None or not held.may_read(vm) or query.offset < 0:
            return nothing
        wait_s = self.slots.admit(vm, query.topic, self.clock.monotonic())
        if wait_s:
            return nothing._replace(wait_s=wait_s)
        end = query.offset + PIECE_BYTES
        if end >= len(payload.data):
            self.slots.end(vm, query.topic)
        data = payload.data[query.offset : end]
        self.sent[query.topic] += len(data)
        return nothing._replace(data=data)
