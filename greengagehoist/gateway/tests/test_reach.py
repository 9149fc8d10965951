"""Guards against data centres that are wrongly taken for unreachable or reachable."""

import pytest

from greengagehoist.gateway.controllers._reach import find_reach
from greengagehoist.membership import Member
from greengagehoist.peers import Heartbeat, Peer


def peer(vm, zone, silent_for=0.1, ready=True):
    return Peer(vm, zone, 1, Heartbeat(1, 0, ready, 0, 0.0, ()), silent_for)


@pytest.fixture
def members():
    return tuple(Member(vm, zone, "a", 1) for vm, zone in (("b1", "b"), ("b2", "b"), ("c1", "c")))


def test_zone_is_silent_if_none_of_its_daemons_answers(members):
    reach = find_reach((peer("b1", "b"), peer("c1", "c", silent_for=2.0)), members, "a")
    assert reach.silent_zones == {"c"}
    assert reach.linked == {"b1"}


def test_leaving_daemon_answers_but_takes_no_work(members):
    reach = find_reach((peer("b1", "b", ready=False), peer("c1", "c")), members, "a")
    assert (reach.ready, reach.linked) == ({"c1"}, {"b1", "c1"})
    assert reach.silent_zones == frozenset()


def test_own_zone_is_never_silent(members):
    assert find_reach((), members, "b").silent_zones == {"c"}
