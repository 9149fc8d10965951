"""HTTP interface for operators."""

import hmac
import json
import random
from typing import Any

from returns.result import Failure, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from greengagehoist.config import Change
from greengagehoist.controllers import CollectTrace, GetConfig, GetReadiness, Propose, StartDrain
from greengagehoist.server._callers import STATUS
from greengagehoist.tracing import order_spans
from greengagehoist.utils import Controller, new_id


class AdminApp:
    """Operators' interface.

    :param credential: bearer credential that operators must show.
    """

    def __init__(
        self,
        configs: Controller,
        traces: Controller,
        drains: Controller,
        rng: random.Random,
        credential: str,
    ):
        self.configs = configs
        self.traces = traces
        self.drains = drains
        self.rng = rng
        self.credential = credential

    def build(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/healthz", self.health),
                Route("/readyz", self.ready),
                Route("/admin/config", self._guarded(self.propose), methods=["POST"]),
                Route("/admin/drain", self._guarded(self.drain), methods=["POST"]),
                Route("/admin/status", self._guarded(self.status)),
                Route("/admin/traces/{trace_id}", self._guarded(self.trace)),
            ]
        )

    def _guarded(self, endpoint: Any) -> Any:
        async def check(request: Request) -> Response:
            expected = f"Bearer {self.credential}".encode()
            given = request.headers.get("authorization", "").encode()
            if not hmac.compare_digest(expected, given):
                return JSONResponse({"error": "unknown operator credential"}, 401)
            return await endpoint(request)

        return check

    async def health(self, request: Request) -> Response:
        """Answer while the process runs."""
        return JSONResponse({"healthy": True})

    async def ready(self, request: Request) -> Response:
        """Answer 200 if requests can be served."""
        readiness = await self.drains.ask(GetReadiness())
        ready = not readiness.reasons
        body = {
            "ready": ready,
            "state": readiness.state,
            "in_flight": readiness.in_flight,
            "reasons": readiness.reasons,
        }
        return JSONResponse(body, 200 if ready else 503)

    async def drain(self, request: Request) -> Response:
        """Begin the graceful stop."""
        await self.drains.ask(StartDrain())
        return JSONResponse({"draining": True}, 202)

    async def propose(self, request: Request) -> Response:
        """Accept changes of the lists as a new version."""
        body = json.loads(await request.body())
        changes = tuple(Change(c["section"], c["key"], c["value"]) for c in body["changes"])
        op_id = body.get("op_id") or new_id(self.rng)
        message = Propose(op_id, body.get("author", ""), body["base"], changes)
        match await self.configs.ask(message):
            case Success(version):
                return JSONResponse({"version": version})
            case Failure(error):
                return JSONResponse({"error": error.message}, STATUS[error.code])

    async def status(self, request: Request) -> Response:
        """Return the state of this daemon."""
        cfg = await self.configs.ask(GetConfig())
        return JSONResponse({"config_version": cfg.version})

    async def trace(self, request: Request) -> Response:
        """Return the spans of a trace in order, from all reachable daemons."""
        spans = await self.traces.ask(CollectTrace(request.path_params["trace_id"]))
        lines = [{"depth": line.depth, **line.span._asdict()} for line in order_spans(spans)]
        return JSONResponse({"spans": lines})
