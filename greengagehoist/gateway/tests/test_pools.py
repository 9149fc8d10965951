"""Guards against results that are freed too early or never, and against stalled stage work."""

import asyncio

import pytest

from greengagehoist.deployment import Deployment, DeploymentSnapshot, Limits, PoolLimits, Service
from greengagehoist.gateway.controllers import (
    CancelStages,
    PoolController,
    Reach,
    ReserveStages,
    StagePlan,
    SubmitStage,
    Topology,
)
from greengagehoist.gateway.controllers._pool_owners import EXCLUDE_S, HUB_WAIT_S
from greengagehoist.gateway.controllers._pools import MOVED
from greengagehoist.gateway.controllers._reach import ReachChanged
from greengagehoist.gateway.controllers._replicas import ReplicasChanged
from greengagehoist.gateway.controllers._results import FreeHandles
from greengagehoist.gateway.tests.recorder import Recorder, deliver
from greengagehoist.overload import AdmissionCounts, PoolWait
from greengagehoist.peers import (
    FromPeer,
    Goodbye,
    SendTo,
    StageCancel,
    StageFree,
    StageReserve,
    StageResult,
    StageSubmit,
    StageWaitTimes,
)
from greengagehoist.pieces import StageWork
from greengagehoist.replicas import Replica, ReplicaTable, rendezvous_rank
from greengagehoist.retries import RetryBudget
from greengagehoist.utils import Published

VMS = frozenset({"vm-a", "vm-b"})
OWNER = max(VMS, key=lambda vm: rendezvous_rank("s", vm))
(OTHER,) = VMS - {OWNER}
REPLICA = Replica("r0", "s", "10.0.0.1", 80, "a", 1, 1, False)


@pytest.fixture
def make_pools(clock):
    """Return a function that builds the controller of one VM and the recorders around it."""

    def make(vm, hubs=VMS, shared=False, replicas=(), known=True):
        limits = PoolLimits(4, 0.1, 0.01, 10e6)
        services = {"s": Service("s", limits)}
        deployment = Deployment(1, {}, services, {}, False, Limits())
        peers, results = Recorder("peers"), Recorder("results")
        pools = PoolController(
            Published(DeploymentSnapshot(deployment, 0.0)),
            Published(ReplicaTable({item.replica_id: item for item in replicas})),
            peers,
            None,
            clock,
            vm,
            Topology(
                Published(known), Published(2), Published(()), Published(hubs), Published(shared)
            ),
            Recorder("limits"),
            Published({}),
            lambda: RetryBudget(0.0, 5.0, 10.0),
        )
        pools._results = results
        deliver(pools, ReachChanged(Reach(VMS - {vm}, VMS - {vm})))
        return pools, peers, results

    return make


def work(clock, attempt=0, count=2):
    now = clock.monotonic()
    pieces = tuple(range(count))
    return StageWork("x", "s", 0, pieces, "k", (), 1, now + 5, now + 9, "", 0.0, attempt)


def plans(clock, pieces=400):
    return (StagePlan("s", pieces, clock.monotonic() + 5),)


def submission(attempt=0):
    return StageSubmit("x", "s", 0, (0, 1), "k", (), 1, 5.0, 9.0, "", 0.0, attempt)


def result(attempt=0):
    return StageResult("x", "s", 0, ("a:1/1", "a:1/2"), "", attempt)


def test_result_that_arrives_twice_is_not_freed_while_it_is_used(make_pools, clock):
    """Stages of more than 0.6 s are submitted again; the second answer must not free results."""

    async def scenario():
        pools, peers, results = make_pools(OTHER)
        replies = deliver(pools, SubmitStage(work(clock)))
        for _ in range(2):
            deliver(pools, FromPeer(OWNER, "z", 1, result()))
        assert [end.handles for end in replies] == [("a:1/1", "a:1/2")]
        assert not peers.sent(StageFree)
        assert not results.told

    asyncio.run(scenario())


def test_result_for_a_request_that_has_ended_is_freed(make_pools, clock):
    async def scenario():
        pools, peers, _ = make_pools(OTHER)
        deliver(pools, SubmitStage(work(clock)))
        deliver(pools, CancelStages("x", True))
        deliver(pools, FromPeer(OWNER, "z", 1, result()))
        assert [item.handles for item in peers.sent(StageFree)] == [("a:1/1", "a:1/2")]

    asyncio.run(scenario())


