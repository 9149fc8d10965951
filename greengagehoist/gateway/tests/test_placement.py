"""Guards against requests that are placed by load that is not there, or counted after their end."""

import asyncio
import random
from collections import Counter

import pytest

from greengagehoist.deployment import (
    Deployment,
    DeploymentSnapshot,
    EngineLimits,
    Limits,
    Service,
)
from greengagehoist.gateway.controllers import (
    AbandonChoice,
    AnswerBegun,
    Choose,
    FindHome,
    LoadReported,
    OwnLoadChanged,
    PartsCopied,
    PlacementController,
    Reach,
    RequestEnded,
    TimedSend,
    TimeRanking,
)
from greengagehoist.gateway.controllers import _time_ranking as ranking_module
from greengagehoist.gateway.tests.recorder import Recorder, deliver
from greengagehoist.quarantine import part_key
from greengagehoist.replicas import (
    AnyReplica,
    LearntSlowdown,
    Load,
    LoadView,
    PlainWork,
    PromptAffinity,
    PromptWork,
    Replica,
    ReplicaCounts,
    ReplicaFigures,
    ReplicaTable,
)
from greengagehoist.utils import Published, SteppedClock

REPLICAS = {
    f"r{n}": Replica(f"r{n}", "llm", "10.0.0.1", 80 + n, "a", 64, 1, False) for n in range(4)
}
PLAIN = {f"d{n}": Replica(f"d{n}", "desk", "10.0.0.2", 80 + n, "a", 6, 1, False) for n in range(3)}
LONG = PromptWork(17_000, 13_300, 200)
OWN = PromptWork(3_000, 0, 100)


class Setup:
    """A placement controller, what it reads and what it tells."""

    def __init__(self, kv_tokens=500_000, shared=True):
        services = {
            "llm": Service("llm", None, engine=EngineLimits(64, kv_tokens)),
            "desk": Service("desk", None),
        }
        deployment = Deployment(1, {}, services, {}, False, Limits())
        self.clock = SteppedClock()
        self.view = Published(LoadView())
        self.shared = Published(shared)
        self.follower = Recorder("follower")
        self.ranking = TimeRanking(
            Published(DeploymentSnapshot(deployment, 0.0)),
            self.shared,
            self.view,
            "a",
            random.Random(1),
        )
        self.controller = PlacementController(
            Published(ReplicaTable({**REPLICAS, **PLAIN})),
            Published(Reach()),
            Published({}),
            self.clock,
            "a",
            self.ranking,
            (self.follower,),
        )
        self.tickets = 0

    def choose(self, work=OWN, affinity=AnyReplica(), service="llm", **fields):
        self.tickets += 1
        send = TimedSend(self.tickets, work)
        return deliver(self.controller, Choose(service, affinity, send=send, **fields))[0]

    def know(self, replica_id, now):
        observed = self.controller._observed_load(replica_id)
        others = self.view.value.usable(now)
        return self.ranking._know(REPLICAS[replica_id], observed, others, now)

    @property
    def counts(self):
        return self.follower.told[-1].counts


@pytest.fixture
def setup():
    return Setup()


def test_own_sends_count_at_once(setup):
    """Requests in one burst must not all see the same idle replica."""
    chosen = Counter(setup.choose(PromptWork(9_000, 0, 100)).replica_id for _ in range(8))
    assert chosen == dict.fromkeys(REPLICAS, 2)


@pytest.mark.parametrize("end", ["", "failed", "unreachable", "rejected", "cancelled"])
def test_request_counts_until_its_end(setup, end):
    replica = setup.choose()
    assert setup.counts == {replica.replica_id: ReplicaCounts(1, 3_000, 0, 3_100)}
    deliver(setup.controller, AnswerBegun(1, replica))
    assert setup.counts == {replica.replica_id: ReplicaCounts(0, 0, 1, 3_100)}
    deliver(setup.controller, RequestEnded(replica.replica_id, end, 1))
    assert setup.counts == {}


def test_request_whose_choice_was_abandoned_counts_no_longer(setup):
    """A client that leaves at that instant would keep the replica busy in the view of all daemons."""
    replica = setup.choose()
    deliver(setup.controller, AbandonChoice(1))
    assert setup.counts == {}
    assert setup.controller._observed_load(replica.replica_id).in_flight == 0


