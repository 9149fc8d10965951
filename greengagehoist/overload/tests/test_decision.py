"""Guards against admission of what would be late, and refusals without a useful time."""

import pytest

from greengagehoist.overload import Admit, Need, PoolWait, Refuse, decide

CHAIN = Need(("p1", "p2"), ((), (0,)), (0.2, 0.3), 0.1, 1.0, 6.0)


def test_request_that_can_be_in_time_is_admitted():
    waits = {"p1": PoolWait(0.2, 0.0), "p2": PoolWait(0.4, 0.0)}
    assert decide(CHAIN, waits) == Admit(pytest.approx(0.7))


def test_refusal_names_the_latest_time_of_room():
    """A client that comes back when only one of its pools has room is refused again."""
    waits = {"p1": PoolWait(0.9, 0.8), "p2": PoolWait(0.2, 1.4)}
    match decide(CHAIN, waits):
        case Refuse(retry_after_s, promised, late_s, wait_s):
            assert (retry_after_s, promised, wait_s) == (1.4, True, 0.9)
            assert late_s == pytest.approx(0.5)
        case other:
            raise AssertionError(other)


@pytest.mark.parametrize("room_s", [2.1, 60.0, float("inf")])
def test_time_beyond_what_the_client_honours_promises_nothing(room_s):
    found = decide(CHAIN, {"p1": PoolWait(0.9, room_s)})
    assert (found.retry_after_s, found.promised) == (pytest.approx(2.0), False)


def test_request_that_is_late_anyway_takes_spare_capacity():
    late = CHAIN._replace(due_in_s=-1.0)
    assert isinstance(decide(late, {"p1": PoolWait(1.19, 0.0)}), Admit)
    assert isinstance(decide(late, {"p1": PoolWait(1.21, 0.0)}), Refuse)


def test_work_that_would_end_after_the_client_has_left_is_not_begun():
    late = CHAIN._replace(due_in_s=-1.0, left_s=1.5)
    assert isinstance(decide(late, {"p1": PoolWait(0.8, 0.0)}), Admit)
    assert isinstance(decide(late, {"p1": PoolWait(1.0, 0.0)}), Refuse)


def test_owner_that_does_not_answer_does_not_stop_a_request():
    assert isinstance(decide(CHAIN, {}), Admit)


def test_retry_after_is_never_zero():
    found = decide(CHAIN._replace(left_s=0.05), {"p1": PoolWait(9.0, 0.0)})
    assert found.retry_after_s >= 0.1
