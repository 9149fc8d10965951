"""Guards against starved groups, promises without room, and state that grows without bound."""

from itertools import pairwise

import pytest

from greengagehoist.overload import (
    Asked,
    ExpectedReturns,
    Guarantees,
    Origin,
    PoolAdmission,
    ReturnKey,
    Sizes,
)
from greengagehoist.overload._guarantees import MAX_GROUPS
from greengagehoist.overload._pool import MAX_ASKED
from greengagehoist.overload._returns import EARLY_S, LATE_S, MAX_RETURNS

PER_S = 100.0
KEY = ReturnKey("k", "t", 100, 4)


@pytest.fixture
def pool():
    return PoolAdmission()


def ask(name, pieces=4, kind="k", tenant="t", further=False):
    return Asked(name, kind, tenant, "z", pieces, 100, further)


def test_kind_that_is_refused_more_often_goes_before_others(pool):
    for number in range(40):
        pool.ask(ask(f"a{number}", kind="a"), 0.1 * number)
        pool.ask(ask(f"b{number}", kind="b"), 0.1 * number)
        pool.refuse(f"b{number}", None, PER_S, 0.1 * number)
    assert pool.ask(ask("b", kind="b"), 4.0).guaranteed
    assert not pool.ask(ask("a", kind="a"), 4.0).guaranteed


def test_guarantee_ends_when_its_group_is_served_again():
    guarantees, origin = Guarantees(), Origin("k", "small", "z", "")
    others = Origin("k", "large", "z", "")
    for number in range(20):
        guarantees.ask(others, 0.1 * number)
        guarantees.ask(origin, 0.1 * number)
        guarantees.refuse(origin, 0.1 * number)
    assert guarantees.ask(origin, 2.0)
    for number in range(60):
        guarantees.ask(others, 2.0 + 0.1 * number)
        short = guarantees.ask(origin, 2.0 + 0.1 * number)
    assert not short


def test_request_that_needs_little_of_the_pool_waits_for_less(pool):
    for number in range(50):
        pool.ask(ask(f"x{number}"), 0.0)
    small, usual, large = (pool.ask(ask(f"y{count}", count), 0.0).weight for count in (2, 4, 16))
    assert small < usual < large
    assert large / small <= 2.0


def test_largest_tenth_of_a_kind_is_known_also_with_few_sizes():
    sizes = Sizes()
    for number in range(64):
        sizes.class_of("k", (4, 6, 8, 8, 10, 12)[number % 6])
    assert [sizes.class_of("k", size) for size in (4, 8, 12)] == ["", "", "largest"]
    same = Sizes()
    assert {same.class_of("k", 7) for _ in range(64)} == {""}


def test_return_at_its_time_finds_room_under_another_id(pool):
    pool.ask(ask("first"), 0.0)
    pool.refuse("first", 1.0, PER_S, 0.0)
    assert pool.returns.pieces_before(1.5) == 4
    assert not pool.ask(ask("early", further=True), 0.5).promised
    assert pool.ask(ask("second", further=True), 1.0).promised
    assert not pool.ask(ask("third", further=True), 1.0).promised


def test_returns_are_spread():
    """Clients that come back together meet the same overload again."""
    returns, times = ExpectedReturns(), []
    for _ in range(10):
        room_s = returns.room_s(4, PER_S, 0.3, 0.0)
        returns.promise(KEY, PER_S, room_s, 0.0)
        times.append(room_s)
    gaps = [after - before for before, after in pairwise(times[1:])]
    assert min(gaps) > 0.5
    assert times[0] >= 0.3


def test_room_of_a_client_that_does_not_come_back_is_given_up():
    returns = ExpectedReturns()
    returns.promise(KEY, PER_S, 1.0, 0.0)
    assert not returns.take(KEY, 1.0 - 2 * EARLY_S)
    assert not returns.take(KEY, 1.1 + LATE_S)
    assert len(returns) == 0


@pytest.mark.parametrize(
    "other", [KEY._replace(tenant="u"), KEY._replace(kind="l"), KEY._replace(pieces=5)]
)
def test_room_is_kept_for_the_request_that_it_was_promised_to(other):
    """Most clients that come back were promised nothing; they must not take the others' room."""
    returns = ExpectedReturns()
    returns.promise(KEY, PER_S, 1.0, 0.0)
    assert not returns.take(other, 1.0)
    assert returns.take(KEY, 1.0)
    assert not returns.take(KEY, 1.0)


def test_state_is_bounded(pool):
    for number in range(MAX_ASKED + 200):
        pool.ask(ask(f"x{number}", kind=f"k{number}", tenant=f"t{number}"), 0.0)
        pool.refuse(f"x{number}", 1.0, PER_S, 0.0)
    assert len(pool.returns) <= MAX_RETURNS
    assert len(pool.guarantees._groups) <= MAX_GROUPS
    assert pool.returns.room_s(1, PER_S, 0.0, 0.0) == float("inf")
    for number in range(MAX_ASKED + 200):
        pool.ask(ask(f"y{number}"), 0.0)
    assert len(pool._asked) <= MAX_ASKED