@pytest.mark.parametrize(
    "affinity, busy, is_noted",
    [
        (PromptAffinity("p"), False, False),
        (PromptAffinity("p"), True, True),
        (AnyReplica(), False, False),
    ],
)
def test_choice_that_leaves_the_home_is_logged_with_times(
    setup, monkeypatch, affinity, busy, is_noted
):
    logged = []
    monkeypatch.setattr(ranking_module, "log_event", lambda event, **fields: logged.append(fields))
    home = setup.choose(LONG, affinity).replica_id
    if busy:
        late = ReplicaFigures(ReplicaCounts(9, 150_000, 0, 150_000))
        setup.view.value = LoadView({home: late}, 0.0)
    logged.clear()
    found = setup.choose(LONG, affinity).replica_id
    assert bool(logged) == is_noted
    if is_noted:
        assert (logged[0]["replica"], logged[0]["home"]) == (found, home)
        assert logged[0]["expected_ms"] < logged[0]["home_ms"]
    assert setup.controller.choices_elsewhere == int(is_noted)


def test_copy_of_a_part_is_told_once_and_used(setup):
    affinity = PromptAffinity("p")
    home = setup.choose(LONG, affinity).replica_id
    late = ReplicaFigures(ReplicaCounts(9, 150_000, 0, 150_000))
    setup.view.value = LoadView({home: late}, 0.0)
    copy = setup.choose(LONG, affinity).replica_id
    assert setup.follower.told[-1].copy == (part_key("p"), copy)
    assert setup.choose(LONG, affinity).replica_id == copy
    assert setup.follower.told[-1].copy is None
    # The copy need not be read again.
    assert setup.counts[copy].waiting_tokens == 17_000 + 3_700


def test_copies_of_other_daemons_are_used(setup):
    home = setup.choose(LONG, PromptAffinity("p")).replica_id
    copy = next(key for key in REPLICAS if key != home)
    busy = ReplicaFigures(ReplicaCounts(3, 15_000, 0, 50_000))
    setup.view.value = LoadView({home: busy}, 0.0)
    assert setup.choose(LONG, PromptAffinity("p")).replica_id == home
    deliver(setup.controller, PartsCopied(((part_key("p"), copy),)))
    assert setup.choose(LONG, PromptAffinity("p")).replica_id == copy


def test_question_for_the_home_counts_nothing(setup):
    send = TimedSend(0, LONG)
    home = deliver(setup.controller, FindHome("llm", PromptAffinity("p"), "", send))[0]
    assert setup.follower.told == [] and setup.choose(LONG, PromptAffinity("p")) == home
    assert setup.counts[home.replica_id].waiting_tokens == 3_700


def test_permitted_replica_counts_its_request(setup):
    assert setup.choose(permitted="r2").replica_id == "r2"
    assert set(setup.counts) == {"r2"}


def test_requests_of_other_daemons_are_avoided(setup):
    busy = ReplicaFigures(ReplicaCounts(3, 50_000, 0, 51_000))
    setup.view.value = LoadView(dict.fromkeys(("r0", "r1", "r2"), busy), 0.0)
    assert {setup.choose(PromptWork(100)).replica_id for _ in range(20)} == {"r3"}


def test_stale_view_is_not_used(setup):
    busy = ReplicaFigures(ReplicaCounts(3, 50_000, 0, 51_000))
    setup.view.value = LoadView(dict.fromkeys(("r0", "r1", "r2"), busy), -10.0)
    assert len({setup.choose(PromptWork(100)).replica_id for _ in range(20)}) == 4


def test_learnt_speed_of_all_daemons_takes_precedence_over_few_own_answers(setup):
    slow = ReplicaFigures(ReplicaCounts(), LearntSlowdown(1.0, 30.0))
    setup.view.value = LoadView({"r0": slow}, 0.0)
    assert setup.know("r0", 0.0).slowdown == slow.slowdown.factor
    setup.ranking.learnt.observe("r0", "llm", 1.0)
    assert setup.know("r0", 0.0).slowdown == slow.slowdown.factor
    assert setup.know("r0", 10.0).slowdown < 1.1


