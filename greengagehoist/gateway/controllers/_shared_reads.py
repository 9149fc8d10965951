"""Periodic reads of the platform that daemons share through hubs."""

import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from greengagehoist.gateway.controllers._held_content import HeldContent
from greengagehoist.gateway.controllers._relay import MAX_HUBS_ASKED, AskHub, Waiting
from greengagehoist.gateway.controllers._topology import Topology
from greengagehoist.utils import Clock, Controller, log_event

# With hubs, the ages of two reads add up: that of the hub that reads the platform and that of the
# daemon that asks it. The usual period is divided between them. Queries cost less than reads.
READER_PERIOD_FRACTION = 0.75
QUERY_PERIOD_FRACTION = 1.0 - READER_PERIOD_FRACTION
# Reads of a hub that are older than this many read periods are not used.
MAX_AGE_PERIODS = 1.0
# Least time between own reads while neither the hubs nor this daemon can read, so that an outage does
# not make all daemons read at once.
STALE_HUB_PERIOD_S = 1.5
# The same for daemons that no other one asks.
STALE_HUB_PERIOD_NON_HUB_S = 3.0
# Time for which hubs must have held old reads before this daemon reads itself. A hub that has just
# received a large response holds an old read until its next one, some milliseconds later.
STALE_CONFIRM_S = 0.25
# Delay between reads while the platform fails or nothing has been read yet.
RETRY_DELAY_S = 0.3
PERIOD_JITTER = 0.05
# Least time between the end of an own read and the next one.
MIN_READ_DELAY_S = 0.02
# Time for which hubs may be busy, or hold old reads by turns, before this daemon reads itself. The age of
# its newest proof at the end of that read is at most two read periods and this, so with a period of
# 1.8 s keys are still confirmed (4.8 s).
MAX_BUSY_S = 1.0


@dataclass(frozen=True, slots=True)
class Confirmed:
    """A hub holds the same content.

    :param at: time at which the platform held it.
    :param era: newest era of the platform's table that the hub knows of.
    :param proven_era: as of :class:`HeldContent`, like the fields that follow.
    """

    at: float
    era: int = 0
    proven_era: int = 0
    table: str = ""
    is_exact: bool = False
    evacuations_era: int = -1


@dataclass(frozen=True, slots=True)
class Changed:
    """A hub holds other content."""

    held: HeldContent


@dataclass(frozen=True, slots=True)
class HubStale:
    """The hubs' own reads of the platform are too old."""


@dataclass(frozen=True, slots=True)
class HubBusy:
    """The hubs run as many transfers as they may, or receive a large response of the platform.

    :param wait_s: seconds after which one of them may be asked again.
    """

    wait_s: float


@dataclass(frozen=True, slots=True)
class ReadNow:
    """No hub has answered, or this daemon is the one that reads for others."""


HubAnswer = Confirmed | Changed | HubStale | HubBusy | ReadNow


