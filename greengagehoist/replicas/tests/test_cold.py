"""Guards against cold replicas that count as warm, and warm ones that are slowed needlessly."""

import itertools
from bisect import bisect_left

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.replicas import (
    JITTER_S,
    ColdEntries,
    ColdReplicas,
    ColdRule,
    ColdState,
    Granted,
    PermitQueue,
    Replica,
    WarmUp,
    allowance_of,
    incarnation_of,
)
from greengagehoist.replicas._cold import ENTRY_AGE_S, STATEMENT_TOLERANCE_S
from greengagehoist.standins._profiles import property_settings

REPLICA = Replica("r", "s", "10.0.0.1", 80, "a", 8, 1, False)
OTHER = REPLICA._replace(replica_id="o", port=81, zone="b")
KEY = incarnation_of(REPLICA)
START_S = 3.0
RULE = ColdRule(1.5, 5.0)


@pytest.fixture
def cold():
    """Return the state of a process that has read one list, in which the other replica was."""
    made = ColdReplicas(lambda service: START_S)
    made.observe_list(listing(OTHER), 0.0)
    return made


def listing(*replicas):
    return {item.replica_id: item for item in replicas}


def stating(cold_s, row=1):
    return REPLICA._replace(cold_s=cold_s, cold_row=row if cold_s else 0)


def is_cold_from_to(cold, key, start, end):
    """Return whether a replica is cold just from one time to another."""
    return [cold.is_cold(key, at) for at in (start, end - 0.01, end + 0.01)] == [True, True, False]


def test_new_incarnation_is_cold_for_the_time_of_its_service(cold):
    """The list says nothing about it in deployments whose replicas do not state it."""
    cold.observe_list(listing(OTHER, REPLICA), 10.0)
    assert is_cold_from_to(cold, KEY, 10.0, 10.0 + START_S)
    cold.observe_list(listing(OTHER, REPLICA), 12.0)
    assert is_cold_from_to(cold, KEY, 10.0, 10.0 + START_S)
    restarted = REPLICA._replace(born_ms=2)
    cold.observe_list(listing(OTHER, restarted), 20.0)
    assert not cold.is_cold(KEY, 20.0)
    assert is_cold_from_to(cold, incarnation_of(restarted), 20.0, 20.0 + START_S)


def test_replicas_of_the_first_list_are_not_new(cold):
    """A daemon that starts must not slow a whole deployment."""
    assert not cold.is_cold(incarnation_of(OTHER), 0.0)


def test_first_list_counts_where_it_states_a_cold_period():
    cold = ColdReplicas(lambda service: START_S)
    cold.observe_list(listing(stating(2.0)), 0.0)
    assert is_cold_from_to(cold, KEY, 0.0, 2.0 + STATEMENT_TOLERANCE_S)


def test_replica_that_returns_to_the_list_is_cold_again(cold):
    for at, replicas in ((10.0, (OTHER, REPLICA)), (20.0, (OTHER,)), (30.0, (OTHER, REPLICA))):
        cold.observe_list(listing(*replicas), at)
    assert is_cold_from_to(cold, KEY, 30.0, 30.0 + START_S)


def test_statement_of_an_entry_goes_before_the_estimate(cold):
    cold.observe_list(listing(OTHER, stating(0.0)), 10.0)
    assert not cold.is_cold(KEY, 10.0)
    cold.observe_list(listing(OTHER, stating(1.0)), 20.0)
    assert is_cold_from_to(cold, KEY, 20.0, 21.0 + STATEMENT_TOLERANCE_S)


def test_replica_may_turn_cold_again_at_any_time(cold):
    for at, entry in ((10.0, stating(0.0)), (20.0, stating(3.0)), (25.0, stating(0.0))):
        cold.observe_list(listing(OTHER, entry), at)
    assert not cold.is_cold(KEY, 25.0)
    cold.observe_list(listing(OTHER, stating(3.0, 2)), 30.0)
    assert is_cold_from_to(cold, KEY, 30.0, 33.0 + STATEMENT_TOLERANCE_S)


