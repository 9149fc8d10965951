"""Guards against calls to removed or unreachable targets and targets that are never polled."""

import pytest

from greengagehoist.controllers._balancer import Balancer
from greengagehoist.targets import Target


@pytest.fixture
def balancer(rng):
    """Return a balancer over three encoders."""
    found = Balancer("entry-0", "dc0", rng)
    for index in range(3):
        found.add(target(index), 0.0, slow_start=False)
    return found


def target(index):
    """Return a target with the role ``encoder``."""
    return Target(f"t{index}", f"127.0.0.1:{index}", "dc0", "encoder", 1)


def test_unknown_role_has_no_target(balancer):
    assert balancer.choose("engine", (), (), 0.0) is None


def test_removed_target_is_not_chosen(balancer):
    balancer.remove("encoder", "t0")
    assert {balancer.choose("encoder", (), (), 0.0).name for _ in range(30)} == {"t1", "t2"}
    assert not balancer.has(target(0))


def test_unreachable_target_is_skipped_until_it_reports(balancer):
    pick = balancer.choose("encoder", (), ("t1", "t2"), 0.0)
    balancer.record_unreachable(target(0), pick.ticket, 0.1)
    assert "t0" not in {balancer.choose("encoder", (), (), 0.2).name for _ in range(30)}
    for now in (0.3, 0.4):
        balancer.apply_report(target(0), {"queue": 0, "running": 0, "capacity": 8}, now)
    assert "t0" in {balancer.choose("encoder", (), (), 0.5).name for _ in range(90)}


def test_every_target_is_polled_in_turn(balancer):
    polled = [name for _ in range(6) for name in balancer.next_to_poll(1)]
    assert sorted(polled) == ["t0", "t0", "t1", "t1", "t2", "t2"]


def test_generation_goes_only_to_engines_that_report_the_model(rng):
    balancer = Balancer("entry-0", "dc0", rng)
    engines = [target(index)._replace(role="engine") for index in range(2)]
    for engine, model in zip(engines, ("summary", "letters"), strict=True):
        balancer.add(engine, 0.0, slow_start=False)
        assert balancer.choose("engine", (), (), 0.1, model) is None
        balancer.apply_report(engine, {"capacity": 4, "models": [model]}, 0.1)
    chosen = {balancer.choose("engine", (), (), 0.2, "letters").name for _ in range(20)}
    assert chosen == {"t1"}
    balancer.apply_report(engines[1], {"capacity": 4, "models": ["summary"]}, 0.3)
    assert balancer.choose("engine", (), (), 0.4, "letters") is None
    chosen = {balancer.choose("engine", (), (), 0.4, "summary").name for _ in range(40)}
    assert chosen == {"t0", "t1"}
