"""Guards against false reports of "not run" and against a wrong order of requests."""

import pytest

from greengagehoist.deployment import NonIdempotent, Route, Tenant
from greengagehoist.gateway import (
    Exchange,
    MayHaveRun,
    NotRun,
    Progress,
    StreamBroken,
    failure_reply,
)


@pytest.fixture
def progress():
    return Progress()


def test_request_that_cannot_have_run_is_reported_as_not_run(progress):
    progress.sends = 2
    assert failure_reply(progress, "r", 1.0) == NotRun("r", 1.0)


def test_request_that_may_have_run_is_not_reported_as_not_run(progress):
    """Stage results that are lost after a lost send must not lead to a 503."""
    progress.may_have_run = 1
    assert failure_reply(progress, "r", 1.0) == MayHaveRun("r", False)
    assert failure_reply(progress, "r", 1.0, timed_out=True) == MayHaveRun("r", True)


def test_started_answer_is_aborted(progress):
    progress.may_have_run, progress.started = 1, True
    assert failure_reply(progress, "r", 1.0) == StreamBroken("r")


def rank_of(route_priority, tenant_priority):
    route = Route("r", "h", "/", NonIdempotent(), 1.0, 1.0, route_priority, (), 1, (), False)
    tenant = None if tenant_priority is None else Tenant("t", tenant_priority)
    return Exchange(None, None, 0.0, Progress(), route=route, tenant=tenant).rank


def test_route_priority_orders_requests_of_equal_tenants():
    """The tenant's priority must not replace the route's, which would make all ranks equal."""
    assert rank_of(0, 1) < rank_of(1, 1) < rank_of(2, 1)


def test_tenant_priority_precedes_route_priority():
    assert rank_of(9, 0) < rank_of(0, 1)


def test_rank_without_tenant_is_the_route_priority():
    assert rank_of(0, None) < rank_of(1, None)
