"""Reservation of stage work at the owner of a pool."""

from greengagehoist.gateway.controllers._owned_pool import NO_REPLICA_WAIT_S, OwnedPool
from greengagehoist.overload import GUARANTEED_RANK, Asked, PoolWait
from greengagehoist.pieces import Reservation

# A promised return is done within this time, beyond its run time.
PROMISED_SLACK_S = 0.6


def reserve(
    pool: OwnedPool, asked: Asked, rank: int, due: float, now: float, origin: str = ""
) -> PoolWait:
    """Reserve work and return how long it waits, and when there will be room if it is refused.

    :param due: time by which the results should exist.
    :param origin: VM of the daemon that has received the request, empty for this daemon.
    """
    excess = pool.tenant_rates.is_excess(asked.tenant, asked.pieces, now)
    standing = pool.admission.ask(asked._replace(excess=excess), now)
    new = Reservation(asked.pieces, rank, due, excess, origin=origin)
    if standing.guaranteed:
        new = new._replace(rank=GUARANTEED_RANK, excess=False)
    if standing.promised:
        run_s = pool.queue.expected_s(min(asked.pieces, pool.queue.limits.batch))
        new = new._replace(due=max(due, now + run_s + PROMISED_SLACK_S), promised=True)
    wait_s, per_s, returns = pool.wait_s(new, now), pool.pieces_per_s(now), pool.admission.returns
    if wait_s < NO_REPLICA_WAIT_S:
        if standing.promised:
            # The room may be needed for work that was admitted before; the return then waits a bit.
            wait_s = max(0.0, wait_s - PROMISED_SLACK_S)
        else:
            wait_s += returns.pieces_before(due) / per_s
        wait_s *= standing.weight
    backlog_s = pool.wait_s(Reservation(asked.pieces, rank, now), now)
    pool.queue.reserve(asked.request_id, new)
    room_s = NO_REPLICA_WAIT_S
    if not excess:
        # What the others leave cannot be promised to a tenant above its usual share.
        room_s = returns.room_s(asked.pieces, per_s, backlog_s, now)
    return PoolWait(wait_s, min(room_s, NO_REPLICA_WAIT_S))


def refuse(pool: OwnedPool, request_id: str, returns_in_s: float | None, now: float) -> None:
    """Record that the daemon of a request has refused it.

    :param returns_in_s: seconds until its client comes back to promised room, None without one.
    """
    pool.admission.refuse(request_id, returns_in_s, pool.pieces_per_s(now), now)