def test_repeated_submission_gets_the_same_results_and_a_new_attempt_new_ones(make_pools, clock):
    """A stage that runs again because its results were lost must not get the lost ones."""

    async def scenario():
        pools, peers, _ = make_pools(OWNER)
        deliver(pools, FromPeer(OTHER, "z", 1, submission()))
        (pool,) = pools._owned
        (job,) = pool.queue.jobs.values()
        for segment in (0, 1):
            job.add_result(segment, f"a:1/{segment}")
        pool.queue.drop(job.key)
        pools._end_job((job, ""))
        deliver(pools, FromPeer(OTHER, "z", 1, submission()))
        assert [item.handles for item in peers.sent(StageResult)] == [("a:1/0", "a:1/1")] * 2
        deliver(pools, FromPeer(OTHER, "z", 1, submission(attempt=1)))
        assert len(peers.sent(StageResult)) == 2
        assert len(pool.queue.jobs) == 1

    asyncio.run(scenario())


def test_owner_tells_peers_how_long_new_work_waits(make_pools, clock):
    async def scenario():
        pools, peers, _ = make_pools(OWNER, replicas=(REPLICA,))
        deliver(pools, FromPeer(OTHER, "z", 1, StageReserve("x", ("s",), (400,), 1, (5.0,))))
        deliver(pools, FromPeer(OTHER, "z", 1, StageReserve("y", ("s",), (4,), 1, (5.0,))))
        first, second = peers.sent(StageWaitTimes)
        assert (first.services, first.wait_s) == (("s",), (0.0,))
        assert second.wait_s[0] > 10.0
        deliver(pools, FromPeer(OTHER, "z", 1, StageCancel("x")))
        deliver(pools, FromPeer(OTHER, "z", 1, StageReserve("z", ("s",), (4,), 1, (5.0,))))
        assert peers.sent(StageWaitTimes)[-1].wait_s[0] < 1.0

    asyncio.run(scenario())


def test_return_to_promised_room_is_found_at_another_daemon(make_pools, clock):
    """A client's next attempt has another id and may reach another daemon."""

    async def scenario():
        pools, peers, _ = make_pools(OWNER, replicas=(REPLICA,))
        for name in ("x", "y"):
            sent = StageReserve(name, ("s",), (4,), 1, (0.3,), "t", "r", 4, False)
            deliver(pools, FromPeer(OTHER, "z", 1, sent))
        room_s = peers.sent(StageWaitTimes)[-1].room_s[0]
        assert 0.0 < room_s < 5.0
        deliver(pools, FromPeer(OTHER, "z", 1, StageCancel("y", True, 1.0)))
        (pool,) = pools._owned
        assert set(pool.queue.reserved) == {"x"}
        await clock.advance(1.0)
        late = StageReserve("y2", ("s",), (4,), 1, (-0.7,), "t", "r", 4, True)
        foreign = late._replace(request_id="other", tenant="u")
        deliver(pools, FromPeer("vm-c", "z", 1, foreign))
        assert not pool.queue.reserved["other"].promised
        deliver(pools, FromPeer("vm-c", "z", 1, late))
        promised = pool.queue.reserved["y2"]
        assert promised.promised
        pools._tick()
        assert pools.admissions.value == AdmissionCounts(refused=1, promised=1, kept=1)
        assert promised.due > clock.monotonic()

    asyncio.run(scenario())


def test_owner_learns_that_a_request_was_refused(make_pools, clock):
    async def scenario():
        pools, peers, _ = make_pools(OTHER)
        deliver(pools, ReserveStages("x", 1, plans(clock)))
        deliver(pools, CancelStages("x", True, refused=True, returns_in_s=2.0))
        assert peers.sent(StageCancel) == [StageCancel("x", True, 2.0)]

    asyncio.run(scenario())


def test_reservation_waits_for_the_owner_and_ends_with_the_request(make_pools, clock):
    async def scenario():
        pools, peers, _ = make_pools(OTHER)
        replies = deliver(pools, ReserveStages("x", 1, plans(clock)))
        assert [item.pieces for item in peers.sent(StageReserve)] == [(400,)]
        assert replies == []
        deliver(pools, FromPeer(OWNER, "z", 1, StageWaitTimes("x", ("s",), (1.5,), (2.5,))))
        assert replies == [{"s": PoolWait(1.5, 2.5)}]
        deliver(pools, CancelStages("x", True))
        assert peers.sent(StageCancel) == [StageCancel("x")]

    asyncio.run(scenario())


def test_owner_that_does_not_answer_delays_a_request_briefly(make_pools, clock):
    async def scenario():
        pools, _, _ = make_pools(OTHER)
        replies = deliver(pools, ReserveStages("x", 1, plans(clock)))
        await asyncio.sleep(0)
        await clock.advance(0.1)
        while not pools._mailbox.empty():
            deliver(pools, pools._mailbox.get_nowait().message)
        assert replies == [{}]

    asyncio.run(scenario())


