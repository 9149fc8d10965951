"""Stand-ins of targets: stage pools and plain services."""

import asyncio
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from greengagehoist.standins._faults import Faults, control_routes
from greengagehoist.standins._functions import digest, run_stage


class LoadReport:
    """Load and state that a target reports.

    :param capacity: maximum number of concurrent requests.

    ``refusals`` lists the requests that the target refused because it is leaving.
    """

    def __init__(self, capacity: int, incarnation: int):
        self.capacity = capacity
        self.incarnation = incarnation
        self.state = "live"
        self.running = 0
        self.queue = 0
        self.refusals: list[dict[str, Any]] = []

    def as_json(self, **extra: Any) -> dict[str, Any]:
        """Return the report as a JSON object."""
        return {
            "queue": self.queue,
            "running": self.running,
            "capacity": self.capacity,
            "state": self.state,
            "incarnation": self.incarnation,
            **extra,
        }


def build_pool(
    role: str, work_s: float = 0.005, capacity: int = 16, incarnation: int = 1
) -> Faults:
    """Return a stage pool replica as an ASGI application.

    :param work_s: duration of each run in seconds.
    """
    load, records = LoadReport(capacity, incarnation), []
    slots = asyncio.Semaphore(capacity)

    async def run(request: Request) -> JSONResponse:
        body = await request.json()
        if load.state == "leaving":
            load.refusals.append({name: body[name] for name in ("request_id", "stage", "attempt")})
            return JSONResponse({"error": "leaving", "incarnation": incarnation}, 503)
        load.queue += 1
        async with slots:
            load.queue -= 1
            load.running += 1
            await asyncio.sleep(work_s)
            load.running -= 1
        output = run_stage(role, body["input"])
        identity = {name: body[name] for name in ("request_id", "stage", "attempt")}
        records.append({**identity, "busy_s": work_s})
        return JSONResponse({**identity, "output": output, "digest": digest(output)})

    return _build_app(load, records, [Route("/run", run, methods=["POST"])])


def build_service(
    name: str, work_s: float = 0.005, keeps_keys: bool = False, incarnation: int = 1
) -> Faults:
    """Return a replica of a plain service as an ASGI application.

    :param keeps_keys: whether a repeated idempotency key returns the stored result instead of
        running the operation again.
    """
    load, records = LoadReport(64, incarnation), []
    results: dict[str, Any] = {}

    async def run_operation(request: Request) -> JSONResponse:
        body, operation = await request.json(), request.path_params["operation"]
        if load.state == "leaving":
            load.refusals.append({"operation": operation, "key": body["key"]})
            return JSONResponse({"error": "leaving", "incarnation": incarnation}, 503)
        key = body["key"]
        if keeps_keys and key and key in results:
            if results[key]["result"] != {"done": operation, **body["args"]}:
                return JSONResponse({"error": "key used for another request"}, 422)
            return JSONResponse(results[key])
        load.running += 1
        await asyncio.sleep(work_s)
        load.running -= 1
        result = {"request_id": body["request_id"], "result": {"done": operation, **body["args"]}}
        records.append({"operation": operation, "key": key, "request_id": body["request_id"]})
        if key:
            results.setdefault(key, result)
        return JSONResponse(result)

    async def get_by_key(request: Request) -> JSONResponse:
        result = results.get(request.path_params["key"])
        return JSONResponse({"ran": result is not None, "answer": result})

    routes = [
        Route("/operations/by-key/{key:path}", get_by_key),
        Route("/operations/{operation}", run_operation, methods=["POST"]),
    ]
    return _build_app(load, records, routes)


def _build_app(load: LoadReport, records: list[dict], routes: list[Route]) -> Faults:
    async def report(request: Request) -> JSONResponse:
        return JSONResponse(load.as_json())

    async def list_refusals(request: Request) -> JSONResponse:
        return JSONResponse(load.refusals)

    async def leave(request: Request) -> JSONResponse:
        load.state = "leaving"
        return JSONResponse(load.as_json())

    faults = Faults(None)
    faults.app = Starlette(
        routes=[
            *routes,
            Route("/load", report),
            Route("/control/leave", leave, methods=["PUT"]),
            Route("/control/refusals", list_refusals),
            *control_routes(faults, records),
        ]
    )
    return faults
