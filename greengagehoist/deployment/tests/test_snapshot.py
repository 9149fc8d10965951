"""Guards against revoked keys that are accepted and against returns to an older configuration."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.deployment import (
    Allowed,
    Deployment,
    DeploymentSnapshot,
    Limits,
    Tenant,
    Unconfirmed,
    UnknownKey,
    check_key,
    is_fresh,
    merge,
)
from greengagehoist.standins._profiles import property_settings

REVOKE_S = 5.0


def deployment(version, keys=("k",)):
    tenants = {key: Tenant("t", 1) for key in keys}
    return Deployment(version, {}, {}, tenants, True, Limits())


@pytest.fixture
def known():
    return DeploymentSnapshot(deployment(7), 100.0)


def test_known_key_is_allowed_within_the_bound(known):
    assert check_key(known, "k", False, 104.0, REVOKE_S) == Allowed(Tenant("t", 1))


def test_key_is_not_accepted_when_a_revocation_may_be_in_force(known):
    assert isinstance(check_key(known, "k", False, 104.9, REVOKE_S), Unconfirmed)


def test_unknown_key_is_told_apart_from_an_old_configuration(known):
    assert check_key(known, "other", False, 101.0, REVOKE_S) == UnknownKey()
    assert isinstance(check_key(known, "other", False, 106.0, REVOKE_S), Unconfirmed)


def test_public_route_needs_no_key(known):
    assert check_key(known, None, True, 500.0, REVOKE_S) == Allowed(None)


def test_older_version_is_ignored(known):
    assert merge(known, deployment(6), 200.0) == known


def test_read_that_was_sent_before_the_last_confirmation_changes_nothing(known):
    assert merge(known, deployment(8), 99.0) == known


def test_unchanged_row_confirms_the_held_version(known):
    assert merge(known, None, 103.0) == known._replace(confirmed_at=103.0)
    assert is_fresh(merge(known, None, 103.0), 104.0, 1.5)


@property_settings(200)
@given(st.lists(st.tuples(st.integers(1, 9), st.floats(0, 50)), max_size=12))
def test_versions_and_confirmations_only_increase(reads):
    held = None
    for version, sent_at in reads:
        new = merge(held, deployment(version), sent_at)
        if held is not None:
            assert new.deployment.version >= held.deployment.version
            assert new.confirmed_at >= held.confirmed_at
        held = new