def test_results_of_a_failed_stage_are_freed(make_pools, clock):
    async def scenario():
        pools, _, results = make_pools(OWNER)
        deliver(pools, SubmitStage(work(clock)))
        (pool,) = pools._owned
        (job,) = pool.queue.jobs.values()
        job.add_result(0, "a:1/0")
        pools._end_job((job, "failed"))
        assert results.told == [FreeHandles(("a:1/0",))]

    asyncio.run(scenario())


def test_ended_tasks_are_removed(make_pools, clock):
    """The pool controller must not override the callback of its base class for ended tasks."""

    async def scenario():
        pools, _, _ = make_pools(OTHER)
        deliver(pools, SubmitStage(work(clock)))
        assert len(pools._tasks) == 1
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not pools._tasks

    asyncio.run(scenario())


def test_work_of_a_lost_daemon_is_dropped_and_its_results_are_freed(make_pools):
    """Otherwise results of killed daemons fill the pools for seconds, and their work goes on."""

    async def scenario():
        pools, _, results = make_pools(OWNER)
        deliver(pools, FromPeer(OTHER, "z", 1, submission()))
        (pool,) = pools._owned
        (job,) = pool.queue.jobs.values()
        for segment in (0, 1):
            job.add_result(segment, f"a:1/{segment}")
        pool.queue.drop(job.key)
        pools._end_job((job, ""))
        deliver(pools, FromPeer(OTHER, "z", 1, submission()._replace(request_id="y")))
        deliver(pools, ReachChanged(Reach()))
        assert results.told == [FreeHandles(("a:1/0", "a:1/1"))]
        assert not pool.queue.jobs

    asyncio.run(scenario())


def test_late_result_of_an_earlier_attempt_does_not_end_the_current_one(make_pools, clock):
    async def scenario():
        pools, _, _ = make_pools(OTHER)
        replies = deliver(pools, SubmitStage(work(clock, attempt=1)))
        deliver(pools, FromPeer(OWNER, "z", 1, result()))
        assert replies == []
        deliver(pools, FromPeer(OWNER, "z", 1, result(attempt=1)))
        assert [end.handles for end in replies] == [("a:1/1", "a:1/2")]

    asyncio.run(scenario())


def set_reach(pools, *vms):
    deliver(pools, ReachChanged(Reach(frozenset(vms), frozenset(vms))))


def test_pools_keep_their_owner_while_a_restarted_daemon_is_missing_from_the_list(make_pools):
    """Guards against several owners of a pool for the seconds until all have read the list."""

    async def scenario():
        pools, _, _ = make_pools(OTHER, hubs=frozenset({OTHER}))
        assert pools._owners.owner_of("s") == OWNER

    asyncio.run(scenario())


def test_peer_that_could_not_be_sent_to_is_tried_again(make_pools, clock):
    """Guards against an owner that one daemon disregards until the next change of its links."""

    async def scenario():
        pools, peers, _ = make_pools(OTHER)

        async def fail(message):
            return False

        peers.ask = fail
        deliver(pools, SubmitStage(work(clock)))
        await asyncio.sleep(0)
        assert pools._owners.owner_of("s") == OTHER
        await clock.advance(EXCLUDE_S)
        assert pools._owners.owner_of("s") == OWNER
        deliver(pools, FromPeer(OWNER, "z", 1, Goodbye("stopping")))
        assert pools._owners.owner_of("s") == OTHER

    asyncio.run(scenario())


def test_owner_returns_work_that_has_not_started_once_the_pool_has_another(make_pools, clock):
    """Guards against two owners of a pool after a partition, each with half of the work."""

    async def scenario():
        pools, peers, _ = make_pools(OTHER)
        set_reach(pools)
        deliver(pools, SubmitStage(work(clock)))
        deliver(pools, FromPeer("vm-c", "z", 1, submission()._replace(request_id="y")))
        deliver(pools, FromPeer("vm-c", "z", 1, submission()._replace(request_id="z")))
        (pool,) = pools._owned
        started = next(job for job in pool.queue.jobs.values() if job.work.request_id == "z")
        started.sends[0] = 1
        set_reach(pools, OWNER, "vm-c")
        await asyncio.sleep(0)
        assert [(item.request_id, item.reason) for item in peers.sent(StageResult)] == [
            ("y", MOVED)
        ]
        assert [item.request_id for item in peers.sent(StageSubmit)] == ["x"]
        assert [job.work.request_id for job in pool.queue.jobs.values()] == ["z"]

    asyncio.run(scenario())


