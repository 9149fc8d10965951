"""Controller that asks hubs for their newest platform reads, to save reads of this daemon."""

import random
from dataclasses import dataclass
from typing import Any, NamedTuple

from greengagehoist.gateway.controllers._reach import Reach
from greengagehoist.membership import Member
from greengagehoist.peers import (
    FromPeer,
    ReadConfirmation,
    ReadConfirmationRequest,
    SendTo,
    Subscribe,
)
from greengagehoist.replicas import rendezvous_rank
from greengagehoist.utils import Clock, Controller, Published, Reply, log_event

# Allows for several round trips between data centres.
ANSWER_TIMEOUT_S = 0.15
# Hubs and the daemons that ask them use this fraction of the usual period, so that the ages of
# their reads add up to the usual one.
SHARED_PERIOD_FRACTION = 0.5
# Confirmations that are older than this many read periods are not used.
MAX_AGE_PERIODS = 1.0
# Least time between own reads while hubs cannot read, so that an outage of the hubs' reads does not
# make all daemons read at once.
STALE_HUB_PERIOD_S = 1.5
# Delay between reads while the platform fails or nothing has been read yet.
RETRY_DELAY_S = 0.3
PERIOD_JITTER = 0.05


class Confirmed(NamedTuple):
    """Content that the platform held at a point in time.

    :param token: identifies the content.
    :param at: time on the own clock, no later than the time at which the read was sent.
    """

    token: str
    at: float


@dataclass(frozen=True, slots=True)
class HubStale:
    """The hub's own read of the platform is too old."""


@dataclass(frozen=True, slots=True)
class ReadNow:
    """No hub has answered, or the hub has read other content than this daemon."""


HubAnswer = Confirmed | HubStale | ReadNow


class AskHub(NamedTuple):
    """Ask a hub for its newest read; replied by :class:`Confirmed`, or None if there is none.

    :param topic: ``deployment`` or ``replicas``.
    """

    topic: str


class _TimedOut(NamedTuple):
    number: int


class _PendingQuery(NamedTuple):
    asked_at: float
    reply: Reply


class RelayController(Controller):
    """Exchanges confirmations of platform reads between hubs and the other daemons.

    Daemons that get confirmations need few platform calls of their own. A confirmation holds the
    age of the hub's read at the time of the answer. The hub answered after the query was sent, so
    the content was current at the time of the query minus that age.

    :param shared: whether hubs read for the other daemons.
    :param hubs: published names of the hubs.
    :param links: published members that this daemon links to.
    :param sources: own newest reads by topic.
    """

    def __init__(
        self,
        peers: Controller,
        own: Member,
        shared: Published[bool],
        hubs: Published[frozenset[str]],
        links: Published[tuple[Member, ...]],
        reach: Published[Reach],
        clock: Clock,
    ):
        super().__init__("relay")
        self.peers = peers
        self.own = own
        self.shared = shared
        self.hubs = hubs
        self.links = links
        self.reach = reach
        self.clock = clock
        self.sources: dict[str, Published[Confirmed | None]] = {}
        self._pending: dict[int, _PendingQuery] = {}
        self._last_number = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        self.peers.tell(Subscribe((ReadConfirmationRequest, ReadConfirmation), self))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case AskHub(topic):
                self._ask(topic, reply)
            case FromPeer(vm, _, _, ReadConfirmationRequest(number, topic)):
                self._answer(vm, number, topic)
            case FromPeer(vm, _, _, ReadConfirmation(number, token, age_s)):
                pending = self._pending.pop(number, None)
                if pending is not None:
                    at = pending.asked_at - age_s
                    pending.reply(Confirmed(token, at) if token else None)
            case _TimedOut(number):
                pending = self._pending.pop(number, None)
                if pending is not None:
                    log_event("hub_silent", "WARNING", waited_s=ANSWER_TIMEOUT_S)
                    pending.reply(None)

    def _ask(self, topic: str, reply: Reply) -> None:
        hub = self._choose_hub(topic)
        if hub is None:
            reply(None)
            return
        self._last_number += 1
        self._pending[self._last_number] = _PendingQuery(self.clock.monotonic(), reply)
        self.peers.tell(SendTo(hub, ReadConfirmationRequest(self._last_number, topic)))
        self.start(self._start_timeout(self._last_number))

    async def _start_timeout(self, number: int) -> None:
        await self.clock.sleep(ANSWER_TIMEOUT_S)
        self.tell(_TimedOut(number))

    def _choose_hub(self, topic: str) -> str | None:
        """Return a hub, preferably in the own data centre, or None if this daemon reads itself."""
        if not self.shared.value or self.own.vm in self.hubs.value:
            return None
        usable = self.hubs.value & self.reach.value.ready
        near = {item.vm for item in self.links.value if item.data_centre == self.own.data_centre}
        names = usable & near or usable
        return max(names, key=lambda vm: rendezvous_rank(self.own.vm + topic, vm), default=None)

    def _answer(self, vm: str, number: int, topic: str) -> None:
        source = self.sources.get(topic)
        found = source.value if source is not None else None
        token, age_s = "", 0.0
        if found is not None:
            token, age_s = found.token, self.clock.monotonic() - found.at
        self.peers.tell(SendTo(vm, ReadConfirmation(number, token, age_s)))


async def ask_relay(
    relay: Controller, topic: str, token: str, now: float, period: float
) -> HubAnswer:
    """Return a hub's confirmation of what this daemon holds, or why there is none.

    :param token: token of the newest content that this daemon holds, empty if there is none.
    :param now: current time on the own clock.
    :param period: seconds between reads.
    """
    if not token:
        return ReadNow()
    found = await relay.ask(AskHub(topic))
    if found is None:
        return ReadNow()
    if now - found.at > MAX_AGE_PERIODS * period:
        return HubStale()
    return found if found.token == token else ReadNow()


def should_read_platform(answer: HubAnswer, since_read_s: float) -> bool:
    """Return whether a daemon reads the platform itself.

    :param since_read_s: seconds since its last own read, answered or not.
    """
    match answer:
        case Confirmed():
            return False
        case HubStale():
            return since_read_s >= STALE_HUB_PERIOD_S
        case ReadNow():
            return True


def next_read_delay_s(ok: bool, read_period_s: float, shared: bool, rng: random.Random) -> float:
    """Return the seconds until the next read.

    :param ok: whether the last read succeeded and this daemon holds some content.
    :param read_period_s: usual seconds between reads.
    """
    period = read_period_s * (SHARED_PERIOD_FRACTION if shared else 1.0) if ok else RETRY_DELAY_S
    return period * rng.uniform(1.0 - PERIOD_JITTER, 1.0 + PERIOD_JITTER)
