"""Controller that exchanges platform reads with hubs, to save reads of this daemon."""

import math
from typing import Any, NamedTuple

from greengagehoist.gateway.controllers._reach import Reach
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.membership import Member
from greengagehoist.peers import (
    FromPeer,
    SendTo,
    SharedRead,
    SharedReadRequest,
    Subscribe,
)
from greengagehoist.replicas import rendezvous_rank
from greengagehoist.utils import Clock, Controller, Published, Reply, log_event

# Allows for several round trips between data centres.
ANSWER_TIMEOUT_S = 0.15
# Hubs that are asked in turn while the earlier ones are silent or hold old reads. The last one is in
# another data centre, so that a daemon notices that only its own hubs cannot read.
MAX_HUBS_ASKED = 3


class HeldContent(NamedTuple):
    """Content that the platform held at a point in time.

    :param token: identifies the content.
    :param at: time on the own clock, no later than the time at which the read was sent.
    :param content: encoded content; empty if it came from a hub that holds the token asked for.
    :param readers: VMs of the daemons that may be told, None for all.
    :param era: newest era of the platform's table that its holder knows of.
    :param proven_era: newest era of which its holder knows that the table lacks nothing that was
        written before the restore.
    """

    token: str
    at: float
    content: str = ""
    readers: frozenset[str] | None = None
    era: int = 0
    proven_era: int = 0

    def may_read(self, vm: str) -> bool:
        """Return whether the daemon of ``vm`` may be told."""
        return self.readers is None or vm in self.readers


class AddSource(NamedTuple):
    """Answer the queries of other daemons about a topic by what is published."""

    topic: str
    held: Published[HeldContent | None]


class AskHub(NamedTuple):
    """Ask a hub for its newest read; replied by ``HeldContent | None``.

    :param topic: ``deployment``, ``replicas`` or ``members``.
    :param token: token of the content that this daemon holds, empty if there is none.
    :param skipped: number of hubs that were asked before.
    """

    topic: str
    token: str
    skipped: int = 0


class AskPeer(NamedTuple):
    """Ask a linked daemon for what it holds of a topic; replied by ``HeldContent | None``."""

    topic: str
    vm: str


class _TimedOut(NamedTuple):
    number: int


class _PendingQuery(NamedTuple):
    hub: str
    asked_at: float
    reply: Reply


class RelayController(Controller):
    """Exchanges platform reads between hubs and the other daemons.

    In each data centre one hub reads the platform; its deputies and all other daemons ask it and
    need few platform calls of their own. An answer holds the age of the hub's read at the time of
    the answer. The hub answered after the query was sent, so the content was current at the time of
    the query minus that age.

    :param own: this daemon.
    :param topology: the hubs, and the members that this daemon links to.
    :param reach: published set of daemons that can be reached.
    """

    def __init__(
        self,
        peers: Controller,
        own: Member,
        topology: Topology,
        reach: Published[Reach],
        clock: Clock,
    ):
        super().__init__("relay")
        self.peers = peers
        self.own = own
        self.topology = topology
        self.reach = reach
        self.clock = clock
        self._sources: dict[str, Published[HeldContent | None]] = {}
        self._pending: dict[int, _PendingQuery] = {}
        self._last_number = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        self.peers.tell(Subscribe((SharedReadRequest, SharedRead), self))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case AskHub():
                self._ask(message, reply)
            case AskPeer(topic, vm):
                self._query(vm, topic, "", reply)
            case AddSource(topic, held):
                self._sources[topic] = held
            case FromPeer(vm, _, _, SharedReadRequest(number, topic, token)):
                self._answer(vm, number, topic, token)
            case FromPeer(_, _, _, SharedRead() as answer):
                self._receive(answer)
            case _TimedOut(number):
                pending = self._pending.pop(number, None)
                if pending is not None:
                    log_event("hub_silent", "WARNING", hub=pending.hub, waited_s=ANSWER_TIMEOUT_S)
                    pending.reply(None)

    def _receive(self, answer: SharedRead) -> None:
        pending = self._pending.pop(answer.number, None)
        if pending is None:
            return
        at = pending.asked_at - answer.age_s
        eras = {"era": answer.era, "proven_era": answer.proven_era}
        held = HeldContent(answer.token, at, answer.content, **eras)
        # A negative age would make the read look newer than the question.
        valid = 0.0 <= answer.age_s < math.inf
        if not valid:
            reason = f"age of {answer.age_s} s"
            log_event("hub_read_unreadable", "WARNING", topic="", reason=reason)
        pending.reply(held if answer.token and valid else None)

    def _ask(self, query: AskHub, reply: Reply) -> None:
        hubs = self._hubs_to_ask()
        if query.skipped >= len(hubs):
            reply(None)
            return
        self._query(hubs[query.skipped], query.topic, query.token, reply)

    def _query(self, vm: str, topic: str, token: str, reply: Reply) -> None:
        self._last_number += 1
        self._pending[self._last_number] = _PendingQuery(vm, self.clock.monotonic(), reply)
        self.peers.tell(SendTo(vm, SharedReadRequest(self._last_number, topic, token)))
        self.start(self._start_timeout(self._last_number))

    async def _start_timeout(self, number: int) -> None:
        await self.clock.sleep(ANSWER_TIMEOUT_S)
        self.tell(_TimedOut(number))

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

    def _answer(self, vm: str, number: int, topic: str, known_token: str) -> None:
        source = self._sources.get(topic)
        held = source.value if source is not None else None
        answer = SharedRead(number, "", 0.0, "")
        if held is not None and held.may_read(vm):
            age_s = self.clock.monotonic() - held.at
            content = held.content if held.token != known_token else ""
            answer = SharedRead(number, held.token, age_s, content, held.era, held.proven_era)
        self.peers.tell(SendTo(vm, answer))


def _reader_rank(vm: str) -> bytes:
    return rendezvous_rank("reader", vm)
