"""Answers the pattern of a hot tenant: one tenant sends many times its usual.

It may take what the others leave; without that, first come is first served, and all tenants lose
about the same share of their requests.
"""

import random

import pytest

from greengagehoist.deployment import PoolLimits
from greengagehoist.pieces import PoolQueue, Reservation, StageWork, TenantRates

LIMITS = PoolLimits(8, 0.1, 0.0, 10e6)
TENANTS = [f"t{number}" for number in range(8)]
HOT = "t0"
# The tenants usually need 45 of the 80 pieces a second that the pool can do.
PIECES, REQUESTS_PER_S = 4, 1.4
STEP_S, HOT_FROM_S, HOT_TO_S = 0.1, 20.0, 28.0
TARGET_S, MAX_WAIT_S = 1.0, 0.8
# Share of their requests that the other tenants may lose because of the hot one.
MAX_LOSS = 0.05
SEEDS = range(8)


def served_share(seed, watched, factor):
    """Return the share of requests that a pool served in time while a tenant was hot.

    :param watched: whether the pool distinguishes the tenants.
    :param factor: load of the hot tenant against its usual.
    """
    rng, queue, rates = random.Random(seed), PoolQueue(LIMITS), TenantRates()
    asked, served = dict.fromkeys(TENANTS, 0), dict.fromkeys(TENANTS, 0)
    waiting = {}
    for step in range(int(HOT_TO_S / STEP_S)):
        now = step * STEP_S
        hot = now >= HOT_FROM_S
        for tenant in TENANTS:
            rate = REQUESTS_PER_S * (factor if hot and tenant == HOT else 1.0)
            while rng.random() < rate * STEP_S / (1 + rate * STEP_S):
                name = f"{tenant}-{step}-{rng.random()}"
                asked[tenant] += hot
                excess = watched and rates.is_excess(tenant, PIECES, now)
                new = Reservation(PIECES, 0, now + TARGET_S, excess)
                if queue.wait_s(new, 1.0, now) > MAX_WAIT_S:
                    continue
                queue.reserve(name, new)
                work = StageWork(
                    name, "s", 0, tuple(range(PIECES)), "k", (), 0, now + TARGET_S, now + 9, "", 0.0
                )
                queue.add(work, "", now)
                waiting[name] = PIECES
        for piece in queue.pop_batch("a", frozenset({"a"}), 1e12, 1, now):
            waiting[piece.request_id] -= 1
            if not waiting[piece.request_id]:
                tenant, at, _ = piece.request_id.split("-", 2)
                if int(at) * STEP_S >= HOT_FROM_S and now - int(at) * STEP_S <= TARGET_S:
                    served[tenant] += 1
    return {tenant: served[tenant] / max(1, asked[tenant]) for tenant in TENANTS}


def mean_of_others(**run):
    """Return the mean share of the other tenants over several seeds."""
    shares = [
        share
        for seed in SEEDS
        for tenant, share in served_share(seed, **run).items()
        if tenant != HOT
    ]
    return sum(shares) / len(shares)


def test_other_tenants_are_served_beside_a_hot_one_as_without_it():
    calm = mean_of_others(watched=True, factor=1.0)
    assert mean_of_others(watched=True, factor=7.5) >= calm - MAX_LOSS
    assert mean_of_others(watched=False, factor=7.5) < calm - MAX_LOSS


@pytest.mark.parametrize("seed", SEEDS)
def test_hot_tenant_keeps_its_usual_share(seed):
    """A tenant that gets nothing while it is hot would be starved."""
    shares = served_share(seed, watched=True, factor=7.5)
    assert shares[HOT] * 7.5 > 1.0


def test_burst_of_all_tenants_makes_none_of_them_stand_out():
    rates, rng = TenantRates(), random.Random(1)
    excess = []
    for step in range(300):
        now = step * STEP_S
        rate = REQUESTS_PER_S * (2.6 if now > HOT_FROM_S else 1.0)
        sending = [tenant for tenant in TENANTS if rng.random() < rate * STEP_S]
        excess.extend(rates.is_excess(tenant, PIECES, now) for tenant in sending)
    assert sum(excess) < 0.05 * len(excess)


def test_first_requests_of_a_new_tenant_are_no_excess():
    rates = TenantRates()
    for step in range(200):
        rates.is_excess("old", PIECES, step * STEP_S)
    assert [rates.is_excess("new", 16, 20.0 + number) for number in range(3)] == [False] * 3
