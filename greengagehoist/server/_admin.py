"""HTTP API for operators."""

import hmac
import random
from collections.abc import Awaitable, Callable, Mapping
from importlib.resources import files
from typing import Any, NamedTuple

from returns.result import Failure, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from greengagehoist.base import ErrorCode, not_run
from greengagehoist.config import lists_to_dict
from greengagehoist.controllers import CollectTrace, GetConfig, GetConfigStatus, GetHistory
from greengagehoist.server._admin_bodies import (
    error_body,
    history_body,
    parse_history,
    parse_object,
    parse_proposal,
    parse_report,
    read_body,
    rejection_body,
)
from greengagehoist.server._callers import HTTP_STATUS, refuse_without_memory
from greengagehoist.server._memory import NoMemoryError
from greengagehoist.tracing import order_spans
from greengagehoist.utils import Controller, ValidationError

# Age of the last table read above which the status reports the store as silent.
STORE_SILENT_S = 5.0


class AdminParts(NamedTuple):
    """Daemon-specific parts of the operators' API; a function that the daemon lacks is None.

    :param drain: starts draining and returns the drain state.
    :param report: returns a customer's usage in quiet hours on a UTC date; an empty customer means
        all.
    :param status: additional status fields, by name.
    :param ready: additional readiness checks, by name; each returns why requests cannot be
        served, empty if they can.
    """

    vm: str = ""
    data_centre: str = ""
    drain: Callable[[], Awaitable[dict[str, Any]]] | None = None
    report: Callable[[str, str], Awaitable[dict[str, Any]]] | None = None
    status: Mapping[str, Callable[[], Awaitable[Any]]] = {}
    ready: Mapping[str, Callable[[], Awaitable[str]]] = {}


class AdminApp:
    """Operators' API.

    :param credential: bearer credential that operators must present.
    """

    def __init__(
        self,
        configs: Controller,
        traces: Controller,
        rng: random.Random,
        credential: str,
        parts: AdminParts | None = None,
    ):
        self.configs = configs
        self.traces = traces
        self.rng = rng
        self.credential = credential
        self.parts = parts or AdminParts()

    def build(self) -> Starlette:
        """Return the ASGI application."""
        authenticated = self._authenticated
        return Starlette(
            routes=[
                Route("/healthz", self.health),
                Route("/readyz", self.ready),
                Route("/admin/config", authenticated(self.config), methods=["GET"]),
                Route("/admin/config", authenticated(self.propose), methods=["POST"]),
                Route("/admin/config/history", authenticated(self.history)),
                Route("/admin/status", authenticated(self.status)),
                Route("/admin/drain", authenticated(self.drain), methods=["POST"]),
                Route("/admin/traces/{id}", authenticated(self.trace)),
                Route("/admin/report", authenticated(self.report)),
                Route("/admin/openapi.json", authenticated(self.openapi)),
            ],
            exception_handlers={NoMemoryError: refuse_without_memory},
        )

    def _authenticated(self, endpoint: Any) -> Any:
        async def check(request: Request) -> Response:
            expected = f"Bearer {self.credential}".encode()
            given = request.headers.get("authorization", "").encode()
            if not hmac.compare_digest(expected, given):
                return _failure(ErrorCode.UNAUTHENTICATED, "unknown operator credential")
            try:
                return await endpoint(request)
            except ValidationError as exc:
                return _failure(ErrorCode.INVALID, str(exc), field=exc.field)

        return check

    async def health(self, request: Request) -> Response:
        """Answer 200 while the process runs."""
        return JSONResponse({"healthy": True})

    async def ready(self, request: Request) -> Response:
        """Answer 200 if requests can be served, else 503 with the reasons."""
        reasons = await self._not_ready()
        return JSONResponse({"ready": not reasons, "reasons": reasons}, 503 if reasons else 200)

    async def _not_ready(self) -> dict[str, str]:
        reasons = {"config": (await self.configs.ask(GetConfigStatus())).not_ready}
        for name, check in self.parts.ready.items():
            reasons[name] = await check()
        return {name: reason for name, reason in reasons.items() if reason}

    async def config(self, request: Request) -> Response:
        """Return the lists of the current version."""
        cfg = await self.configs.ask(GetConfig())
        body = {"version": cfg.version, "digest": cfg.digest, "lists": lists_to_dict(cfg)}
        return JSONResponse(body)

    async def propose(self, request: Request) -> Response:
        """Propose changes of the lists as a new version."""
        message = parse_proposal(await read_body(request), self.rng)
        match await self.configs.ask(message):
            case Success(version):
                return JSONResponse({"version": version, "op_id": message.op_id})
            case Failure(rejection):
                code = rejection.error.code
                return JSONResponse(rejection_body(rejection), HTTP_STATUS[code])

    async def history(self, request: Request) -> Response:
        """Return the most recent versions, the newest last."""
        entries = await self.configs.ask(GetHistory(parse_history(request.query_params)))
        return JSONResponse({"versions": [history_body(entry) for entry in entries]})

    async def status(self, request: Request) -> Response:
        """Return the state of this daemon."""
        state = await self.configs.ask(GetConfigStatus())
        reasons = await self._not_ready()
        is_silent = state.table_age is None or state.table_age > STORE_SILENT_S
        body = {
            "vm": self.parts.vm,
            "data_centre": self.parts.data_centre,
            "config_version": state.version,
            "config_digest": state.digest,
            "config_age_s": state.age,
            "config_blocked": state.blocked,
            "ready": not reasons,
            "not_ready": reasons,
            "store": {"state": "silent" if is_silent else "ok", "age_s": state.table_age},
        }
        for name, part in self.parts.status.items():
            body[name] = await part()
        return JSONResponse(body)

    async def drain(self, request: Request) -> Response:
        """Start draining this daemon."""
        parse_object(await read_body(request), ())
        if self.parts.drain is None:
            return _failure(ErrorCode.UNAVAILABLE, "this daemon cannot drain on request")
        return JSONResponse(await self.parts.drain(), 202)

    async def trace(self, request: Request) -> Response:
        """Return the spans of a trace in tree order, from all reachable daemons."""
        spans = await self.traces.ask(CollectTrace(request.path_params["id"]))
        nodes = [{"depth": node.depth, **node.span._asdict()} for node in order_spans(spans)]
        return JSONResponse({"spans": nodes})

    async def report(self, request: Request) -> Response:
        """Return the usage in quiet hours of a date."""
        customer, date = parse_report(request.query_params)
        if self.parts.report is None:
            return _failure(ErrorCode.UNAVAILABLE, "this daemon keeps no records")
        return JSONResponse(await self.parts.report(customer, date))

    async def openapi(self, request: Request) -> Response:
        """Return the OpenAPI description of this API."""
        data = files("greengagehoist.server").joinpath("openapi.json").read_bytes()
        return Response(data, media_type="application/json")


def _failure(code: ErrorCode, message: str, **more: Any) -> JSONResponse:
    return JSONResponse(error_body(not_run("operators", code, message), **more), HTTP_STATUS[code])
