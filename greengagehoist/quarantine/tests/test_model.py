"""Guards against histories in which bad requests go on ending replicas, or sound ones are refused."""

from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.quarantine import Crash
from greengagehoist.quarantine._attribution import count_incidents
from greengagehoist.quarantine.tests.model import CONTACT_S, QuarantineModel

SECONDS = 40.0
MAX_LATE_ARRIVALS = 3
MIN_SOUND = 20


def late_arrivals(model):
    """Return how many bad requests reached replicas later than the contact time after the fifth crash."""
    if len(model.crashes_at) < 5:
        return 0
    limit = model.crashes_at[4] + CONTACT_S
    return sum(at > limit and in_touch for at, in_touch in model.bad_arrivals)


def begun_share(model, since):
    begun = [begun for at, same_first_part, begun in model.sound if at > since and same_first_part]
    return sum(begun) / len(begun) if len(begun) >= MIN_SOUND else 1.0


@given(st.integers(0, 2**32 - 1))
def test_bad_requests_stop_and_sound_ones_go_on(seed):
    model = QuarantineModel(seed).run(SECONDS)
    assert late_arrivals(model) <= MAX_LATE_ARRIVALS
    last_counted = model.crashes_at[:5][-1] if model.crashes_at else 0.0
    assert begun_share(model, last_counted + 2 * CONTACT_S) >= 0.5


@given(st.integers(0, 2**32 - 1))
def test_requests_are_held_back_before_the_fifth_crash(seed):
    """Crashes at one moment count once, because no daemon can know of the first of them in time."""
    model = QuarantineModel(seed, disturbed=False).run(SECONDS)
    moments = count_incidents(Crash("", 0, at, frozenset()) for at in model.crashes_at)
    assert moments <= 5


@given(st.integers(0, 2**32 - 1))
def test_crashes_for_other_reasons_hold_hardly_any_request_back(seed):
    model = QuarantineModel(seed, bad_parts=False).run(SECONDS)
    refused = sum(not begun for _, _, begun in model.sound)
    assert refused <= 0.02 * len(model.sound)


def test_bad_requests_go_on_without_quarantine(monkeypatch):
    """The model itself must show the failure that the quarantine prevents."""
    monkeypatch.setattr(
        "greengagehoist.quarantine.tests.model.attribute_crashes", lambda evidence: {}
    )
    model = QuarantineModel(1).run(SECONDS)
    assert late_arrivals(model) > MAX_LATE_ARRIVALS
