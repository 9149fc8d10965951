"""Guards against configurations that come back older, or are confirmed by a copy of the store."""

import pytest

from greengagehoist.deployment import Deployment, DeploymentSnapshot, Limits
from greengagehoist.gateway.controllers._held_deployment import (
    MAX_COPY_AGE_S,
    OPERATOR_RETURN_S,
    EarlierEra,
    HeldDeployment,
    InForce,
    NoConfiguration,
    Older,
    Unproven,
    apply_confirmation,
    apply_own_read,
    apply_shared_read,
)
from greengagehoist.platform_client import DeploymentRead, Revision


def read(era, row, version):
    deployment = version and Deployment(version, {}, {}, {}, True, Limits())
    return DeploymentRead(deployment or None, Revision(era, row), f"v{version}")


def apply(held, at, *row):
    return apply_own_read(held, read(*row), at, at)


@pytest.fixture
def held():
    """Return version 11 in row version 36 of the first era, confirmed at 10 s."""
    return apply(HeldDeployment(), -MAX_COPY_AGE_S, 1, 36, 11)[0]._replace(
        snapshot=DeploymentSnapshot(read(1, 36, 11).deployment, 10.0)
    )


@pytest.mark.parametrize(
    ("row", "outcome", "version", "confirmed_at"),
    [
        # Written again, under a lower or a higher version of the row.
        ((2, 35, 11), InForce(), 11, 20.0),
        ((2, 37, 11), InForce(), 11, 20.0),
        # The copy as it was, and a copy from before.
        ((2, 36, 11), Unproven(), 11, 10.0),
        ((2, 35, 8), Older(), 11, 10.0),
        ((2, 0, 0), NoConfiguration(), 11, 10.0),
        # Under the row version that is held; a copy may have shown it too.
        ((2, 36, 14), Unproven(), 14, 10.0),
        ((1, 37, 14), InForce(), 14, 20.0),
    ],
)
def test_first_read_after_a_restore(held, row, outcome, version, confirmed_at):
    after, seen = apply(held, 20.0, *row)
    assert (seen, after.version) == (outcome, version)
    assert after.snapshot.confirmed_at == confirmed_at


def test_row_that_changes_within_the_era_was_written_again(held):
    copy, _ = apply(held, 20.0, 2, 34, 4)
    after, seen = apply(copy, 20.3, 2, 36, 14)
    assert (seen, after.version, after.snapshot.confirmed_at) == (InForce(), 14, 20.3)
    assert apply(after, 20.6, 2, 36, 14)[1] == InForce()


def test_copy_is_believed_when_the_operator_had_time_to_write_again(held):
    """Otherwise requests with keys would be refused from then on."""
    copy, _ = apply(held, 20.0, 2, 36, 11)
    assert apply(copy, 20.0 + OPERATOR_RETURN_S - 0.1, 2, 36, 0)[1] == Unproven()
    after, seen = apply(copy, 20.0 + OPERATOR_RETURN_S, 2, 36, 0)
    assert (seen, after.snapshot.confirmed_at) == (InForce(), 20.0 + OPERATOR_RETURN_S)


def test_each_restore_must_be_proven_anew(held):
    """A copy that was made before the first restore has yet another version of the row."""
    after, _ = apply(held, 20.0, 2, 35, 11)
    assert [apply(after, 21.0, 3, row, 11)[1] for row in (34, 35, 36)] == [Unproven()] * 3
    assert apply(after, 20.0 + MAX_COPY_AGE_S, 3, 35, 11)[1] == Unproven()
    assert apply(after, 20.0 + MAX_COPY_AGE_S, 3, 36, 11)[1] == InForce()


def test_restores_that_were_not_seen_leave_the_copy_unknown(held):
    assert apply(held, 20.0, 3, 35, 11)[1] == Unproven()


def test_newer_version_is_held_although_an_older_one_was_confirmed_later(held):
    """The older one was held under the newer one's row, and each later read confirmed it."""
    after, seen = apply_own_read(held, read(1, 40, 14), 9.0, 11.0)
    assert (seen, after.version, after.row, after.source) == (
        InForce(),
        14,
        Revision(1, 40),
        "v14",
    )
    assert after.snapshot.confirmed_at == 10.0


def test_read_of_an_earlier_era_changes_nothing(held):
    after, _ = apply(held, 20.0, 2, 35, 11)
    assert apply(after, 21.0, 1, 36, 14) == (after, EarlierEra())


def test_daemon_that_starts_believes_its_first_read():
    after, seen = apply(HeldDeployment(), 5.0, 7, 3, 2)
    assert (seen, after.version) == (InForce(), 2)


def test_newer_version_of_a_peer_is_taken_from_any_era():
    """A daemon that starts on the copy has read an older one."""
    copy, _ = apply(HeldDeployment(), 20.0, 2, 34, 4)
    after, seen = apply_shared_read(copy, read(1, 36, 11), 10.0, 20.0, 2, 1)
    assert (seen, after.version, after.snapshot.confirmed_at) == (InForce(), 11, 10.0)
    assert apply(after, 20.3, 2, 34, 4)[1] == Older()
    assert apply(after, 20.6, 2, 35, 11)[1] == InForce()


def test_hub_of_an_earlier_era_confirms_nothing(held):
    after, _ = apply(held, 20.0, 2, 35, 11)
    assert apply_shared_read(after, read(1, 36, 11), 21.0, 21.0, 1, 1) == (after, EarlierEra())
    assert apply_confirmation(after, Revision(1, 36), 21.0, 1) == (after, EarlierEra())
    confirmed, seen = apply_confirmation(after, Revision(2, 35), 21.0, 2)
    assert (seen, confirmed.snapshot.confirmed_at) == (InForce(), 21.0)


def test_daemon_that_started_on_the_copy_confirms_nothing_for_others(held):
    """It believes its first read for want of a better one, and a revocation may be missing there."""
    hub, seen = apply(HeldDeployment(), 20.0, 2, 36, 11)
    assert seen == InForce()
    after, _ = apply(held, 20.0, 2, 36, 11)
    hub_read = read(2, 36, 11)
    for known in (held, after):
        shared = apply_shared_read(known, hub_read, 20.5, 20.6, hub.era, hub.proven_era)
        confirmed = apply_confirmation(shared[0], hub.row, 20.7, hub.proven_era)
        assert shared[1] == confirmed[1] == Unproven()
        assert confirmed[0].snapshot.confirmed_at == 10.0
    proven, _ = apply(hub, 20.0 + OPERATOR_RETURN_S, 2, 36, 11)
    after, seen = apply_confirmation(after, hub.row, 22.5, proven.proven_era)
    assert (seen, after.snapshot.confirmed_at) == (InForce(), 22.5)


def test_daemon_that_starts_learns_from_a_peer_that_the_copy_is_not_proven():
    """It would confirm keys by the copy, and the others would believe it."""
    peer = read(2, 36, 11)
    started, _ = apply_shared_read(HeldDeployment(), peer, 10.0, 20.0, era=2, proven_era=1)
    after, seen = apply(started, 20.0, 2, 36, 0)
    assert (seen, after.snapshot.confirmed_at) == (Unproven(), 10.0)
    proven, _ = apply_shared_read(HeldDeployment(), peer, 10.0, 20.0, era=2, proven_era=2)
    assert apply(proven, 20.0, 2, 36, 0)[1] == InForce()
