"""Guards against estimates that add up the queueing times of consecutive pools or ignore them."""

import pytest

from greengagehoist.pieces import estimate_completion_s

CHAIN = ((), (0,), (1,))


def test_stages_without_waits_take_the_longest_chain():
    assert estimate_completion_s(((), (), (0,)), [1.0, 3.0, 1.0], [0.0, 0.0, 0.0]) == 3.0


def test_later_pool_drains_its_queue_while_earlier_stages_run():
    assert estimate_completion_s(CHAIN, [1.0, 1.0, 1.0], [0.0, 0.0, 1.5]) == 3.0
    assert estimate_completion_s(CHAIN, [1.0, 1.0, 1.0], [0.0, 0.0, 2.5]) == 3.5


def test_skipped_stage_does_not_wait():
    assert estimate_completion_s(CHAIN, [1.0, 0.0, 1.0], [0.0, 9.0, 0.0]) == 2.0


def test_stage_may_depend_on_one_with_a_higher_number():
    """Stages with large results have the lowest numbers but start last."""
    assert estimate_completion_s(((2,), (), (1,)), [1.0, 1.0, 1.0], [0.0, 0.0, 0.0]) == 3.0


@pytest.mark.parametrize("wait", [0.0, 0.7])
def test_request_without_stages_does_not_wait(wait):
    assert estimate_completion_s((), [], []) == 0.0
