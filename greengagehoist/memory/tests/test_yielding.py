"""Guards against a choice that closes a client which goes on, or none while all wait."""

from greengagehoist.memory import Arriving, Ask, Buffered, Holding, Kept, Unsent, choose_yielding

NOW = 10.0


def holding(purpose, size=40, step=10, stalled_s=1.0):
    return Holding(purpose, "c", size, step, NOW - stalled_s)


def ask(since=NOW, size=100):
    return Ask(Arriving(), "c", size, since)


def choose(holdings, asks=None, missing=10, yielding=()):
    return choose_yielding(holdings, asks or {"w": ask()}, yielding, missing, NOW)


def test_least_progress_for_what_is_held_yields():
    holdings = {
        "slow": holding(Arriving(), stalled_s=5.0),
        "late": holding(Arriving(), stalled_s=2.0),
        "small": holding(Arriving(), size=10, stalled_s=5.0),
    }
    assert choose(holdings) == ["slow"]


def test_as_many_yield_as_are_needed():
    holdings = {key: holding(Arriving(), stalled_s=9.0 - key) for key in range(5)}
    assert choose(holdings, missing=90) == [0, 1, 2]
    # Those that were chosen before are on their way.
    assert choose(holdings, missing=90, yielding=[0, 1]) == [2]


def test_client_that_goes_on_keeps_its_memory():
    holdings = {"fast": holding(Arriving(), stalled_s=0.1)}
    assert choose(holdings) == []


def test_one_yields_when_nobody_can_go_on():
    """Guards against clients that wait for each other's memory without end."""
    holdings = {key: holding(Arriving(), stalled_s=0.2 + key) for key in (0.0, 0.1)}
    asks = {key: ask(NOW - 0.1) for key in holdings}
    assert choose(holdings, asks) == [0.1]


def test_time_of_a_wait_is_no_stall():
    """Guards against a client that is closed because the account made it wait."""
    holdings = {
        "waits": holding(Arriving(), stalled_s=5.0),
        "stalls": holding(Arriving(), stalled_s=1.0),
    }
    assert choose(holdings, {"waits": ask(NOW - 4.9)}) == ["stalls"]


def test_requests_that_run_and_answers_on_their_way_do_not_yield():
    """Guards against requests that are refused as not run although a replica has them."""
    assert choose({"a": holding(Kept()), "b": holding(Buffered())}) == []


def test_answer_that_is_not_taken_yields():
    assert choose({"a": holding(Unsent(), size=40, step=40, stalled_s=2.0)}) == ["a"]
