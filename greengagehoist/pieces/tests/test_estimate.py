"""Guards against estimates that count the waits of consecutive pools twice or not at all."""

import pytest

from greengagehoist.pieces import stages_end_s

CHAIN = ((), (0,), (1,))


def test_stages_without_waits_take_the_longest_chain():
    assert stages_end_s(((), (), (0,)), [1.0, 3.0, 1.0], [0.0, 0.0, 0.0]) == 3.0


def test_later_pool_works_its_queue_off_while_earlier_stages_run():
    assert stages_end_s(CHAIN, [1.0, 1.0, 1.0], [0.0, 0.0, 1.5]) == 3.0
    assert stages_end_s(CHAIN, [1.0, 1.0, 1.0], [0.0, 0.0, 2.5]) == 3.5


def test_stage_that_is_left_out_does_not_wait():
    assert stages_end_s(CHAIN, [1.0, 0.0, 1.0], [0.0, 9.0, 0.0]) == 2.0


def test_stage_may_start_after_a_later_one():
    """Stages with large results are numbered first and start last."""
    assert stages_end_s(((2,), (), (1,)), [1.0, 1.0, 1.0], [0.0, 0.0, 0.0]) == 3.0


@pytest.mark.parametrize("wait", [0.0, 0.7])
def test_request_without_stages_does_not_wait(wait):
    assert stages_end_s((), [], []) == 0.0