def test_entry_that_states_warm_ends_a_cold_period_early(cold):
    cold.observe_list(listing(OTHER, stating(100.0)), 10.0)
    cold.observe_list(listing(OTHER, stating(0.0)), 11.0)
    assert not cold.is_cold(KEY, 11.0)


def test_entry_that_may_be_older_does_not_end_what_an_answer_has_stated(cold):
    """A read shows what was written up to some seconds before it."""
    cold.observe_list(listing(OTHER, stating(1.0)), 10.0)
    cold.observe_answer(KEY, 9.0, 11.0)
    cold.observe_list(listing(OTHER, stating(0.0)), 11.0 + ENTRY_AGE_S - 0.1)
    assert cold.is_cold(KEY, 19.9)
    cold.observe_list(listing(OTHER, stating(0.5)), 14.0)
    cold.observe_list(listing(OTHER, stating(0.0)), 15.0)
    assert not cold.is_cold(KEY, 15.0)


def test_answers_are_newer_than_entries(cold):
    cold.observe_list(listing(OTHER, stating(9.0)), 10.0)
    assert cold.observe_answer(KEY, 0.0, 11.0)
    assert not cold.is_cold(KEY, 11.0)
    assert not cold.observe_answer(KEY, 0.0, 12.0)
    assert cold.observe_answer(KEY, 3.0, 13.0)
    assert not cold.observe_answer(KEY, 2.0, 14.0)
    assert is_cold_from_to(cold, KEY, 13.0, 16.0)


def test_statements_merge_in_any_order():
    states = [ColdState(9.0, 1.0), ColdState(5.0, 2.0), ColdState(8.0, 3.0)]
    for order in itertools.permutations(states):
        cold = ColdReplicas(lambda service: START_S)
        for state in order:
            cold.merge(KEY, state)
        assert cold.state_of(KEY) == ColdState(8.0, 3.0)


def test_evacuated_replica_is_cold_until_some_time_after_its_return(cold):
    """Nothing may be sent between the end of an evacuation and its notice here."""
    key = incarnation_of(OTHER)
    cold.set_evacuated(frozenset({"b"}), 10.0)
    assert cold.is_cold(key, 1000.0)
    assert cold.cold(1000.0).keys() == {key}
    cold.set_evacuated(frozenset(), 1000.0)
    assert is_cold_from_to(cold, key, 1000.0, 1000.0 + START_S)


def test_statement_after_the_return_from_an_evacuation_counts(cold):
    key = incarnation_of(OTHER)
    cold.set_evacuated(frozenset({"b"}), 10.0)
    cold.set_evacuated(frozenset(), 20.0)
    assert cold.observe_answer(key, 0.0, 20.5)
    assert not cold.is_cold(key, 20.5)


def test_services_without_a_rule_have_no_cold_replicas():
    cold = ColdReplicas(lambda service: 0.0)
    cold.observe_list({}, 0.0)
    cold.observe_list(listing(REPLICA), 1.0)
    cold.set_evacuated(frozenset({"a"}), 2.0)
    cold.set_evacuated(frozenset(), 3.0)
    assert cold.cold(3.0) == {}


def read(cold_s, row, **fields):
    return REPLICA._replace(cold_s=cold_s, cold_row=row, **fields)


def test_countdown_does_not_change_the_list_at_each_heartbeat():
    """Each change is sent to all daemons."""
    entries = ColdEntries()
    first = entries.hold([read(3.0, 7), OTHER], 10.0)
    for number in range(1, 6):
        at, row = 10.0 + 0.5 * number, 7 + number // 2
        # Rows are read some time after they were written.
        left_s = 3.0 - 0.5 * number + 0.3 * (number % 3)
        assert entries.hold([read(left_s, row), OTHER], at) == first
    warm, _ = entries.hold([read(0.0, 12), OTHER], 14.0)
    assert (warm.cold_s, warm.cold_row) == (0.0, 0)


