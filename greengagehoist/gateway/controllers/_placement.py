"""Controller that chooses replicas and remembers how they answer."""

from typing import Any, NamedTuple

from greengagehoist.gateway.controllers._reach import Reach
from greengagehoist.replicas import (
    Affinity,
    Load,
    Observed,
    Replica,
    ReplicaTable,
    choose,
)
from greengagehoist.utils import Clock, Controller, Published, Reply, log_event

# A replica that refused a connection is left out for this long, doubling with each failure.
FIRST_AVOID_S = 0.5
LONGEST_AVOID_S = 4.0
# A data centre that seems cut off is tried again after this time.
ZONE_CUT_S = 1.0
# Part of a new sample in the running error rate of a replica.
ERROR_SMOOTHING = 0.2
# Error rate above which a replica is left out, if its siblings are better.
ERROR_LIMIT = 0.45
# Samples before the error rate is trusted.
FEWEST_SAMPLES = 4


class Choose(NamedTuple):
    """Ask for the replica of a request; replied by ``Replica | None``.

    The replica counts as busy with the request until :class:`Ended`.

    :param exclude: ids of replicas that this request was already sent to.
    :param model: model that the replica must serve, empty for any.
    """

    service: str
    affinity: Affinity
    exclude: frozenset[str] = frozenset()
    model: str = ""


class FindHome(NamedTuple):
    """Ask which replica a request would go to now; replied by ``Replica | None``."""

    service: str
    affinity: Affinity
    model: str = ""


class Ended(NamedTuple):
    """Tell the end of a request at a replica.

    :param failure: what went wrong: ``""``, ``unreachable``, ``rejected``, ``failed`` or
        ``cancelled`` if the client left.
    """

    replica_id: str
    failure: str = ""


class LoadReported(NamedTuple):
    """Tell the load that a replica sent with an answer."""

    replica_id: str
    load: Load


class _Health:
    __slots__ = ("error_rate", "samples", "seen", "unreachable")

    def __init__(self):
        self.seen = Observed()
        self.unreachable = 0
        self.error_rate = 0.0
        self.samples = 0


class PlacementController(Controller):
    """Chooses replicas by prompt parts, load, zone and recent failures.

    :param table: the known replicas.
    :param reach: which daemons and data centres can be reached.
    :param zone: data centre of this daemon.
    """

    def __init__(
        self, table: Published[ReplicaTable], reach: Published[Reach], clock: Clock, zone: str
    ):
        super().__init__("placement")
        self.table = table
        self.reach = reach
        self.clock = clock
        self.zone = zone
        self._health: dict[str, _Health] = {}
        self._cut_until: dict[str, float] = {}

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Choose():
                reply(self._choose(message))
            case FindHome(service, affinity, model):
                reply(self._find(Choose(service, affinity, frozenset(), model)))
            case Ended():
                self._ended(message)
            case LoadReported(replica_id, load):
                health = self._of(replica_id)
                health.seen = health.seen._replace(
                    load=load, reported_at=self.clock.monotonic(), sent_since_report=0
                )

    def _of(self, replica_id: str) -> _Health:
        return self._health.setdefault(replica_id, _Health())

    def _find(self, wanted: Choose) -> Replica | None:
        candidates = [
            item
            for item in self.table.value.of_service(wanted.service)
            if not wanted.model or not item.models or wanted.model in item.models
        ]
        fresh = [item for item in candidates if item.replica_id not in wanted.exclude]
        return choose(
            fresh,
            self._observed,
            wanted.affinity,
            self.zone,
            self.clock.monotonic(),
        )

    def _observed(self, replica_id: str) -> Observed:
        health = self._health.get(replica_id)
        seen = health.seen if health is not None else Observed()
        replica = self.table.value.replicas.get(replica_id)
        cut = self._cut_until.get(replica.zone, 0.0) if replica is not None else 0.0
        if cut <= seen.avoid_until:
            return seen
        return seen._replace(avoid_until=cut)

    def _observe_zone(self, replica_id: str, unreachable: bool, now: float) -> None:
        """Leave a whole data centre out if neither its daemons nor a replica can be reached."""
        replica = self.table.value.replicas.get(replica_id)
        if replica is None:
            return
        if not unreachable:
            self._cut_until.pop(replica.zone, None)
        elif replica.zone in self.reach.value.silent_zones:
            self._cut_until[replica.zone] = now + ZONE_CUT_S

    def _choose(self, wanted: Choose) -> Replica | None:
        found = self._find(wanted)
        if found is not None:
            health = self._of(found.replica_id)
            health.seen = health.seen._replace(
                in_flight=health.seen.in_flight + 1,
                sent_since_report=health.seen.sent_since_report + 1,
            )
        self._forget_gone()
        return found

    def _ended(self, end: Ended) -> None:
        health = self._of(end.replica_id)
        seen = health.seen._replace(in_flight=max(0, health.seen.in_flight - 1))
        now = self.clock.monotonic()
        if end.failure != "cancelled":
            self._observe_zone(end.replica_id, end.failure == "unreachable", now)
        match end.failure:
            case "cancelled":
                pass
            case "unreachable":
                pause = min(LONGEST_AVOID_S, FIRST_AVOID_S * 2**health.unreachable)
                health.unreachable = min(8, health.unreachable + 1)
                seen = seen._replace(avoid_until=now + pause)
                log_event(
                    "replica_avoided", "WARNING", replica=end.replica_id, reason="unreachable"
                )
            case failure:
                health.unreachable = 0
                health.samples += 1
                failed = float(bool(failure))
                health.error_rate += ERROR_SMOOTHING * (failed - health.error_rate)
                if health.samples >= FEWEST_SAMPLES and health.error_rate > ERROR_LIMIT:
                    seen = seen._replace(avoid_until=now + FIRST_AVOID_S * 2)
                    health.samples, health.error_rate = 0, 0.0
                    log_event("replica_avoided", "WARNING", replica=end.replica_id, reason=failure)
        health.seen = seen

    def _forget_gone(self) -> None:
        known = self.table.value.replicas
        if len(self._health) > 2 * len(known) + 16:
            self._health = {
                key: item
                for key, item in self._health.items()
                if key in known or item.seen.in_flight
            }
