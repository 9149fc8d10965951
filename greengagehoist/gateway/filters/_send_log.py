"""Log lines of the sends of a request."""

from greengagehoist.gateway import Exchange
from greengagehoist.gateway.controllers import format_key
from greengagehoist.gateway.filters._request_key import request_key_of
from greengagehoist.http1 import ProtocolError
from greengagehoist.replicas import Replica
from greengagehoist.retries import NextStep, SendEnd
from greengagehoist.utils import log_event

# Clients choose number and length of the ids of prompt parts.
MAX_LOGGED_PARTS = 16
MAX_LOGGED_ID_CHARS = 32


def log_sent(exchange: Exchange, replica: Replica, now: float, remaining_s: float) -> None:
    """Log the send of a request.

    :param remaining_s: seconds until the client must have the answer.
    """
    log_event(
        "request_sent",
        request=exchange.req.request_id,
        replica=replica.replica_id,
        zone=replica.zone,
        route=exchange.route.name,
        version=exchange.snapshot.deployment.version,
        version_age_ms=round((now - exchange.snapshot.confirmed_at) * 1000),
        send=exchange.progress.sends + 1,
        left_ms=round(remaining_s * 1000),
    )


def log_withheld(exchange: Exchange, replica: Replica) -> None:
    """Log that a request was not sent, because it may not get it any more."""
    log_event(
        "send_withheld",
        request=exchange.req.request_id,
        replica=replica.replica_id,
        zone=replica.zone,
    )


def log_failed_send(
    exchange: Exchange, replica: Replica, end: SendEnd, step: NextStep, now: float
) -> None:
    """Log a send without an answer and what follows."""
    progress = exchange.progress
    log_event(
        "send_failed",
        "WARNING",
        request=exchange.req.request_id,
        replica=replica.replica_id,
        end=type(end).__name__,
        may_have_run=progress.may_have_run,
        sends=progress.sends,
        left_ms=round((exchange.answer_deadline - now) * 1000),
        decision=type(step).__name__,
        shared_parts=_shared_parts(exchange),
        request_key=format_key(request_key_of(exchange)),
    )


def log_invalid_response(exchange: Exchange, replica: Replica, exc: ProtocolError) -> None:
    """Log bytes of a replica that are no response."""
    log_event(
        "response_invalid",
        "WARNING",
        request=exchange.req.request_id,
        replica=replica.replica_id,
        reason=str(exc),
    )


def _shared_parts(exchange: Exchange) -> str:
    """Return the ids of the first prompt parts that other requests may share."""
    prompt = exchange.req.prompt
    if prompt is None:
        return ""
    shared = prompt.parts[:-1][:MAX_LOGGED_PARTS]
    return ",".join(part.part_id[:MAX_LOGGED_ID_CHARS] for part in shared)
