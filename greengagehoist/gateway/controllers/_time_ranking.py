"""What the placement controller knows for the choice of replicas by expected time."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from greengagehoist.deployment import DeploymentSnapshot
from greengagehoist.quarantine import part_key
from greengagehoist.replicas import (
    NO_FIGURES,
    NO_REQUESTS,
    SLOWDOWN_MAX_AGE_S,
    Affinity,
    LearntSpeeds,
    Load,
    LoadView,
    Need,
    Observed,
    OwnSend,
    OwnSends,
    PartCopies,
    PartCopy,
    PlainWork,
    PromptAffinity,
    Replica,
    ReplicaCounts,
    ReplicaFigures,
    ReplicaKnowledge,
    TimedChoice,
    Work,
    add_counts,
    choose_by_time,
    expected_s,
)
from greengagehoist.utils import Published, log_event

# Numbers of requests in a load report count for this long.
REPORT_MAX_AGE_S = 1.0
# A reported slowdown changes the learnt one by at most this factor.
MAX_REPORTED_CHANGE = 4.0
# An answer tells the speed of a replica if at least this part of its expected time was its own prompt:
# the rest depends on requests of other daemons.
MIN_OWN_PART = 0.5


class TimedSend(NamedTuple):
    """A request for the choice by expected time.

    :param ticket: identifies the request until its end, 0 if it is not sent yet.
    """

    ticket: int = 0
    work: Work = PlainWork()


class SpeedSample(NamedTuple):
    """An answer took ``ratio`` times as long as at the usual speed."""

    replica_id: str
    ratio: float


class TimeRanking:
    """Own sends, learnt speeds and reports, and the choice that follows from them.

    Takes effect for a service whose configuration describes its engines with their memory, or that
    has no engines, in deployments with hubs or once a load report of the service has stated a
    slowdown.

    :param snapshot: published configuration.
    :param shared: published, whether the deployment has hubs.
    :param view: published requests of the other daemons.
    :param zone: data centre of this daemon.
    """

    def __init__(
        self,
        snapshot: Published[DeploymentSnapshot | None],
        shared: Published[bool],
        view: Published[LoadView],
        zone: str,
        rng: random.Random,
    ):
        self.snapshot = snapshot
        self.shared = shared
        self.view = view
        self.zone = zone
        self.rng = rng
        self.sends = OwnSends()
        self.learnt = LearntSpeeds()
        self.copies = PartCopies()
        self._reported = LearntSpeeds()
        self._states_slowdown: set[str] = set()

    def is_on(self, service: str) -> bool:
        """Return whether requests of a service are placed by expected time."""
        if not self.shared.value and service not in self._states_slowdown:
            return False
        snapshot = self.snapshot.value
        known = snapshot.deployment.services.get(service) if snapshot is not None else None
        return known is not None and (known.engine is None or known.engine.kv_tokens > 0)

    def observe_load(self, replica: Replica, load: Load) -> None:
        """Learn from a load report."""
        if load.slowdown != 1.0 and replica.service not in self._states_slowdown:
            self._states_slowdown.add(replica.service)
            log_event("load_reports_state_slowdown", service=replica.service)
        if replica.service in self._states_slowdown:
            self._reported.observe(replica.replica_id, replica.service, load.slowdown)

    def choose(
        self,
        service: str,
        send: TimedSend,
        affinity: Affinity,
        candidates: Sequence[Replica],
        observed: dict[str, Observed],
        now: float,
    ) -> TimedChoice | None:
        """Return the choice among replicas of a service.

        :param observed: what this daemon has observed of each of them.
        """
        others = self.view.value.usable(now)
        known = {
            item.replica_id: self._know(item, observed[item.replica_id], others, now)
            for item in candidates
        }
        copies: frozenset[str] = frozenset()
        match affinity:
            case PromptAffinity(part, _):
                copies = self.copies.of(part_key(part), now)
        need = Need(send.work, affinity, self._kv_tokens(service), copies)
        return choose_by_time(candidates, known.__getitem__, need, self.zone, now, self.rng)

    def begin(self, service: str, send: TimedSend, choice: TimedChoice, now: float) -> None:
        """Count a request at the replica that was chosen for it."""
        replica, kv_tokens = choice.replica, self._kv_tokens(service)
        counts = self._counts(replica.replica_id, now)
        usual_s = expected_s(
            send.work, ReplicaKnowledge(counts), replica.slots, kv_tokens, choice.holds_parts
        )
        alone_s = expected_s(
            send.work, ReplicaKnowledge(), replica.slots, kv_tokens, choice.holds_parts
        )
        # The time tells nothing of the speed if it depends on other requests most.
        tells_speed = alone_s >= MIN_OWN_PART * usual_s
        self.sends.begin(
            send.ticket,
            replica.replica_id,
            send.work,
            choice.holds_parts,
            usual_s if tells_speed else 0.0,
            now,
        )

    def note_copy(self, affinity: Affinity, choice: TimedChoice, now: float) -> PartCopy | None:
        """Note the copy of a part away from its home; return it if other daemons should know."""
        match affinity:
            case PromptAffinity(part, _) if choice.home not in (None, choice.replica):
                copy = part_key(part), choice.replica.replica_id
                return copy if self.copies.note(*copy, now) else None
        return None

    def begin_answer(self, ticket: int, replica: Replica, now: float) -> SpeedSample | None:
        """Note the first event of an answer; return what it tells of the replica's speed."""
        return self._learn(self.sends.begin_answer(ticket), replica, now)

    def end(self, ticket: int, replica: Replica | None, ok: bool, now: float) -> SpeedSample | None:
        """Forget a request; return what the end of a plain one tells of the replica's speed.

        :param ok: whether the replica has answered it.
        """
        send = self.sends.end(ticket)
        if send is None or replica is None or not ok or not isinstance(send.work, PlainWork):
            return None
        return self._learn(send, replica, now)

    def _learn(self, send: OwnSend | None, replica: Replica, now: float) -> SpeedSample | None:
        if send is None or not send.usual_s or send.replica_id != replica.replica_id:
            return None
        ratio = (now - send.sent_at) / send.usual_s
        self.learnt.observe(replica.replica_id, replica.service, ratio)
        return SpeedSample(replica.replica_id, ratio)

    def _counts(self, replica_id: str, now: float) -> ReplicaCounts:
        others = self.view.value.figures(replica_id, now).counts
        return add_counts(others, self.sends.at(replica_id))

    def _know(
        self,
        replica: Replica,
        observed: Observed,
        others: dict[str, ReplicaFigures],
        now: float,
    ) -> ReplicaKnowledge:
        replica_id = replica.replica_id
        counts, learnt = others.get(replica_id, NO_FIGURES)
        own = self.sends.at(replica_id)
        if own is not NO_REQUESTS:
            counts = add_counts(counts, own)
        own_learnt = self.learnt.of(replica_id, replica.service)
        slowdown = (learnt if learnt.weight > own_learnt.weight else own_learnt).factor
        load, age_s = observed.load, now - observed.reported_at
        if load is not None and age_s < REPORT_MAX_AGE_S:
            reported = load.running + load.waiting + observed.sent_since_report
            unseen = max(0, reported - counts.waiting - counts.running)
            counts = counts._replace(running=counts.running + unseen)
            if age_s <= SLOWDOWN_MAX_AGE_S and replica.service in self._states_slowdown:
                usual = self._reported.of(replica_id, replica.service).factor
                change = load.slowdown / usual
                slowdown *= min(MAX_REPORTED_CHANGE, max(1 / MAX_REPORTED_CHANGE, change))
        return ReplicaKnowledge(counts, slowdown, observed.avoid_until)

    def _kv_tokens(self, service: str) -> int:
        snapshot = self.snapshot.value
        known = snapshot.deployment.services.get(service) if snapshot is not None else None
        return known.engine.kv_tokens if known is not None and known.engine is not None else 0


def is_notable(choice: TimedChoice, zone: str) -> bool:
    """Return whether a choice leaves the home of the prompt's parts, or the data centre otherwise."""
    if choice.home is not None and not choice.holds_parts:
        return True
    return choice.home is None and choice.replica.zone != zone


def log_choice(request: str, service: str, choice: TimedChoice, zone: str) -> None:
    """Log a choice that leaves the home or the data centre."""
    log_event(
        "replica_elsewhere",
        request=request,
        service=service,
        replica=choice.replica.replica_id,
        zone=choice.replica.zone,
        expected_ms=round(choice.expected_s * 1000),
        home=choice.home.replica_id if choice.home is not None else "",
        home_ms=round(choice.home_s * 1000) if choice.home is not None else "",
        left_zone=choice.replica.zone != zone,
    )
