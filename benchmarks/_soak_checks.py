"""Checks of the soak: what clients were told against what replicas have seen."""

from bisect import bisect_left
from collections import Counter
from typing import NamedTuple

from benchmarks._soak_system import BOUNDS, CRASHING_SERVICE, SoakSystem

PLAIN_KINDS = ("book", "look")
AT_MOST_ONCE_KINDS = ("book", "once", "deep", "part")
# A replica may still run a request with a revoked key if the client sent it within this time of
# the revocation. The bound applies to the send time.
REVOCATION_BOUND_S = 4.0
# Requests with a part that ends engines, which may reach them later than this after the fifth end.
CONTACT_S = 3.0
COUNTED_CRASHES = 5
MAX_LATE_REQUESTS = 3
# Within a limit, a replica may get one and a half times what it allows, and five requests.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# A gateway keeps a limit from this time after an answer that names it.
LIMIT_KNOWN_S = 0.5


class LimitedTime(NamedTuple):
    """Time in which a replica has named one limit in all its answers."""

    replica_id: str
    per_s: float
    since: float
    until: float


class RequestRecord(NamedTuple):
    """A client's request and its outcome.

    :param status: HTTP status, 0 if no complete response was received.
    :param took_s: seconds until the response or the failure.
    :param bad: whether the prompt has the part that ends engines.
    :param leaving: id of the replica that said in the answer that it leaves, or empty.
    :param limited: id of the replica that named a limit in the answer, or empty.
    :param gave_up: whether the client left early.
    """

    request_id: str
    kind: str
    key: str
    sent_at: float
    status: int
    body: bytes
    took_s: float
    gateway: int
    bad: bool
    leaving: str
    limited: str
    gave_up: bool


def check_results(
    system: SoakSystem,
    sent: list[RequestRecord],
    revoked: dict[str, float],
    left: list[tuple[str, float, float]],
    limited: list[LimitedTime],
) -> list[str]:
    """Return the violated guarantees.

    :param revoked: time of the revocation of each key.
    :param left: replica, begin and end of each time in which it said that it leaves.
    """
    by_id = {item.request_id: item for item in sent}
    findings = _check_runs(system, by_id, revoked)
    findings += _check_leaving(system, by_id, left)
    findings += _check_limits(system, by_id, limited)
    findings += _check_crashing_part(system, by_id)
    findings += _check_stops(system, by_id)
    return findings + _check_pieces(system)


def _check_runs(
    system: SoakSystem, by_id: dict[str, RequestRecord], revoked: dict[str, float]
) -> list[str]:
    findings = []
    ran = Counter(item for replica in system.replicas for item in replica.ran)
    for request_id, count in ran.items():
        sent = by_id.get(request_id)
        if sent is None:
            continue
        if sent.kind in AT_MOST_ONCE_KINDS and count > 1:
            findings.append(f"{request_id}: {sent.kind} ran {count} times")
        if sent.kind in AT_MOST_ONCE_KINDS and sent.status in (408, 421, 429, 503):
            findings.append(f"{request_id}: {sent.kind} was answered {sent.status} and ran")
        revoked_at = revoked.get(sent.key)
        if revoked_at is not None and sent.sent_at > revoked_at + REVOCATION_BOUND_S:
            late = sent.sent_at - revoked_at
            findings.append(f"{request_id}: ran {late:.1f} s after its key was revoked")
    return findings


def _check_leaving(
    system: SoakSystem,
    by_id: dict[str, RequestRecord],
    left: list[tuple[str, float, float]],
) -> list[str]:
    """Return the requests that reached a replica after their gateway knew that it leaves."""
    findings = []
    replicas = {replica.replica_id: replica for replica in system.replicas}
    for replica_id, since, until in left:
        told = [item for item in by_id.values() if item.leaving == replica_id]
        for at, request_id in replicas[replica_id].received:
            sent = by_id.get(request_id)
            # The request may reach the next incarnation, which does not leave.
            if sent is None or sent.sent_at < since or at > until:
                continue
            answers = [
                item.sent_at + item.took_s
                for item in told
                if item.gateway == sent.gateway and item.sent_at > since
            ]
            late = sent.sent_at - min(answers, default=sent.sent_at)
            gateway = system.gateways[sent.gateway]
            if late > BOUNDS["drain_ms"] / 1000 and gateway.is_in_touch(sent.sent_at, late):
                findings.append(f"{request_id}: reached {replica_id} {late:.1f} s after it left")
    return findings


