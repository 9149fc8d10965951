"""Choice of the route and the service of a request."""

import zlib
from collections import defaultdict
from collections.abc import Iterable

from greengagehoist.deployment._types import Deployment, Route


def index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, longest prefix first."""
    by_host: dict[str, list[Route]] = defaultdict(list)
    for route in routes:
        by_host[route.host].append(route)
    return {
        host: tuple(sorted(found, key=lambda item: len(item.prefix), reverse=True))
        for host, found in by_host.items()
    }


def find_route(deployment: Deployment, host: str, path: str) -> Route | None:
    """Return the route of ``host`` with the longest prefix of ``path``, or None."""
    for route in deployment.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(route: Route, request_id: str) -> str:
    """Return the service of a request, chosen by the weights of the route's backends.

    A request id always leads to the same service while the weights stay.
    """
    if len(route.backends) == 1:
        return route.backends[0].service
    total = sum(item.weight for item in route.backends)
    point = zlib.crc32(request_id.encode()) / 2**32 * total
    for item in route.backends:
        point -= item.weight
        if point < 0:
            return item.service
    return route.backends[-1].service
