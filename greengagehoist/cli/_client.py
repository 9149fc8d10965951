"""HTTP client of the daemons' operator interface."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import aiosonic
from aiosonic.exceptions import AiosonicError, ConnectTimeout
from aiosonic.timeout import Timeouts

from greengagehoist.config import Change
from greengagehoist.utils import TlsFiles, client_context

CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 5.0
# A daemon reads the table to determine the outcome of a proposal, which takes up to 10 s.
APPLY_TIMEOUT_S = 20.0
APPLY_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class Answered:
    """The daemon answered with a JSON object."""

    status: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The daemon did not answer.

    :param sent: True if the request may have reached the daemon.
    """

    reason: str
    sent: bool


Response = Answered | NoAnswer


class Connection(NamedTuple):
    """Daemons to contact and the credential to present.

    :param operators: ``ip:port`` of each daemon's operator interface.
    :param authority: path of the certificate authority's PEM file, plain HTTP if empty.
    """

    operators: tuple[str, ...]
    credential: str
    authority: str = ""

    def __repr__(self) -> str:
        return f"Connection(operators={self.operators!r})"


class ProposalBody(NamedTuple):
    """Body of ``POST /admin/config``."""

    base: int
    changes: tuple[Change, ...]
    author: str
    op_id: str


async def call(
    connection: Connection,
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout: float = CALL_TIMEOUT_S,
) -> Response:
    """Send one request to one daemon.

    :param timeout: seconds to wait for the response.
    """
    timeouts = Timeouts(sock_connect=CONNECT_TIMEOUT_S, sock_read=timeout, request_timeout=timeout)
    headers = {"Authorization": f"Bearer {connection.credential}"}
    context = client_context(TlsFiles(authority=connection.authority))
    url = f"{'https' if context else 'http'}://{address}{path}"
    try:
        async with aiosonic.HTTPClient() as client:
            response = await client.request(
                url, method, headers=headers, json=body, timeouts=timeouts, ssl=context
            )
            content = json.loads(await asyncio.wait_for(response.content(), timeout))
    except (ConnectionRefusedError, ConnectTimeout) as exc:
        return NoAnswer(_describe(exc), sent=False)
    except (AiosonicError, OSError, EOFError, ValueError, TimeoutError) as exc:
        return NoAnswer(_describe(exc), sent=True)
    if not isinstance(content, dict):
        return NoAnswer("the answer is not a JSON object", sent=True)
    return Answered(response.status_code, content)


def _describe(exc: Exception) -> str:
    return f"{type(exc).__name__} {exc}".rstrip()


async def call_any(connection: Connection, method: str, path: str, body: Any = None) -> Response:
    """Send an idempotent request to the daemons in order until one answers."""
    reasons = []
    for address in connection.operators:
        response = await call(connection, address, method, path, body)
        if isinstance(response, Answered) and response.status != 503:
            return response
        reasons.append(f"{address}: {_reason(response)}")
    return NoAnswer("; ".join(reasons), sent=True)


async def call_all(connection: Connection, method: str, path: str) -> dict[str, Response]:
    """Send a request to all daemons at once and return the responses by address."""
    calls = (call(connection, address, method, path) for address in connection.operators)
    responses = await asyncio.gather(*calls)
    return dict(zip(connection.operators, responses, strict=True))


async def propose(connection: Connection, proposal: ProposalBody) -> tuple[Response, bool]:
    """Send a proposal; without an answer, retry with the same operation id.

    :returns: the last response, and whether an earlier attempt may have taken effect.
    """
    body = {**proposal._asdict(), "changes": [item._asdict() for item in proposal.changes]}
    uncertain, response = False, NoAnswer("no daemon given", sent=False)
    for attempt in range(max(APPLY_ATTEMPTS, len(connection.operators))):
        address = connection.operators[attempt % len(connection.operators)]
        path = "/admin/config"
        response = await call(connection, address, "POST", path, body, APPLY_TIMEOUT_S)
        if isinstance(response, Answered) and response.status != 503:
            return response, uncertain
        uncertain = uncertain or may_have_run(response)
    return response, uncertain


def may_have_run(response: Response) -> bool:
    """Return False if the request certainly had no effect."""
    match response:
        case NoAnswer(sent=sent):
            return sent
        case Answered(body={"error": {"outcome": "not_run"}}):
            return False
        case Answered(status=status) if 400 <= status < 500:
            return False
        case _:
            return True


def _reason(response: Response) -> str:
    match response:
        case NoAnswer(reason=reason):
            return reason
        case Answered(status=status, body=body):
            return error_text(status, body)


def error_text(status: int, body: dict[str, Any]) -> str:
    """Return the error message of a response body."""
    error = body.get("error")
    message = error.get("message") if isinstance(error, dict) else None
    return str(message or f"status {status}")


def build_path(path: str, *parts: str, **query: Any) -> str:
    """Return a path with quoted parts and the query parameters that are not empty."""
    quoted = "/".join((path, *(quote(part, safe="") for part in parts)))
    params = {key: value for key, value in query.items() if value not in ("", None)}
    return f"{quoted}?{urlencode(params)}" if params else quoted
