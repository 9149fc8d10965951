"""Controller that chooses replicas and tracks their load and failures."""

import math
from typing import Any, NamedTuple

from greengagehoist.gateway.controllers._reach import Reach
from greengagehoist.gateway.controllers._time_ranking import (
    SpeedSample,
    TimedSend,
    TimeRanking,
    is_notable,
    log_choice,
)
from greengagehoist.replicas import (
    Affinity,
    ColdState,
    Incarnation,
    Load,
    Observed,
    PartCopy,
    Replica,
    ReplicaAvailability,
    ReplicaCounts,
    ReplicaTable,
    TimedChoice,
    WarmUp,
    choose,
    incarnation_of,
)
from greengagehoist.utils import Clock, Controller, Published, Reply, log_event

# Back-off after a failed connection to a replica; doubles with each further failure.
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Back-off for all replicas of a data centre that appears to be unreachable.
ZONE_BACKOFF_S = 1.0
# Weight of a new sample in the moving average of a replica's error rate.
ERROR_SMOOTHING = 0.2
# A replica with a higher error rate is avoided while others of its service are usable.
ERROR_LIMIT = 0.45
# Samples before the error rate is used.
MIN_SAMPLES = 4


class Choose(NamedTuple):
    """Ask for the replica of a request; replied by ``Replica | NotBefore | Evacuated | None``.

    The reply is None if there is no replica. The replica counts as busy with the request until
    :class:`RequestEnded`.

    :param exclude: ids of replicas that this request was already sent to.
    :param model: model that the replica must serve, empty for any.
    :param permitted: id of a replica that goes before all others, because the request has a permit
        for it; empty for none.
    :param send: what the request needs, for the choice by expected time.
    :param request: id of the request for the log.
    """

    service: str
    affinity: Affinity
    exclude: frozenset[str] = frozenset()
    model: str = ""
    permitted: str = ""
    send: TimedSend = TimedSend()
    request: str = ""


class NotBefore(NamedTuple):
    """All replicas of a service want no requests at present.

    :param at: time from which one of them may be sent a request.
    :param replica: that one.
    """

    at: float
    replica: Replica


class Evacuated(NamedTuple):
    """All replicas of a service are in evacuated data centres."""


class FindHome(NamedTuple):
    """Ask what :class:`Choose` would return now; replied by the same types.

    No replica counts as busy because of this query.
    """

    service: str
    affinity: Affinity
    model: str = ""
    send: TimedSend = TimedSend()


class AnswerBegun(NamedTuple):
    """Report the first event of an answer.

    :param ticket: ticket of the request.
    """

    ticket: int
    replica: Replica


class AbandonChoice(NamedTuple):
    """The task that asked for a replica was cancelled before it got the reply.

    :param ticket: ticket of the request.
    """

    ticket: int


class OwnLoadChanged(NamedTuple):
    """Tell followers that this daemon's requests have changed.

    :param counts: by replica id.
    :param sample: what an answer has told of the speed of its replica, None if nothing.
    :param copy: a part that a request has taken away from its home, None if it has not.
    """

    counts: dict[str, ReplicaCounts]
    sample: SpeedSample | None = None
    copy: PartCopy | None = None


class PartsCopied(NamedTuple):
    """Report shared parts that other daemons' requests have taken away from their homes."""

    copies: tuple[PartCopy, ...]


class RequestEnded(NamedTuple):
    """Report the end of a request at a replica.

    :param failure: ``""`` for success, ``unreachable``, ``rejected``, ``failed``, or ``cancelled``
        if the client closed the request.
    :param ticket: ticket of the request.
    """

    replica_id: str
    failure: str = ""
    ticket: int = 0


class LoadReported(NamedTuple):
    """Report the load that a replica sent with an answer."""

    replica_id: str
    load: Load


class AnswerObserved(NamedTuple):
    """Report what a replica's answer says about further requests.

    :param leaving: whether the replica is shutting down.
    :param pause_s: seconds for which it wants no requests, None if it does not say.
    """

    replica: Replica
    leaving: bool
    pause_s: float | None


class DeferSends(NamedTuple):
    """Send a replica no requests before a time, because there is no room within its limit."""

    replica: Replica
    until: float


class _Health:
    __slots__ = ("connect_failures", "error_rate", "observed", "samples")

    def __init__(self):
        self.observed = Observed()
        self.connect_failures = 0
        self.error_rate = 0.0
        self.samples = 0


