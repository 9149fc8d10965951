"""Guards against refusals that say "not run" of a request that may have run."""

import pytest

from greengagehoist.gateway import MayHaveRun, NotRun, Progress, StreamBroken, without_answer


@pytest.fixture
def progress():
    return Progress()


def test_request_that_no_replica_got_is_refused_as_not_run(progress):
    progress.sends = 2
    assert without_answer(progress, "r", 1.0) == NotRun("r", 1.0)


def test_request_that_may_have_run_is_not_refused_as_not_run(progress):
    """Stage results that were lost after a lost send once led to a 503."""
    progress.may_have_run = 1
    assert without_answer(progress, "r", 1.0) == MayHaveRun("r", False)
    assert without_answer(progress, "r", 1.0, timed_out=True) == MayHaveRun("r", True)


def test_answer_that_has_started_is_broken_off(progress):
    progress.may_have_run, progress.started = 1, True
    assert without_answer(progress, "r", 1.0) == StreamBroken("r")
