"""Guards against a view of the replicas that is wrong after faults, or too expensive."""

import pytest

from greengagehoist.gateway.controllers import OwnLoadChanged, PartsCopied, ReachChanged
from greengagehoist.gateway.controllers._load_figures import decode_figures
from greengagehoist.gateway.tests.load_simulation import LoadSimulation
from greengagehoist.gateway.tests.recorder import Recorder
from greengagehoist.peers import FromPeer, LoadReport, LoadSums, LoadUpdate
from greengagehoist.replicas import PromptWork

FOUR = (18, 18, 18, 18)
ROUNDED = PromptWork(10_000, 0, 10_000)
SETTLED_S = 1.2


def long_requests(simulation, vms, per_daemon=2):
    """Let daemons have requests that last; sums between data centres are exact for them."""
    replicas = sorted(simulation.table.value.replicas)
    for number, vm in enumerate(vms):
        for n in range(per_daemon):
            replica_id = replicas[(7 * number + n) % len(replicas)]
            simulation.request(vm, replica_id, read_s=60.0, run_s=60.0, work=ROUNDED)


def nobody_is_wrong(simulation, without=()):
    truth = simulation.truth(without)
    return all(simulation.seen_by(vm) == truth for vm in simulation.daemons if vm not in without)


@pytest.fixture
def simulation():
    return LoadSimulation(FOUR)


def hub_of(simulation, vm):
    daemon = simulation.daemons[vm]
    return daemon._find_hub()


@pytest.mark.parametrize("sizes", [(2, 2, 3), (16,), FOUR, (30, 30, 30)])
def test_all_daemons_know_the_requests_of_all(sizes):
    simulation = LoadSimulation(sizes)
    long_requests(simulation, simulation.daemons)
    simulation.run(SETTLED_S)
    assert simulation.truth() and nobody_is_wrong(simulation)


def test_all_is_forgotten_when_requests_end(simulation):
    for vm in simulation.daemons:
        simulation.request(vm, "i-000003")
    simulation.run(1.0)
    assert simulation.seen_by("vm-d9")["i-000003"].running > 60
    simulation.run(3.0)
    assert simulation.truth() == {} and nobody_is_wrong(simulation)


def test_nothing_is_sent_while_there_are_no_requests(simulation):
    simulation.requests(70, 2.0)
    simulation.run(8.0)
    before = sum(simulation.messages.values())
    simulation.run(30.0)
    assert sum(simulation.messages.values()) == before


def test_own_sends_are_not_counted_twice(simulation):
    """A daemon's own requests are in the sums of its hub, too."""
    long_requests(simulation, ["vm-a5"])
    simulation.run(SETTLED_S)
    others = simulation.daemons["vm-a5"].view.value.replicas
    assert all(not any(item.counts) for item in others.values())


def test_sends_of_a_lost_daemon_are_forgotten(simulation):
    long_requests(simulation, simulation.daemons)
    simulation.run(SETTLED_S)
    del simulation.daemons["vm-b7"]
    simulation.run(1.2)
    simulation.update_reach()
    simulation.run(SETTLED_S)
    assert nobody_is_wrong(simulation)


def test_successor_of_a_lost_hub_gets_whole_views(simulation):
    long_requests(simulation, simulation.daemons)
    simulation.run(SETTLED_S)
    del simulation.daemons[hub_of(simulation, "vm-c9")]
    simulation.run(1.2)
    simulation.update_reach()
    simulation.run(SETTLED_S + 1.0)
    assert nobody_is_wrong(simulation)


def test_restarted_daemon_begins_anew(simulation):
    long_requests(simulation, simulation.daemons)
    simulation.run(SETTLED_S)
    old = simulation.daemons.pop("vm-b7")
    simulation.update_reach()
    new = simulation.new_daemon(old.own._replace(incarnation=2))
    simulation.daemons["vm-b7"] = new
    simulation.update_reach()
    long_requests(simulation, ["vm-b7"], 1)
    simulation.run(SETTLED_S)
    assert nobody_is_wrong(simulation)