def _check_limits(
    system: SoakSystem, by_id: dict[str, RequestRecord], limited: list[LimitedTime]
) -> list[str]:
    """Return the limits that gateways exceeded which had passed on an answer that names them."""
    findings = []
    replicas = {replica.replica_id: replica for replica in system.replicas}
    for replica_id, per_s, since, until in limited:
        told: dict[int, float] = {}
        for item in by_id.values():
            answered_at = item.sent_at + item.took_s
            if item.limited == replica_id and since < answered_at < until:
                earliest = min(answered_at, told.get(item.gateway, answered_at))
                told[item.gateway] = earliest
        counted = []
        for at, request_id in replicas[replica_id].received:
            sent = by_id.get(request_id)
            if sent is None or not since + CONTACT_S < at < until:
                continue
            known_at = told.get(sent.gateway, until) + LIMIT_KNOWN_S
            if at > known_at and system.gateways[sent.gateway].is_in_touch(at, CONTACT_S):
                counted.append(at)
        most = max(
            (bisect_left(counted, at + LIMIT_WINDOW_S) - n for n, at in enumerate(counted)),
            default=0,
        )
        if most > LIMIT_FACTOR * LIMIT_WINDOW_S * per_s + LIMIT_SLACK:
            findings.append(f"{replica_id}: {most} requests in 4 s at a limit of {per_s} a second")
    return findings


def _check_stops(system: SoakSystem, by_id: dict[str, RequestRecord]) -> list[str]:
    """Return the requests without an answer that a stopping gateway had passed on.

    A plain answer that is not ready when the process ends is replaced by another final answer.
    """
    findings = []
    ran = {request_id for replica in system.replicas for request_id in replica.ran}
    for sent in by_id.values():
        if (
            sent.status
            or sent.gave_up
            or sent.kind not in PLAIN_KINDS
            or sent.request_id not in ran
        ):
            continue
        for begun, ended in system.gateways[sent.gateway].stops:
            if begun < sent.sent_at < ended:
                findings.append(
                    f"{sent.request_id}: cut {ended - sent.sent_at:.1f} s before the end"
                )
    return findings


def _check_crashing_part(system: SoakSystem, by_id: dict[str, RequestRecord]) -> list[str]:
    """Return a finding if too many requests with the part reached engines after the fifth crash."""
    engines = [item for item in system.replicas if item.service == CRASHING_SERVICE]
    crashes = sorted(at for engine in engines for at in engine.crashes)
    if len(crashes) < COUNTED_CRASHES:
        return []
    limit = crashes[COUNTED_CRASHES - 1] + CONTACT_S
    late = [
        sent
        for engine in engines
        for request_id in engine.ran
        if (sent := by_id.get(request_id)) is not None
        and sent.bad
        and sent.sent_at > limit
        and system.gateways[sent.gateway].is_in_touch(sent.sent_at, CONTACT_S)
    ]
    if len(late) <= MAX_LATE_REQUESTS:
        return []
    return [f"{len(late)} requests with a bad part reached engines, {len(crashes)} crashes"]


def _check_pieces(system: SoakSystem) -> list[str]:
    """Return the pieces and requests that received a result or key of another request."""
    stage_results = {
        handle: item
        for replica in system.replicas
        for handle, item in replica.stage_results.items()
    }
    findings = [
        f"{handle}: piece of {item['id']} got a result of another request"
        for handle, item in stage_results.items()
        for source in item.get("inputs", ())
        if source in stage_results and stage_results[source]["id"] != item["id"]
    ]
    findings.extend(
        f"{handle}: piece of {item['id']} got another request's key"
        for handle, item in stage_results.items()
        if item.get("key", item["id"]) != item["id"]
    )
    for replica in system.replicas:
        for request in replica.requests:
            headers = {name.lower(): value.decode() for name, value in request.head.headers}
            request_id = headers[b"x-greengagehoist-request-id"]
            inputs = headers.get(b"x-greengagehoist-inputs", "")
            if inputs and any(
                stage_results[item]["id"] != request_id for item in inputs.split(",")
            ):
                findings.append(f"{request_id}: got a result of another request")
    return findings
