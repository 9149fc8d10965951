"""Guards against requests that go to the wrong route or service."""

from collections import Counter

import pytest

from greengagehoist.deployment import (
    Backend,
    Deployment,
    Idempotent,
    Limits,
    Route,
    choose_service,
    find_route,
    index_routes,
)


def route(name, prefix, host="h", backends=(Backend("s", 1),)):
    return Route(name, host, prefix, Idempotent(), 1.0, 0.5, 0, backends, 1, (), False)


@pytest.fixture
def served():
    routes = [route("short", "/a/"), route("long", "/a/b/"), route("other", "/a/b/", host="g")]
    return Deployment(1, index_routes(routes), {}, {}, False, Limits())


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [("h", "/a/x", "short"), ("h", "/a/b/x", "long"), ("g", "/a/b/", "other")],
)
def test_longest_prefix_of_the_host_takes_the_request(served, host, path, name):
    assert find_route(served, host, path).name == name


@pytest.mark.parametrize(("host", "path"), [("h", "/a"), ("x", "/a/"), ("g", "/a/")])
def test_other_paths_have_no_route(served, host, path):
    assert find_route(served, host, path) is None


def test_split_route_follows_its_weights():
    split = route("r", "/a/", backends=(Backend("big", 90), Backend("small", 10)))
    found = Counter(choose_service(split, f"id-{number}") for number in range(4000))
    assert 0.07 < found["small"] / 4000 < 0.13
    assert choose_service(split, "id-1") == choose_service(split, "id-1")
