"""Stand-in of the platform: table service, object store, VM list and weight store."""

import time
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from greengagehoist.standins._faults import Faults, control_routes

WEIGHT_FETCHES_PER_S = 2.0


class Platform:
    """In-memory state and handlers of the platform.

    :param vm_lag_s: delay in seconds before a new VM list becomes visible.
    """

    def __init__(self, vm_lag_s: float = 0.0):
        self.vm_lag_s = vm_lag_s
        self.rows: dict[str, dict[str, Any]] = {}
        self.objects: dict[str, bytes] = {}
        self.vm_versions: list[tuple[float, list[dict]]] = [(0.0, [])]
        self.records: list[dict] = []
        self._weight_tokens = WEIGHT_FETCHES_PER_S
        self._weight_refilled_at = time.monotonic()

    async def write(self, request: Request) -> JSONResponse:
        """Write a row if its version is the expected one (compare-and-set)."""
        body = await request.json()
        key, now = body["key"], time.time()
        row = self.rows.get(key)
        version = row["version"] if row else 0
        if version != body["expect"]:
            return JSONResponse({"row": row, "now": now}, 409)
        self.rows[key] = {
            "key": key,
            "version": version + 1,
            "value": body["value"],
            "written_at": now,
        }
        self.records.append({"key": key, "version": version + 1, "at": now})
        return JSONResponse({"version": version + 1, "now": now})

    async def row(self, request: Request) -> JSONResponse:
        """Return one row, or null if it does not exist."""
        row = self.rows.get(request.query_params["key"])
        return JSONResponse({"row": row, "now": time.time()})

    async def range(self, request: Request) -> JSONResponse:
        """Return the rows whose keys have a prefix and follow the key ``after``, sorted by key."""
        params = request.query_params
        prefix, after = params["prefix"], params.get("after", "")
        limit = int(params.get("limit", "1000"))
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        rows = [self.rows[key] for key in keys[:limit]]
        return JSONResponse({"rows": rows, "now": time.time()})

    async def object(self, request: Request) -> Response:
        """Store or return an object."""
        name = request.path_params["name"]
        if request.method == "PUT":
            self.objects[name] = await request.body()
            return JSONResponse({"size": len(self.objects[name])})
        if name not in self.objects:
            return JSONResponse({"error": "no such object"}, 404)
        return Response(self.objects[name])

    async def list_objects(self, request: Request) -> JSONResponse:
        """Return the sorted names of the objects with a prefix."""
        prefix = request.query_params.get("prefix", "")
        return JSONResponse({"names": sorted(n for n in self.objects if n.startswith(prefix))})

    async def vms(self, request: Request) -> JSONResponse:
        """Return the VM list as it was ``vm_lag_s`` seconds ago."""
        until = time.monotonic() - self.vm_lag_s
        visible = [vms for at, vms in self.vm_versions if at <= until]
        return JSONResponse(visible[-1] if visible else [])

    async def set_vms(self, request: Request) -> JSONResponse:
        """Replace the VM list; with ``?at_once=1`` it is visible without the lag."""
        lag = self.vm_lag_s if "at_once" in request.query_params else 0.0
        self.vm_versions.append((time.monotonic() - lag, await request.json()))
        return JSONResponse({"vms": len(self.vm_versions[-1][1])})

    async def fetch_weights(self, request: Request) -> JSONResponse:
        """Grant a weight fetch, or refuse it with 429 above ``WEIGHT_FETCHES_PER_S``."""
        now = time.monotonic()
        refill = (now - self._weight_refilled_at) * WEIGHT_FETCHES_PER_S
        self._weight_tokens = min(WEIGHT_FETCHES_PER_S, self._weight_tokens + refill)
        self._weight_refilled_at = now
        if self._weight_tokens < 1:
            return JSONResponse({"error": "rate"}, 429)
        self._weight_tokens -= 1
        return JSONResponse({"granted": True})


def build_platform(vm_lag_s: float = 0.0) -> Faults:
    """Return the platform stand-in as an ASGI application."""
    platform = Platform(vm_lag_s)
    faults = Faults(None)
    faults.app = Starlette(
        routes=[
            Route("/table/write", platform.write, methods=["POST"]),
            Route("/table/row", platform.row),
            Route("/table/range", platform.range),
            Route("/objects", platform.list_objects),
            Route("/objects/{name:path}", platform.object, methods=["GET", "PUT"]),
            Route("/vms", platform.vms),
            Route("/weights/fetch", platform.fetch_weights, methods=["POST"]),
            Route("/control/vms", platform.set_vms, methods=["PUT"]),
            *control_routes(faults, platform.records),
        ]
    )
    return faults