@pytest.mark.parametrize("role", ["daemon", "hub"])
def test_frozen_daemon_does_not_bring_old_requests_back(simulation, role):
    long_requests(simulation, simulation.daemons, 1)
    simulation.run(SETTLED_S)
    vm = "vm-b7" if role == "daemon" else hub_of(simulation, "vm-b7")
    frozen = simulation.daemons[vm]
    frozen.is_frozen = True
    simulation.run(1.2)
    simulation.update_reach()
    # Requests of the others end and begin meanwhile.
    for other in list(simulation.daemons.values()):
        if other is not frozen:
            for ticket in list(other.sends._sends)[:1]:
                other.sends.end(ticket)
            other.tell_counts()
    simulation.run(6.0)
    assert nobody_is_wrong(simulation, [vm])
    # Its own view is older than the pause, which the boot clock counts.
    assert simulation.seen_by(vm) == frozen.sends.counts()
    frozen.thaw()
    simulation.update_reach()
    simulation.run(SETTLED_S + 1.0)
    assert nobody_is_wrong(simulation)


def test_data_centre_that_is_cut_off_keeps_its_own_sums(simulation):
    long_requests(simulation, simulation.daemons)
    simulation.run(SETTLED_S)
    away = [vm for vm in simulation.daemons if vm.startswith("vm-d")]
    for vm in away:
        simulation.daemons[vm].side = 1
    simulation.run(1.2)
    simulation.update_reach()
    simulation.run(4.0)
    rest = [vm for vm in simulation.daemons if vm not in away]
    assert nobody_is_wrong(simulation, away) and nobody_is_wrong(simulation, rest)
    for vm in away:
        simulation.daemons[vm].side = 0
    simulation.update_reach()
    simulation.run(SETTLED_S + 1.0)
    assert nobody_is_wrong(simulation)


def test_daemon_without_a_hub_falls_back_to_what_it_knows(simulation):
    long_requests(simulation, simulation.daemons)
    simulation.run(SETTLED_S)
    simulation.daemons["vm-a9"].side = 1
    simulation.run(1.2)
    simulation.update_reach()
    simulation.run(2.0)
    assert simulation.seen_by("vm-a9") == simulation.daemons["vm-a9"].sends.counts()


@pytest.mark.parametrize("seed", range(4))
def test_view_is_right_after_random_faults(seed):
    simulation = LoadSimulation((9, 8, 7), replicas=12, seed=seed)
    rng = simulation.rng
    for _ in range(6):
        simulation.requests(40, 3.0)
        vm = rng.choice(sorted(simulation.daemons))
        fault = rng.choice(("kill", "freeze", "cut"))
        if fault == "kill" and len(simulation.daemons) > 12:
            del simulation.daemons[vm]
        elif fault == "freeze":
            simulation.daemons[vm].is_frozen = True
        elif fault == "cut":
            for other in rng.sample(sorted(simulation.daemons), 5):
                simulation.daemons[other].side = 1
        simulation.run(1.2)
        simulation.update_reach()
        simulation.run(rng.uniform(0.5, 4.0))
        for daemon in simulation.daemons.values():
            daemon.side = 0
            if daemon.is_frozen:
                daemon.thaw()
        simulation.update_reach()
        simulation.run(1.0)
    simulation.run(4.0)
    long_requests(simulation, simulation.daemons, 1)
    simulation.run(5.0)
    assert nobody_is_wrong(simulation)


def test_learnt_speeds_reach_all_daemons(simulation):
    for _ in range(6):
        for vm in simulation.daemons:
            simulation.request(vm, "i-000004", read_s=0.1, run_s=0.5)
        simulation.run(1.0)
    for daemon in simulation.daemons.values():
        learnt = daemon.view.value.replicas["i-000004"].slowdown
        assert learnt.weight > 20 and learnt.factor == pytest.approx(1.3, rel=0.05)


@pytest.mark.parametrize("sizes", [(2, 2, 3), FOUR])
def test_copies_of_parts_reach_all_daemons_once(sizes):
    """Else the daemons of other data centres copy a hot part again."""
    simulation = LoadSimulation(sizes)
    followers = {vm: Recorder(vm) for vm in simulation.daemons}
    for vm, daemon in simulation.daemons.items():
        daemon.followers = (followers[vm],)
    long_requests(simulation, simulation.daemons, 1)
    simulation.run(SETTLED_S)
    origin = simulation.daemons["vm-b1"]
    origin.tell(OwnLoadChanged(origin.sends.counts(), None, (77, "i-000003")))
    simulation.run(SETTLED_S)
    for vm, follower in followers.items():
        assert vm == "vm-b1" or follower.told == [PartsCopied(((77, "i-000003"),))]


