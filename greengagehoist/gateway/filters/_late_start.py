"""Refusal of requests that no replica will take in time."""

from greengagehoist.gateway import Exchange, Reply, failure_reply
from greengagehoist.gateway.controllers import Evacuated, NotBefore
from greengagehoist.replicas import Replica
from greengagehoist.utils import log_event

MIN_RETRY_AFTER_S = 0.1
# An evacuation lasts until an operator ends it.
EVACUATED_RETRY_AFTER_S = 1.0
EVACUATED_REASON = "all replicas of the service are in evacuated data centres"
REASON = "all replicas have asked for a pause or are at their limits"


def refuse_late_start(
    exchange: Exchange, found: Replica | NotBefore | Evacuated | None, now: float
) -> Reply | None:
    """Return a refusal if no replica takes the request, or the next one too late for its deadline.

    :param found: answer of the placement.
    """
    match found:
        case Evacuated():
            log_event("request_refused", request=exchange.req.request_id, reason=EVACUATED_REASON)
            return failure_reply(exchange.progress, EVACUATED_REASON, EVACUATED_RETRY_AFTER_S)
        case NotBefore(at, _) if at + exchange.route.target_latency_s > exchange.answer_deadline:
            log_event("request_refused", request=exchange.req.request_id, reason=REASON)
            return failure_reply(exchange.progress, REASON, max(at - now, MIN_RETRY_AFTER_S))
    return None