class SharedReads:
    """Decides for each periodic read of one topic whether a hub or the platform is asked.

    :param relay: controller that asks hubs for their newest reads.
    :param topic: ``deployment``, ``replicas`` or ``members``.
    :param vm: name of the own VM.
    :param topology: the hubs, and whether they read for the other daemons.
    :param period_s: seconds between reads.
    :ivar own_read_ok: whether the last read of the platform by this daemon itself succeeded.
    """

    def __init__(
        self,
        relay: Controller,
        topic: str,
        vm: str,
        topology: Topology,
        clock: Clock,
        rng: random.Random,
        period_s: float,
    ):
        self.relay = relay
        self.topic = topic
        self.vm = vm
        self.topology = topology
        self.clock = clock
        self.rng = rng
        self.period_s = period_s
        self.own_read_ok = False
        self._read_at = float("-inf")
        self._unsure_since = math.inf
        self._stale_since = math.inf

    async def next_step(self, token: str, era: int = 0) -> HubAnswer:
        """Return what a hub holds, or :class:`ReadNow` if this daemon must read the platform.

        :param token: token of the newest content that this daemon holds, empty if there is none.
        :param era: newest era of the platform's table that this daemon knows of.
        """
        if not token:
            answer: HubAnswer = ReadNow()
        else:
            max_age_s = MAX_AGE_PERIODS * self.period_s
            answer = await ask_hubs(self.relay, self.topic, token, self.clock, max_age_s, era)
        now = self.clock.monotonic()
        busy, stale = isinstance(answer, HubBusy), isinstance(answer, HubStale)
        self._unsure_since = min(now, self._unsure_since) if busy or stale else math.inf
        self._stale_since = min(now, self._stale_since) if stale else math.inf
        may_wait = busy or (stale and now - self._stale_since < STALE_CONFIRM_S)
        if may_wait and now - self._unsure_since < MAX_BUSY_S:
            return answer
        # While only the hubs are cut off, own reads keep the usual bounds.
        period_s = self.period_s if self.own_read_ok else math.inf
        is_hub = self.topology.is_hub(self.vm)
        if not should_read_platform(answer, now - self._read_at, is_hub, period_s):
            return answer
        self._read_at = now
        return ReadNow()

    async def pause(self, step: HubAnswer, ok: bool, max_delay_s: float = math.inf) -> None:
        """Wait until the next read.

        A read counts from its beginning, so that one that took long is followed by the next at once.

        :param step: what :meth:`next_step` returned for the last read.
        :param ok: whether the last read succeeded and this daemon holds some content.
        :param max_delay_s: seconds after which the content must be read again.
        """
        if isinstance(step, ReadNow):
            self.own_read_ok = ok
        shared = self.topology.shared.value
        delay_s = next_read_delay_s(step, ok, self.period_s, shared, self.rng)
        if ok and isinstance(step, ReadNow):
            took_s = self.clock.monotonic() - self._read_at
            delay_s = max(MIN_READ_DELAY_S, delay_s - took_s)
        await self.clock.sleep(min(delay_s, max_delay_s))

    async def guard(self, read: Awaitable[None], repeat: Callable[[], None]) -> None:
        """Wait for a read, and repeat it after a delay if it raises an unexpected error.

        :param read: one read, which starts the next one itself unless it raises.
        """
        try:
            await read
        except Exception as exc:
            reason = f"{type(exc).__name__} {exc}"
            log_event("periodic_read_crashed", "ERROR", topic=self.topic, reason=reason)
            await self.pause(ReadNow(), False)
            repeat()


async def ask_hubs(
    relay: Controller, topic: str, token: str, clock: Clock, max_age_s: float, era: int = 0
) -> HubAnswer:
    """Return a hub's newest read of the platform, or why this daemon has to read itself.

    :param token: token of the newest content that this daemon holds, empty if there is none.
    :param max_age_s: age above which a read is too old.
    :param era: newest era of the platform's table that this daemon knows of; what hubs of an
        earlier era hold is too old.
    """
    answer: HubAnswer = ReadNow()
    for skipped in range(MAX_HUBS_ASKED):
        held = await relay.ask(AskHub(topic, token, skipped, max_age_s, era))
        if held is None:
            continue
        if isinstance(held, Waiting):
            answer = HubBusy(held.wait_s)
            continue
        # A transfer may take longer than the age that a read may have.
        answered_at = clock.monotonic() if held.answered_at is None else held.answered_at
        if held.era < era or answered_at - held.at > max_age_s:
            if not isinstance(answer, HubBusy):
                answer = HubStale()
        elif held.token == token:
            return Confirmed(
                held.at,
                held.era,
                held.proven_era,
                held.table,
                held.is_exact,
                held.evacuations_era,
            )
        elif held.content:
            return Changed(held)
    return answer


def should_read_platform(
    answer: HubAnswer, since_read_s: float, is_hub: bool, max_period_s: float = math.inf
) -> bool:
    """Return whether a daemon reads the platform itself.

    :param since_read_s: seconds since its last own read, answered or not.
    :param max_period_s: most seconds between own reads while hubs hold old reads.
    """
    match answer:
        case Confirmed() | Changed():
            return False
        case HubStale():
            period_s = STALE_HUB_PERIOD_S if is_hub else STALE_HUB_PERIOD_NON_HUB_S
            return since_read_s >= min(period_s, max_period_s)
        case ReadNow() | HubBusy():
            return True


def next_read_delay_s(
    step: HubAnswer, ok: bool, period_s: float, shared: bool, rng: random.Random
) -> float:
    """Return the seconds until the next read.

    :param step: how the last read was made.
    :param ok: whether the last read succeeded and this daemon holds some content.
    :param period_s: usual seconds between reads.
    """
    delay_s = period_s
    if isinstance(step, HubBusy):
        # Daemons that were sent away together do not come back together.
        return step.wait_s * rng.uniform(1.0, 2.0)
    if not ok:
        delay_s = RETRY_DELAY_S
    elif shared:
        read = isinstance(step, ReadNow)
        delay_s *= READER_PERIOD_FRACTION if read else QUERY_PERIOD_FRACTION
    return delay_s * rng.uniform(1.0 - PERIOD_JITTER, 1.0 + PERIOD_JITTER)