def test_copies_at_unlisted_replicas_are_ignored(simulation):
    daemon, follower = simulation.daemons["vm-a9"], Recorder("follower")
    daemon.followers = (follower,)
    message = LoadUpdate(1, False, (), (), (1, 2, 3), ("other", "i-000001"))
    daemon.tell(FromPeer("vm-a0", "a", 1, message))
    assert follower.told == [PartsCopied(((2, "i-000001"),))]


@pytest.mark.parametrize(
    "message",
    [
        LoadReport(9, False, ("r",), (), (), ()),
        LoadReport(9, False, ("r",), ((1, 2, 3),), (), ()),
        LoadReport(9, False, ("r",), ((1, -2, 3, 4),), (), ()),
        LoadSums(9, True, ("r",), ((1, 2, 3, 2**60),)),
        LoadUpdate(9, True, ("r", "q"), ((1, 2, 3, 4),)),
        LoadReport(1, False, (), (), ("i-000001", "other"), (-(2**60), 1, 1)),
    ],
)
def test_malformed_messages_change_nothing(simulation, message):
    hub = hub_of(simulation, "vm-a9")
    long_requests(simulation, simulation.daemons, 1)
    simulation.run(SETTLED_S)
    for vm in (hub, "vm-a9"):
        other = "vm-a9" if vm == hub else hub
        simulation.daemons[vm].tell(FromPeer(other, "a", 1, message))
    simulation.run(SETTLED_S)
    long_requests(simulation, ["vm-a9"])
    simulation.run(SETTLED_S)
    assert nobody_is_wrong(simulation)


def test_absurd_weight_of_a_learnt_speed_is_bounded():
    """One daemon's claim must not outweigh all answers of others."""
    assert decode_figures((0, 0, 0, 0, 9_000, 10**9)).slowdown.weight <= 400


def test_costs_are_bounded_at_300_daemons():
    """Wake-ups and messages use up small machines, and bytes between data centres are expensive."""
    simulation, seconds = LoadSimulation((75, 75, 75, 75), replicas=70), 5.0
    simulation.requests(300, seconds)
    simulation.run(seconds)
    hubs = simulation.daemons["vm-a0"].topology.hubs.value
    of_daemons = [n / seconds for vm, n in simulation.received.items() if vm not in hubs]
    of_hubs = [n / seconds for vm, n in simulation.received.items() if vm in hubs]
    # A daemon with a request a second sends three reports for it, and one each second meanwhile.
    assert simulation.messages["LoadReport"] / seconds < 4.5 * 300
    assert max(of_daemons) <= 4.5 and max(of_hubs) < 4.5 * 75 + 4 * 3
    # Each hub tells three others twice a second.
    assert simulation.messages["LoadSums"] / seconds <= 4 * 3 * 2 + 4
    assert simulation.bytes["far"] / seconds < 25_000
    daemon_bytes = [n for vm, n in simulation.bytes.items() if vm in simulation.daemons]
    assert max(daemon_bytes) / seconds < 20_000


def test_long_answers_cost_one_short_message_a_second(simulation):
    """Reports that change nothing must not make the hubs send at their full rate."""
    long_requests(simulation, simulation.daemons, 1)
    simulation.run(SETTLED_S)
    before, bytes_before = simulation.messages.copy(), simulation.bytes["far"]
    simulation.run(10.0)
    sent = simulation.messages - before
    assert sent["LoadReport"] <= 11 * 72 and sent["LoadUpdate"] <= 11 * 72
    assert sent["LoadSums"] <= 11 * 12
    assert simulation.bytes["far"] - bytes_before < 2_000


def test_reach_change_without_requests_sends_nothing(simulation):
    daemon = simulation.daemons["vm-a9"]
    daemon.tell(ReachChanged(daemon.reach.value))
    simulation.run(3.0)
    assert not simulation.messages