def test_answer_tells_the_speed_of_its_replica(setup):
    replica = setup.choose()
    asyncio.run(setup.clock.advance(0.5))
    deliver(setup.controller, AnswerBegun(1, replica))
    sample = setup.follower.told[-1].sample
    assert sample.replica_id == replica.replica_id and sample.ratio > 5


def test_time_behind_a_long_prompt_tells_no_speed(setup):
    """The time depends on the requests of others, which this daemon knows only roughly."""
    ahead = ReplicaFigures(ReplicaCounts(2, 40_000, 0, 40_000))
    setup.view.value = LoadView(dict.fromkeys(REPLICAS, ahead), 0.0)
    replica = setup.choose()
    asyncio.run(setup.clock.advance(0.5))
    deliver(setup.controller, AnswerBegun(1, replica))
    assert setup.follower.told[-1].sample is None


def test_fresh_reported_slowdown_counts_and_an_old_one_does_not(setup):
    for replica_id in REPLICAS:
        for _ in range(30):
            setup.ranking.observe_load(REPLICAS[replica_id], Load(0, 0, 64, 1.01))
    deliver(setup.controller, LoadReported("r0", Load(0, 0, 64, 4.0)))
    assert setup.know("r0", 0.1).slowdown > 3.0
    assert setup.know("r0", 0.4).slowdown == pytest.approx(1.0, rel=0.01)


def test_constantly_reported_false_slowdown_gives_way_to_the_learnt_one(setup):
    for _ in range(60):
        setup.ranking.observe_load(REPLICAS["r0"], Load(0, 0, 64, 8.0))
        setup.ranking.learnt.observe("r0", "llm", 1.0)
    deliver(setup.controller, LoadReported("r0", Load(0, 0, 64, 8.0)))
    assert setup.know("r0", 0.0).slowdown == pytest.approx(1.0, rel=0.1)


def test_reported_requests_that_nobody_told_of_count(setup):
    deliver(setup.controller, LoadReported("r0", Load(40, 9, 64)))
    assert setup.know("r0", 0.5).counts.running == 49
    assert setup.know("r0", 1.5).counts.running == 0


@pytest.mark.parametrize(
    "kv_tokens, shared, slowdown, is_on",
    [
        (500_000, True, 1.0, True),
        (500_000, False, 1.5, True),
        (500_000, False, 1.0, False),
        (0, True, 1.5, False),
    ],
)
def test_deployments_that_do_not_call_for_it_are_served_as_before(
    kv_tokens, shared, slowdown, is_on
):
    setup = Setup(kv_tokens, shared)
    deliver(setup.controller, LoadReported("r0", Load(0, 0, 64, slowdown)))
    assert setup.ranking.is_on("llm") == is_on
    replica = setup.choose()
    deliver(setup.controller, AnswerBegun(1, replica))
    deliver(setup.controller, RequestEnded(replica.replica_id, "", 1))
    assert bool(setup.follower.told) == is_on


def test_plain_requests_spread_over_the_replicas(setup):
    chosen = Counter(setup.choose(PlainWork(), AnyReplica(), "desk").replica_id for _ in range(30))
    assert set(chosen) == set(PLAIN) and max(chosen.values()) < 18
    assert isinstance(setup.follower.told[-1], OwnLoadChanged)


@pytest.mark.parametrize("end, is_learnt", [("", True), ("failed", False), ("cancelled", False)])
def test_time_of_a_plain_answer_tells_the_speed(setup, end, is_learnt):
    replica = setup.choose(PlainWork(), AnyReplica(), "desk")
    asyncio.run(setup.clock.advance(0.5))
    deliver(setup.controller, RequestEnded(replica.replica_id, end, 1))
    sample = setup.follower.told[-1].sample
    assert (sample is not None and sample.ratio > 5) == is_learnt


def test_abandoned_choice_of_a_service_that_is_not_placed_by_time_frees_its_replica():
    """Requests whose clients left during the choice counted as running for good."""
    setup = Setup(shared=False)
    chosen = setup.choose(service="desk")
    assert setup.controller._observed_load(chosen.replica_id).in_flight == 1
    deliver(setup.controller, AbandonChoice(setup.tickets))
    deliver(setup.controller, AbandonChoice(setup.tickets))
    assert setup.controller._observed_load(chosen.replica_id).in_flight == 0
