"""Guards against a distribution of the configuration that the narrowest links cannot carry."""

import pytest

from greengagehoist.gateway.tests.distribution_plan import (
    Site,
    measure,
    plan,
    plan_of_whole_reads,
    seconds,
)
from greengagehoist.platform_client._controller import CALL_TIMEOUT_S
from greengagehoist.standins._large_configuration import large_configuration

APPLY_S, REVOKE_S = 3.0, 5.0
# Part of the narrowest link that reads may use while nothing changes.
CALM_FRACTION = 0.01
SITES = [Site(7, 2), Site(72, 4), Site(90, 3), Site(300, 4)]
HUB_SITES = SITES[1:]
SMALL = large_configuration(1, 40, 16)
ROUTES = large_configuration(2, 1200, 16)
KEYS = large_configuration(3, 1200, 12_000)
REVOKED = KEYS | {"version": 4, "tenants": KEYS["tenants"][1:]}


@pytest.fixture(scope="module")
def sizes():
    """Return the sizes of the changes by name."""
    return {
        "one route": measure(SMALL, large_configuration(2, 40, 16, changed=1)),
        "1,160 routes more": measure(SMALL, ROUTES),
        "one of 1,200 routes": measure(ROUTES, large_configuration(3, 1200, 16, changed=1)),
        "12,000 keys more": measure(ROUTES, KEYS),
        "one of 12,000 keys": measure(KEYS, REVOKED),
    }


@pytest.mark.parametrize("site", SITES, ids=str)
def test_confirmation_that_nothing_has_changed_moves_no_content(site, sizes):
    """Each read moved the whole row, which took more than all of a link of 5 Mbit/s."""
    for found in sizes.values():
        planned = plan(site, found)
        assert seconds(planned.calm_link_bytes_s, site.narrow_mbit) < CALM_FRACTION
        assert planned.calm_store_bytes_s < 10_000


@pytest.mark.parametrize("site", SITES, ids=str)
@pytest.mark.parametrize("change", ["one route", "1,160 routes more", "one of 1,200 routes"])
def test_change_of_routes_is_in_force_in_time_on_the_narrowest_links(site, sizes, change):
    assert plan(site, sizes[change]).in_force_s < APPLY_S


@pytest.mark.parametrize("site", HUB_SITES, ids=str)
def test_revocation_of_one_of_many_keys_is_in_force_in_time(site, sizes):
    assert plan(site, sizes["one of 12,000 keys"]).in_force_s < APPLY_S


@pytest.mark.parametrize("site", HUB_SITES, ids=str)
def test_many_keys_at_once_are_in_force_in_time(site, sizes):
    bound = APPLY_S if site.daemons <= 90 else REVOKE_S
    assert plan(site, sizes["12,000 keys more"]).in_force_s < bound


def test_hub_sends_little_for_one_change(sizes):
    site = Site(300, 4)
    assert plan(site, sizes["one of 1,200 routes"]).change_hub_bytes < 50_000
    assert plan(site, sizes["1,160 routes more"]).change_hub_bytes < 1_000_000


@pytest.mark.parametrize("site", HUB_SITES, ids=str)
def test_whole_reads_do_not_fit(site, sizes):
    """Shows the fault by the same arithmetic."""
    before = plan_of_whole_reads(site, sizes["12,000 keys more"])
    assert before.in_force_s > APPLY_S
    routes = sizes["1,160 routes more"]
    # Three topics are read over the same link, each within the time-out of one call.
    assert seconds(routes.row, site.narrow_mbit) > 0.9 * CALL_TIMEOUT_S