def test_work_that_its_owner_returns_goes_to_the_new_owner(make_pools, clock):
    async def scenario():
        pools, peers, _ = make_pools(OTHER)
        replies = deliver(pools, SubmitStage(work(clock)))
        deliver(pools, FromPeer(OWNER, "z", 1, StageResult("x", "s", 0, (), MOVED, 0)))
        await asyncio.sleep(0)
        targets = [item.vm for item in peers.told if isinstance(item, SendTo)]
        assert targets == [OWNER, OWNER]
        assert not replies

    asyncio.run(scenario())


def test_daemons_wait_for_a_hub_after_a_restart_before_they_call_replicas_alone(make_pools, clock):
    """Guards against 195 owners of one pool right after all machines have lost power."""

    async def scenario():
        pools, peers, _ = make_pools("vm-c", shared=True)
        set_reach(pools)
        deliver(pools, SubmitStage(work(clock)))
        assert not list(pools._owned)
        (waits,) = deliver(pools, ReserveStages("y", 0, plans(clock)))
        assert 0.0 < waits["s"].wait_s <= HUB_WAIT_S
        set_reach(pools, OWNER)
        await asyncio.sleep(0)
        assert [item.request_id for item in peers.sent(StageSubmit)] == ["x"]
        set_reach(pools)
        await clock.advance(HUB_WAIT_S)
        pools._tick()
        (pool,) = pools._owned
        assert len(pool.queue.jobs) == 1

    asyncio.run(scenario())


def test_work_of_a_pool_without_replicas_ends_at_once(make_pools, clock):
    """Answers the pattern of a zone cut that takes the last replica of a pool: work for it would
    wait until it is late, and its client would learn too late to come back.
    """

    async def scenario():
        pools, _, _ = make_pools(OWNER)
        replies = deliver(pools, SubmitStage(work(clock)))
        pools.table.value = ReplicaTable(read_at=clock.monotonic())
        (waits,) = deliver(pools, ReserveStages("y", 0, plans(clock, pieces=2)))
        assert waits["s"].wait_s > 30.0
        deliver(pools, ReplicasChanged(pools.table.value))
        assert [end.reason for end in replies] == ["failed"]

    asyncio.run(scenario())


def test_daemon_that_has_not_read_the_members_does_not_call_replicas_alone(make_pools, clock):
    """Guards against owners of a pool that do not know yet that there are hubs."""

    async def scenario():
        pools, _, _ = make_pools("vm-c", hubs=frozenset({"vm-c"}), known=False)
        set_reach(pools)
        deliver(pools, SubmitStage(work(clock)))
        assert not list(pools._owned)
        pools._owners.topology.known.value = True
        pools._tick()
        (pool,) = pools._owned
        assert len(pool.queue.jobs) == 1

    asyncio.run(scenario())


def test_work_that_reaches_a_pool_without_replicas_ends_at_once(make_pools, clock):
    """The last replica may leave between the reservation and the submission of a stage."""

    async def scenario():
        pools, _, _ = make_pools(OWNER)
        pools.table.value = ReplicaTable(read_at=clock.monotonic())
        replies = deliver(pools, SubmitStage(work(clock)))
        assert [end.reason for end in replies] == ["failed"]

    asyncio.run(scenario())


def test_owner_that_has_not_read_the_replicas_refuses_nothing(make_pools, clock):
    """Guards against refusals by hubs that have just started."""

    async def scenario():
        pools, peers, _ = make_pools(OWNER)
        sent = StageReserve("x", ("s",), (4,), 1, (5.0,))
        deliver(pools, FromPeer(OTHER, "z", 1, sent))
        (answer,) = peers.sent(StageWaitTimes)
        assert answer.wait_s == (0.0,)
        replies = deliver(pools, SubmitStage(work(clock)))
        assert not replies

    asyncio.run(scenario())


def test_work_returned_by_a_former_owner_does_not_restart_it(make_pools, clock):
    """A late return would queue the work again at its present owner, here this daemon."""

    async def scenario():
        pools, _, _ = make_pools(OTHER)
        set_reach(pools)
        deliver(pools, SubmitStage(work(clock)))
        (pool,) = pools._owned
        (job,) = pool.queue.jobs.values()
        deliver(pools, FromPeer(OWNER, "z", 1, StageResult("x", "s", 0, (), MOVED, 0)))
        assert list(pool.queue.jobs.values()) == [job]

    asyncio.run(scenario())
