"""Controller that exchanges platform reads with hubs, to save reads of this daemon."""

import math
from collections import Counter
from typing import Any, NamedTuple

from greengagehoist.gateway.controllers._held_content import HeldContent
from greengagehoist.gateway.controllers._offers import Offers
from greengagehoist.gateway.controllers._reach import Reach
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.membership import Member
from greengagehoist.peers import (
    ContentOffer,
    ContentPiece,
    ContentQuery,
    FromPeer,
    PieceQuery,
    SendTo,
    Subscribe,
)
from greengagehoist.platform_client import parse_revision
from greengagehoist.replicas import rendezvous_rank
from greengagehoist.transfers import Intake, add_piece, begin_intake, finish_intake
from greengagehoist.utils import Clock, Controller, Published, Reply, log_event

# Allows for several round trips between data centres.
ANSWER_TIMEOUT_S = 0.15
# A hub that runs as many transfers as it may over a link of 5 Mbit/s sends a piece of each in 0.42 s.
PIECE_TIMEOUT_S = 1.0
# Hubs that are asked in turn while the earlier ones are silent or hold old reads. The last one is in
# another data centre, so that a daemon notices that only its own hubs cannot read.
MAX_HUBS_ASKED = 3
MAX_WAIT_S = 5.0
# Time after which a hub is asked again that is receiving a large response of the platform.
READING_WAIT_S = 0.2
# Delay of an own timer from which on this daemon counts as held up.
MAX_LATE_S = 0.02


class Waiting(NamedTuple):
    """A hub runs as many transfers as it may.

    :param wait_s: seconds after which it may be asked again.
    """

    wait_s: float


class AddSource(NamedTuple):
    """Answer the queries of other daemons about a topic by what is published."""

    topic: str
    held: Published[HeldContent | None]


class AskHub(NamedTuple):
    """Ask a hub for its newest read; replied by ``HeldContent | Waiting | None``.

    :param topic: ``deployment``, ``replicas`` or ``members``.
    :param token: token of the content that this daemon holds, empty if there is none.
    :param skipped: number of hubs that were asked before.
    :param max_age_s: age of a read above which its content is not transferred.
    :param era: era of the platform's table; contents of earlier eras are not transferred.
    """

    topic: str
    token: str
    skipped: int = 0
    max_age_s: float = math.inf
    era: int = 0


class AskPeer(NamedTuple):
    """Ask a linked daemon for what it holds of a topic; replied like :class:`AskHub`.

    :param token: token of the content that this daemon knows.
    """

    topic: str
    vm: str
    token: str = ""


class _TimedOut(NamedTuple):
    """The time for an answer is over.

    :param late_s: seconds by which this daemon itself was late to notice.
    """

    number: int
    late_s: float


class _Pending(NamedTuple):
    """A query that waits for its answer, or a transfer that waits for its next piece.

    :param query: what this daemon wants to know.
    :param asked_at: time of the query.
    :param held: what was offered, None before that.
    :param intake: what has arrived of it.
    """

    hub: str
    query: AskHub
    asked_at: float
    reply: Reply
    held: HeldContent | None = None
    intake: Intake | None = None

    @property
    def timeout_s(self) -> float:
        """Seconds of silence after which the hub is given up."""
        return ANSWER_TIMEOUT_S if self.intake is None else PIECE_TIMEOUT_S