def test_entry_that_is_not_written_again_is_one_cold_period():
    """Otherwise a replica would stay cold for ever that writes its entry only on changes."""
    entries = ColdEntries()
    first = entries.hold([read(3.0, 7)], 10.0)
    for at in (12.0, 50.0):
        assert entries.hold([read(3.0, 7)], at) == first
    entries = ColdEntries()
    first = entries.hold([read(3.0, 7)], 10.0)
    for at in (12.0, 50.0):
        assert entries.hold([read(0.9, 9)], at) == first


@pytest.mark.parametrize(("at", "row", "born"), [(14.5, 9, 1), (11.0, 9, 2)])
def test_new_cold_period_changes_the_list(at, row, born):
    entries = ColdEntries()
    entries.hold([read(3.0, 7)], 10.0)
    (second,) = entries.hold([read(3.0, row, born_ms=born)], at)
    assert (second.cold_s, second.cold_row) == (3.0, row)


def test_states_of_unlisted_replicas_are_bounded(cold, monkeypatch):
    monkeypatch.setattr("greengagehoist.replicas._cold.MAX_UNLISTED", 3)
    for number in range(10):
        cold.observe_answer(("gone", number), 5.0, 1.0)
        cold.observe_list(listing(OTHER), 1.0)
    assert len(cold._states) <= 4


@property_settings(200)
@given(
    per_s=st.floats(0.5, 200),
    overshoot=st.floats(1.0, 3.0),
    slack=st.floats(2.0, 20.0),
    steps=st.lists(st.floats(0.0, 0.6), min_size=1, max_size=60),
)
def test_no_second_has_more_arrivals_than_the_rule_allows(per_s, overshoot, slack, steps):
    """Permits of 1.35 s may arrive in one second, and a second owner may have its burst left."""
    rule = ColdRule(overshoot, slack)
    rate, burst = allowance_of(per_s, rule)
    now, granted = 0.0, []
    queue = PermitQueue(rate, now, burst)
    for number, step in enumerate(steps):
        now += step
        while queue.ask(1, "vm", number, 0.0, now) == Granted():
            granted.append(now)
    most = max(
        (bisect_left(granted, at + 1.0 + JITTER_S) - n for n, at in enumerate(granted)), default=0
    )
    assert most + burst <= per_s * overshoot + slack + 1e-6


def test_allowance_uses_the_rate_where_the_rule_has_room():
    rate, burst = allowance_of(8.0, RULE)
    assert rate == 8.0
    assert 1.0 <= burst <= 8.0


def test_cold_replica_takes_part_in_a_growing_share_of_the_choices():
    warm_up, cold = WarmUp(), {KEY: ColdState(10.0, 0.0)}

    def share(now):
        found = [warm_up.admit([REPLICA, OTHER], cold, now) for _ in range(100)]
        return sum(REPLICA in item for item in found) / 100

    shares = [share(at) for at in (0.0, 2.5, 5.0, 7.5, 9.9)]
    assert shares == sorted(shares)
    assert 0.05 < shares[0] < 0.15
    assert shares[-1] > 0.9


def test_cold_replicas_are_all_there_is():
    cold = {KEY: ColdState(10.0, 0.0), incarnation_of(OTHER): ColdState(10.0, 0.0)}
    assert WarmUp().admit([REPLICA, OTHER], cold, 0.0) == [REPLICA, OTHER]
    assert WarmUp().admit([], cold, 0.0) == []


@pytest.mark.parametrize(("per_s", "rule"), [(1.0, ColdRule(1.5, 0.0)), (0.5, ColdRule(1.0, 1.0))])
def test_smallest_allowances_have_a_rate(per_s, rule):
    """A rate of 0 was a division by zero in the queue of permits."""
    assert allowance_of(per_s, rule).per_s > 0.0
