"""Guards against false refusals and against a wrong order of requests."""

import pytest

from greengagehoist.deployment import NonIdempotent, Route, Tenant
from greengagehoist.gateway import (
    Exchange,
    MayHaveRun,
    NotRun,
    Progress,
    StreamBroken,
    without_answer,
)


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


def rank_of(route_priority, tenant_priority):
    route = Route("r", "h", "/", NonIdempotent(), 1.0, 1.0, route_priority, (), 1, (), False)
    tenant = None if tenant_priority is None else Tenant("t", tenant_priority)
    return Exchange(None, None, 0.0, Progress(), route=route, tenant=tenant).rank


def test_routes_are_ordered_among_tenants_of_equal_priority():
    """The tenant's priority once replaced the route's, so that all requests were equal."""
    assert rank_of(0, 1) < rank_of(1, 1) < rank_of(2, 1)


def test_tenants_priority_goes_before_the_routes():
    assert rank_of(9, 0) < rank_of(0, 1)


def test_route_priority_alone_decides_without_tenants():
    assert rank_of(0, None) < rank_of(1, None)
