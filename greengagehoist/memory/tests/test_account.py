"""Guards against an account in which some wait without end, or that grants more than its limit."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.memory import Account, Arriving, Buffered, Kept, Unsent
from greengagehoist.standins._profiles import property_settings


@pytest.fixture
def account():
    return Account(100)


def test_bodies_leave_memory_for_answers(account):
    """Guards against requests that wait for the memory of their answers until they time out."""
    account.ask("a", Arriving(), "c", 60, 0.0)
    assert account.grant(0.0) == ["a"]
    account.ask("b", Arriving(), "c", 10, 0.0)
    account.ask("x", Buffered(), "r", 40, 0.0)
    assert account.grant(0.0) == ["x"]
    account.release("x")
    # The answer's memory is not for bodies.
    assert account.grant(1.0) == []
    account.release("a")
    assert account.grant(1.0) == ["b"]


def test_large_answer_does_not_wait_for_the_body_of_its_request(account):
    """Guards against a request that waits for itself where the account is small."""
    account.ask("body", Kept(), "c", 50, 0.0)
    assert account.grant(0.0) == ["body"]
    account.ask("answer", Buffered(), "r", 80, 0.0)
    account.ask("other", Buffered(), "r", 80, 0.0)
    assert account.grant(0.0) == ["answer"]
    assert list(account.asks) == ["other"]


def test_later_steps_count_what_is_held(account):
    account.ask("a", Arriving(), "c", 20, 0.0)
    account.grant(0.0)
    account.ask("a", Arriving(), "c", 50, 1.0)
    assert account.grant(1.0) == ["a"]
    assert (account.held_bytes, account.holdings["a"].step) == (50, 30)


def test_small_body_goes_before_large_ones(account):
    """Guards against ordinary requests that wait behind large ones."""
    account.ask("held", Arriving(), "c", 50, 0.0)
    account.grant(0.0)
    account.ask("large", Arriving(), "c", 40, 0.0)
    account.ask("small", Arriving(), "c", 5, 1.0)
    assert account.grant(1.0) == ["small"]


def test_purposes_are_counted_apart(account):
    account.ask("a", Arriving(), "c", 10, 0.0)
    account.ask("x", Buffered(), "r", 20, 0.0)
    account.grant(0.0)
    account.change("a", Kept(), 1.0)
    account.change("x", Unsent(), 1.0)
    assert [account.held_for(kind) for kind in (Arriving, Kept, Buffered, Unsent)] == [0, 10, 0, 20]


def test_missing_bytes_make_way_for_all_small_bodies(account):
    """Guards against ordinary requests for which others give way one by one."""
    account.ask("held", Arriving(), "c", 60, 0.0)
    account.grant(0.0)
    for key in range(3):
        account.ask(key, Arriving(), "c", 10, 1.0)
    assert account.missing_bytes() == 30


steps = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sampled_from([Arriving(), Buffered(), None]),
        st.integers(1, 150),
    ),
    max_size=40,
)


@property_settings(200)
@given(steps)
def test_account_keeps_its_limit_and_leaves_none_waiting_when_all_is_free(steps):
    account = Account(100)
    for key, purpose, size in steps:
        if purpose is None:
            account.release(key)
        elif key not in account.asks:
            account.release(key)
            account.ask(key, purpose, str(key), size, 0.0)
        account.grant(0.0)
        answers = account.held_for(Buffered)
        assert account.held_bytes <= 100 or 40 < answers <= 100
        assert account.held_bytes - answers <= 60
        assert account.held_bytes == sum(item.size for item in account.holdings.values())
    while account.holdings:
        account.release(next(iter(account.holdings)))
        account.grant(0.0)
    assert not account.asks
    assert account.held_bytes == 0