class PlacementController(Controller):
    """Chooses replicas by shared prompt parts, load, data centre and recent failures.

    :param table: published table of the known replicas.
    :param reach: published set of daemons and data centres that can be reached.
    :param limits: published limits of replicas, in requests a second.
    :param zone: data centre of this daemon.
    :param ranking: chooses by expected time where a service calls for it.
    :param followers: controllers that receive :class:`OwnLoadChanged`.
    :param evacuated: published data centres whose replicas get no requests.
    :param cold: published cold replicas, which take part in a growing share of the choices.
    """

    def __init__(
        self,
        table: Published[ReplicaTable],
        reach: Published[Reach],
        limits: Published[dict[Incarnation, float]],
        clock: Clock,
        zone: str,
        ranking: TimeRanking,
        followers: tuple[Controller, ...] = (),
        evacuated: Published[frozenset[str]] | None = None,
        cold: Published[dict[Incarnation, ColdState]] | None = None,
    ):
        super().__init__("placement")
        self.cold = cold or Published({})
        self._warm_up = WarmUp()
        self.evacuated = evacuated or Published(frozenset())
        self.table = table
        self.reach = reach
        self.limits = limits
        self.clock = clock
        self.zone = zone
        self.ranking = ranking
        self.followers = followers
        # Choices by time since the start, and those of them that were logged.
        self.choices = self.choices_elsewhere = 0
        self._ranked: TimedChoice | None = None
        # Replica by the ticket of each request that counts as running.
        self._chosen: dict[int, str] = {}
        self._health: dict[str, _Health] = {}
        self._zone_avoid_until: dict[str, float] = {}
        self._availability = ReplicaAvailability(lambda: table.value)

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Choose():
                reply(self._choose(message))
            case FindHome(service, affinity, model, send):
                reply(self._find(Choose(service, affinity, frozenset(), model, send=send), {}))
            case PartsCopied(copies):
                for key, replica_id in copies:
                    self.ranking.copies.note(key, replica_id, self.clock.monotonic())
            case AbandonChoice(ticket):
                if ticket in self._chosen:
                    self._record_end(RequestEnded(self._chosen[ticket], "cancelled", ticket))
            case AnswerBegun(ticket, replica):
                # Unknown where the service is not placed by time.
                if self.ranking.sends.replica_of(ticket):
                    sample = self.ranking.begin_answer(ticket, replica, self.clock.monotonic())
                    self._tell_own_load(sample)
            case RequestEnded():
                self._record_end(message)
            case AnswerObserved():
                self._observe_answer(message)
            case DeferSends(replica, until):
                limit = self.limits.value.get(incarnation_of(replica))
                if limit is not None:
                    self._availability.defer(replica, limit, until)
            case LoadReported(replica_id, load):
                health = self._health_of(replica_id)
                health.observed = health.observed._replace(
                    load=load, reported_at=self.clock.monotonic(), sent_since_report=0
                )
                replica = self.table.value.replicas.get(replica_id)
                if replica is not None:
                    self.ranking.observe_load(replica, load)

    def _health_of(self, replica_id: str) -> _Health:
        return self._health.setdefault(replica_id, _Health())

    def _observe_answer(self, answer: AnswerObserved) -> None:
        replica, now = answer.replica, self.clock.monotonic()
        if self._availability.observe_answer(replica, answer.leaving, answer.pause_s, now):
            log_event("replica_leaving", replica=replica.replica_id, service=replica.service)
        if answer.pause_s is not None:
            log_event(
                "replica_paused",
                "WARNING",
                replica=replica.replica_id,
                service=replica.service,
                pause_s=round(answer.pause_s, 2),
            )

    def _find(
        self, query: Choose, cold: dict[Incarnation, ColdState]
    ) -> Replica | NotBefore | Evacuated | None:
        listed = [
            item
            for item in self.table.value.of_service(query.service)
            if not query.model or not item.models or query.model in item.models
        ]
        candidates = [item for item in listed if item.zone not in self.evacuated.value]
        if listed and not candidates:
            return Evacuated()
        now = self.clock.monotonic()
        sends_from = {
            item: self._availability.sends_from(item, now, self._limit_of(item, query))
            for item in candidates
            if item.replica_id not in query.exclude
        }
        available = [item for item, at in sends_from.items() if at <= now]
        permitted = [item for item in available if item.replica_id == query.permitted]
        if permitted:
            return permitted[0]
        available = self._warm_up.admit(available, cold, now)
        found = self._rank(query, available, now)
        earliest = min(sends_from, key=sends_from.__getitem__, default=None)
        if found is None and earliest is not None and sends_from[earliest] < math.inf:
            return NotBefore(sends_from[earliest], earliest)
        return found

    def _rank(self, query: Choose, available: list[Replica], now: float) -> Replica | None:
        """Return the best replica by expected time, or by utilization where that is not known."""
        if not self.ranking.is_on(query.service):
            return choose(available, self._observed_load, query.affinity, self.zone, now)
        observed = {item.replica_id: self._observed_load(item.replica_id) for item in available}
        choice = self.ranking.choose(
            query.service, query.send, query.affinity, available, observed, now
        )
        self._ranked = choice
        return choice.replica if choice is not None else None

    def _begin_timed(self, query: Choose, replica: Replica) -> None:
        """Count a request for the choice by expected time."""
        if not query.send.ticket or not self.ranking.is_on(query.service):
            return
        choice, self._ranked = self._ranked, None
        if choice is None or choice.replica != replica:
            # It had to wait for a permit.
            choice = TimedChoice(replica, 0.0, False, None, 0.0)
        now = self.clock.monotonic()
        self.ranking.begin(query.service, query.send, choice, now)
        copy = self.ranking.note_copy(query.affinity, choice, now)
        self.choices += 1
        if is_notable(choice, self.zone):
            self.choices_elsewhere += 1
            log_choice(query.request, query.service, choice, self.zone)
        self._tell_own_load(copy=copy)

    def _tell_own_load(
        self, sample: SpeedSample | None = None, copy: PartCopy | None = None
    ) -> None:
        changed = OwnLoadChanged(self.ranking.sends.counts(), sample, copy)
        for follower in self.followers:
            follower.tell(changed)

    def _limit_of(self, replica: Replica, query: Choose) -> float | None:
        """Return the limit within which a request has to wait for room."""
        if replica.replica_id == query.permitted:
            return None
        return self.limits.value.get(incarnation_of(replica))

    def _observed_load(self, replica_id: str) -> Observed:
        health = self._health.get(replica_id)
        observed = health.observed if health is not None else Observed()
        replica = self.table.value.replicas.get(replica_id)
        zone_avoid_until = (
            self._zone_avoid_until.get(replica.zone, 0.0) if replica is not None else 0.0
        )
        if zone_avoid_until <= observed.avoid_until:
            return observed
        return observed._replace(avoid_until=zone_avoid_until)

    def _update_zone_backoff(self, replica_id: str, unreachable: bool, now: float) -> None:
        """Avoid a whole data centre if neither its daemons nor the replica can be reached."""
        replica = self.table.value.replicas.get(replica_id)
        if replica is None:
            return
        if not unreachable:
            self._zone_avoid_until.pop(replica.zone, None)
        elif replica.zone in self.reach.value.silent_zones:
            self._zone_avoid_until[replica.zone] = now + ZONE_BACKOFF_S

    def _choose(self, query: Choose) -> Replica | NotBefore | Evacuated | None:
        found = self._find(query, self.cold.value)
        if isinstance(found, Replica):
            self._availability.begin_send(found, self.clock.monotonic())
            health = self._health_of(found.replica_id)
            health.observed = health.observed._replace(
                in_flight=health.observed.in_flight + 1,
                sent_since_report=health.observed.sent_since_report + 1,
            )
            if query.send.ticket:
                self._chosen[query.send.ticket] = found.replica_id
            self._begin_timed(query, found)
        self._evict_unlisted()
        return found

    def _record_end(self, end: RequestEnded) -> None:
        self._chosen.pop(end.ticket, None)
        health = self._health_of(end.replica_id)
        observed = health.observed._replace(in_flight=max(0, health.observed.in_flight - 1))
        now = self.clock.monotonic()
        replica = self.table.value.replicas.get(end.replica_id)
        if self.ranking.sends.replica_of(end.ticket):
            self._tell_own_load(self.ranking.end(end.ticket, replica, not end.failure, now))
        if replica is not None:
            self._availability.end_send(replica, end.failure in ("", "rejected"), now)
        if end.failure != "cancelled":
            self._update_zone_backoff(end.replica_id, end.failure == "unreachable", now)
        match end.failure:
            case "cancelled":
                pass
            case "unreachable":
                backoff = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**health.connect_failures)
                health.connect_failures = min(8, health.connect_failures + 1)
                observed = observed._replace(avoid_until=now + backoff)
                log_event(
                    "replica_avoided", "WARNING", replica=end.replica_id, reason="unreachable"
                )
            case failure:
                health.connect_failures = 0
                health.samples += 1
                failed = float(bool(failure))
                health.error_rate += ERROR_SMOOTHING * (failed - health.error_rate)
                if health.samples >= MIN_SAMPLES and health.error_rate > ERROR_LIMIT:
                    observed = observed._replace(avoid_until=now + MIN_BACKOFF_S * 2)
                    health.samples, health.error_rate = 0, 0.0
                    log_event("replica_avoided", "WARNING", replica=end.replica_id, reason=failure)
        health.observed = observed

    def _evict_unlisted(self) -> None:
        listed = self.table.value.replicas
        if len(self._health) > 2 * len(listed) + 16:
            self._health = {
                key: item
                for key, item in self._health.items()
                if key in listed or item.observed.in_flight
            }
