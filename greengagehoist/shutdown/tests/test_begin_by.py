"""Guards against sends whose answers would outlive a stopping process."""

import pytest

from greengagehoist.shutdown import ANSWER_MARGIN_S, begin_by


def test_answer_that_is_expected_to_end_too_late_is_not_begun():
    assert begin_by(10.0, 1.0, answer_deadline=99.0) <= 9.0 - ANSWER_MARGIN_S


def test_longer_answers_must_begin_earlier():
    assert begin_by(10.0, 2.0, 99.0) < begin_by(10.0, 1.0, 99.0) < begin_by(10.0, 0.1, 99.0)


def test_request_with_an_early_deadline_is_begun_whatever_its_answer_takes():
    """Such a request gets its final answer before the process ends."""
    assert begin_by(10.0, 50.0, answer_deadline=5.0) == 5.0


@pytest.mark.parametrize("answer_deadline", [9.9, 10.0, 10.5])
def test_deadline_at_the_end_of_the_process_is_too_late(answer_deadline):
    assert begin_by(10.0, 50.0, answer_deadline) < 0