class RelayController(Controller):
    """Exchanges platform reads between hubs and the other daemons.

    In each data centre one hub reads the platform; its deputies and all other daemons ask it and
    need few platform calls of their own. A hub answers at once with the age of its read. It answered
    after the query was sent, so the content was current at the time of the query minus that age.

    A large payload is pulled in pieces, one at a time, so that other messages pass between them. A
    transfer goes on as long as pieces arrive. What has arrived of one that ends early is kept, and
    the next hub continues it.

    :param own: this daemon.
    :param topology: the hubs, and the members that this daemon links to.
    :param reach: published set of daemons that can be reached.
    :param arriving: published number of large responses of the platform that are arriving.
    :ivar offers: what this daemon offers to others.
    :ivar received: bytes of payloads that have arrived, by topic.
    """

    def __init__(
        self,
        peers: Controller,
        own: Member,
        topology: Topology,
        reach: Published[Reach],
        clock: Clock,
        arriving: Published[int] | None = None,
    ):
        super().__init__("relay")
        self.peers = peers
        self.own = own
        self.topology = topology
        self.reach = reach
        self.clock = clock
        self.offers = Offers(clock)
        self.arriving = arriving or Published(0)
        self.received: Counter[str] = Counter()
        self._sources: dict[str, Published[HeldContent | None]] = {}
        self._pending: dict[int, _Pending] = {}
        self._heard_at: dict[str, float] = {}
        self._partial: dict[str, Intake] = {}
        self._last_number = 0

    @property
    def transfers(self) -> int:
        """Number of transfers to and from this daemon."""
        arriving = sum(item.intake is not None for item in self._pending.values())
        return arriving + self.offers.slots.count(self.clock.monotonic())

    async def run(self) -> None:
        """Handle messages until cancelled."""
        kinds = (ContentQuery, ContentOffer, PieceQuery, ContentPiece)
        self.peers.tell(Subscribe(kinds, self))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case AskHub():
                self._ask(message, reply)
            case AskPeer(topic, vm, token):
                self._query(vm, AskHub(topic, token), reply)
            case AddSource(topic, held):
                self._sources[topic] = held
            case FromPeer(vm, _, _, ContentQuery(number, topic, token)):
                self._answer(vm, number, topic, token)
            case FromPeer(vm, _, _, PieceQuery() as query):
                piece = self.offers.piece(vm, query, self._held(query.topic))
                self.peers.tell(SendTo(vm, piece))
            case FromPeer(vm, _, _, ContentOffer() as offer):
                self._heard_at[vm] = self.clock.monotonic()
                pending = self._pending.pop(offer.number, None)
                if pending is not None:
                    self._receive_offer(pending, offer)
            case FromPeer(vm, _, _, ContentPiece() as piece):
                self._heard_at[vm] = self.clock.monotonic()
                pending = self._pending.pop(piece.number, None)
                if pending is not None and pending.intake is not None:
                    self._receive_piece(pending, piece)
            case _TimedOut(number, late_s):
                self._time_out(number, late_s)

    def _held(self, topic: str) -> HeldContent | None:
        source = self._sources.get(topic)
        return source.value if source is not None else None

    def _answer(self, vm: str, number: int, topic: str, known_token: str) -> None:
        query = ContentQuery(number, topic, known_token)
        offer = self.offers.offer(vm, query, self._held(topic))
        self.peers.tell(SendTo(vm, offer._replace(is_reading=self.arriving.value > 0)))

    def _ask(self, query: AskHub, reply: Reply) -> None:
        hubs = self._hubs_to_ask()
        if query.skipped >= len(hubs):
            reply(None)
            return
        self._query(hubs[query.skipped], query, reply)

    def _query(self, vm: str, query: AskHub, reply: Reply) -> None:
        pending = _Pending(vm, query, self.clock.monotonic(), reply)
        number = self._wait_for(pending)
        self.peers.tell(SendTo(vm, ContentQuery(number, query.topic, query.token)))

    def _wait_for(self, pending: _Pending) -> int:
        self._last_number += 1
        self._pending[self._last_number] = pending
        self.start(self._start_timeout(self._last_number, pending.timeout_s))
        return self._last_number

    async def _start_timeout(self, number: int, delay_s: float) -> None:
        due = self.clock.monotonic() + delay_s
        await self.clock.sleep(delay_s)
        self.tell(_TimedOut(number, self.clock.monotonic() - due))

    def _time_out(self, number: int, late_s: float) -> None:
        pending = self._pending.get(number)
        if pending is None:
            return
        now, timeout_s = self.clock.monotonic(), pending.timeout_s
        silent_s = now - max(pending.asked_at, self._heard_at.get(pending.hub, -math.inf))
        in_time = now - pending.asked_at < PIECE_TIMEOUT_S
        if in_time and (silent_s < timeout_s or late_s > MAX_LATE_S):
            # The hub answers other queries, or sends other contents, over the same link; or this
            # daemon was held up, so that the answer may have arrived without being read.
            self.start(self._start_timeout(number, max(MAX_LATE_S, timeout_s - silent_s)))
            return
        del self._pending[number]
        log_event("hub_silent", "WARNING", hub=pending.hub, waited_s=round(silent_s, 3))
        self._end_early(pending, "silent", None)

    def _receive_offer(self, pending: _Pending, offer: ContentOffer) -> None:
        reason = _flaw_of(offer)
        if reason:
            log_event("hub_read_unreadable", "WARNING", topic=pending.query.topic, reason=reason)
        if reason or not offer.token:
            pending.reply(None)
            return
        held = HeldContent(
            offer.token,
            pending.asked_at - offer.age_s,
            era=offer.era,
            proven_era=offer.proven_era,
            table=offer.table,
            is_exact=offer.is_exact,
            evacuations_era=offer.evacuations_era,
            answered_at=self.clock.monotonic(),
        )
        query = pending.query
        too_old = offer.era < query.era or held.answered_at - held.at > query.max_age_s
        if too_old and offer.is_reading and offer.era >= query.era:
            # Its read is old because the next one takes long, and not because it cannot read.
            pending.reply(Waiting(READING_WAIT_S))
        elif too_old or not offer.digest or offer.token == query.token:
            if offer.token == query.token:
                self._partial.pop(query.topic, None)
            pending.reply(held)
        elif offer.wait_s > 0:
            log_event("hub_busy", topic=query.topic, hub=pending.hub, wait_s=offer.wait_s)
            pending.reply(Waiting(min(offer.wait_s, MAX_WAIT_S)))
        else:
            self._begin(pending._replace(held=held), offer)

    def _begin(self, pending: _Pending, offer: ContentOffer) -> None:
        topic = pending.query.topic
        earlier = self._partial.pop(topic, None)
        intake = begin_intake(offer.token, offer.base, offer.digest, offer.size, earlier)
        if intake is None:
            reason = f"payload of {offer.size} bytes"
            log_event("hub_read_unreadable", "WARNING", topic=topic, reason=reason)
            pending.reply(None)
            return
        if offer.data:
            intake = intake._replace(data=b"")
            piece = ContentPiece(offer.number, 0, offer.data)
            self._receive_piece(pending._replace(intake=intake), piece)
            return
        log_event(
            "content_transfer_started",
            topic=topic,
            hub=pending.hub,
            size=offer.size,
            present=len(intake.data),
            kind="change" if offer.base else "whole",
        )
        self._ask_for_piece(pending._replace(intake=intake))

    def _ask_for_piece(self, pending: _Pending) -> None:
        intake, topic = pending.intake, pending.query.topic
        if intake.is_complete:
            self._finish(pending)
            return
        number = self._wait_for(pending._replace(asked_at=self.clock.monotonic()))
        query = PieceQuery(number, topic, intake.digest, len(intake.data))
        self.peers.tell(SendTo(pending.hub, query))

    def _receive_piece(self, pending: _Pending, piece: ContentPiece) -> None:
        if not piece.data:
            waiting = Waiting(min(piece.wait_s, MAX_WAIT_S)) if piece.wait_s > 0 else None
            self._end_early(pending, "hub is busy" if waiting else "payload is gone", waiting)
            return
        intake = add_piece(pending.intake, piece.offset, piece.data)
        if intake is None:
            self._end_early(pending, "piece does not fit", None)
            return
        self.received[pending.query.topic] += len(piece.data)
        self._ask_for_piece(pending._replace(intake=intake))

    def _end_early(self, pending: _Pending, reason: str, answer: Waiting | None) -> None:
        """Give a hub up and keep what has arrived, so that the next one continues."""
        intake = pending.intake
        if intake is not None:
            self._partial[pending.query.topic] = intake
            log_event(
                "content_transfer_interrupted",
                "WARNING",
                topic=pending.query.topic,
                hub=pending.hub,
                reason=reason,
                present=len(intake.data),
                size=intake.size,
            )
        pending.reply(answer)

    def _finish(self, pending: _Pending) -> None:
        query, intake = pending.query, pending.intake
        own = self._held(query.topic)
        base = own.content if own is not None and own.token == intake.base else ""
        try:
            content = finish_intake(intake, base)
        except ValueError as exc:
            log_event("hub_read_unreadable", "WARNING", topic=query.topic, reason=str(exc))
            if intake.base:
                # The change does not fit; the whole content does not depend on what is held.
                self._query(pending.hub, query._replace(token=""), pending.reply)
            else:
                pending.reply(None)
            return
        pending.reply(pending.held._replace(content=content))

    def _hubs_to_ask(self) -> tuple[str, ...]:
        """Return the hubs to ask, in order; empty if this daemon reads the platform itself.

        A hub asks only those of its data centre that come before it in the order of all daemons
        there, so that one of them reads.
        """
        if not self.topology.shared.value:
            return ()
        usable = self.topology.hubs.value & self.reach.value.ready
        data_centre, links = self.own.data_centre, self.topology.links.value
        near = {item.vm for item in links if item.data_centre == data_centre} & usable
        in_order = sorted(near, key=_reader_rank, reverse=True)
        if self.topology.is_hub(self.own.vm):
            own_rank = _reader_rank(self.own.vm)
            return tuple(vm for vm in in_order if _reader_rank(vm) > own_rank)
        far = sorted(usable - near, key=lambda vm: rendezvous_rank(self.own.vm, vm), reverse=True)
        return tuple(in_order[: MAX_HUBS_ASKED - 1] + far)[:MAX_HUBS_ASKED]


def _flaw_of(offer: ContentOffer) -> str:
    """Return why an offer cannot be used, empty if it can."""
    if not 0.0 <= offer.age_s < math.inf:
        # A negative age would make the read look newer than the question.
        return f"age of {offer.age_s} s"
    if math.isnan(offer.wait_s):
        return "wait is no number"
    try:
        parse_revision(offer.table or "0.0")
    except ValueError:
        return "malformed state of the table"
    return ""


def _reader_rank(vm: str) -> bytes:
    return rendezvous_rank("reader", vm)
