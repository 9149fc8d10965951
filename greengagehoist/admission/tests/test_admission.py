"""Guards against unfair sharing, lost entries and limits that ignore latency."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.admission import (
    AdaptiveLimit,
    Admitted,
    Entry,
    EntryOutcome,
    FairQueue,
    Gate,
    Refused,
)
from greengagehoist.admission._gate import OVERCOMMIT_FACTOR
from greengagehoist.standins._profiles import property_settings


def entry(item, customer="depot", weight=1.0, latest=100.0):
    """Return an entry of unit cost."""
    return Entry(customer, weight, 1.0, latest, item)


@pytest.fixture
def gate():
    """Return a gate with a limit of four."""
    return Gate(AdaptiveLimit(4.0))


def test_queue_shares_by_weight():
    queue = FairQueue()
    for index in range(90):
        queue.push("small", 1.0, 1.0, ("small", index))
        queue.push("large", 2.0, 1.0, ("large", index))
    served = Counter(queue.pop()[0] for _ in range(60))
    assert served["large"] == pytest.approx(40, abs=1)


def test_customer_that_bursts_does_not_delay_another():
    queue = FairQueue()
    for index in range(100):
        queue.push("burst", 1.0, 1.0, ("burst", index))
    queue.push("calm", 1.0, 1.0, ("calm", 0))
    assert ("calm", 0) in [queue.pop(), queue.pop()]


def test_work_that_did_not_wait_does_not_delay_later_items():
    queue = FairQueue()
    for _ in range(100):
        queue.charge("busy", 1.0, 1.0)
    queue.push("busy", 1.0, 1.0, "first")
    for index in range(5):
        queue.push("other", 1.0, 1.0, index)
    assert "first" in [queue.pop(), queue.pop(), queue.pop()]


def test_shedding_hits_the_customer_beyond_its_share():
    queue = FairQueue()
    for _ in range(20):
        queue.observe_demand("burst", 1.0, 1.0, 0.0)
    queue.observe_demand("calm", 1.0, 1.0, 0.0)
    queue.push("burst", 1.0, 1.0, "burst")
    for index in range(3):
        queue.push("calm", 1.0, 1.0, f"calm {index}")
    assert queue.shed(0.0) == "burst"
    assert queue.shed(0.0) == "calm 2"


@property_settings(50)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(["push", "pop", "shed"]))))
def test_queue_returns_each_item_once(steps):
    queue, pushed, found = FairQueue(), [], []
    for index, (customer, step) in enumerate(steps):
        match step:
            case "push":
                queue.push(customer, 1.0, 1.0, index)
                pushed.append(index)
            case "pop":
                found.append(queue.pop())
            case "shed":
                found.append(queue.shed(0.0))
    found += [queue.pop() for _ in range(len(queue))]
    assert sorted(item for item in found if item is not None) == pushed
    assert len(queue) == 0


def feed_limit(limit, start, seconds, rate, latency, missed=False):
    """End requests at a given rate and latency while the limit is fully used."""
    for index in range(int(seconds * rate)):
        limit.observe(latency, int(limit.limit), missed, start + index / rate)


def test_limit_follows_the_rate_under_congestion_and_recovers():
    limit = AdaptiveLimit(24.0)
    feed_limit(limit, 0.0, 20, rate=100, latency=0.5)
    grown = limit.limit
    assert grown > 60.0
    feed_limit(limit, 20.0, 20, rate=50, latency=2.0)
    assert 20.0 < limit.limit < 60.0
    feed_limit(limit, 40.0, 60, rate=100, latency=0.5)
    assert limit.limit > 60.0


def test_limit_does_not_shrink_with_the_load():
    limit = AdaptiveLimit(24.0)
    feed_limit(limit, 0.0, 100, rate=2, latency=0.5)
    assert limit.limit >= 24.0


def test_missed_deadlines_lower_the_limit():
    limits = []
    for missed in (False, True):
        limit = AdaptiveLimit(24.0)
        feed_limit(limit, 0.0, 10, rate=50, latency=0.5)
        for second in range(10, 30):
            feed_limit(limit, float(second), 1, rate=40, latency=2.0)
            feed_limit(limit, float(second), 1, rate=10, latency=2.0, missed=missed)
        limits.append(limit.limit)
    assert limits[1] < limits[0]


def test_gate_admits_up_to_the_limit_and_then_as_entries_finish(gate):
    for index in range(4):
        assert gate.submit(entry(index), 0.0) == [Admitted(entry(index))]
    gate.submit(entry(4), 0.0)
    assert gate.queued == 1
    assert Admitted(entry(4)) in gate.finish(1.0, EntryOutcome.COMPLETED, 1.0)


def test_gate_decides_on_every_entry_once(gate):
    verdicts = [v for index in range(100) for v in gate.submit(entry(index), 0.0)]
    decided = Counter(v.entry.item for v in verdicts if isinstance(v, Admitted | Refused))
    while gate.in_flight:
        decided.update(v.entry.item for v in gate.finish(1.0, EntryOutcome.COMPLETED, 1.0))
    assert decided == Counter(range(100))


def test_refused_entry_is_not_queued_as_well(gate):
    for index in range(100):
        verdicts = gate.submit(entry(index), 0.0)
        assert len({verdict.entry.item for verdict in verdicts}) == len(verdicts)


def test_entry_past_its_latest_start_is_refused(gate):
    assert isinstance(gate.submit(entry(0, latest=1.0), 2.0)[0], Refused)
    for index in range(5):
        gate.submit(entry(index, latest=3.0), 2.0)
    assert [
        v.entry.item
        for v in gate.finish(1.0, EntryOutcome.COMPLETED, 4.0)
        if isinstance(v, Refused)
    ] == [4]


def test_refusal_has_a_positive_retry_delay(gate):
    refused = [v for i in range(100) for v in gate.submit(entry(i), 0.0) if isinstance(v, Refused)]
    assert refused
    assert all(v.retry_after > 0.0 for v in refused)


def observe_rates(queue, rates, served):
    """Record ten seconds of demand at the given rates, each served up to ``served`` per second."""
    for tick in range(100):
        for customer, rate in rates.items():
            queue.observe_demand(customer, 1.0, rate / 10, tick / 10)
            queue.observe_served(customer, min(rate, served) / 10, tick / 10)


def test_customer_that_bursts_does_not_raise_the_share_of_others():
    """Guards against a burst of one customer that pushes others beyond their computed share."""
    queue = FairQueue()
    observe_rates(queue, {"burst": 100.0, "calm": 5.0, "small": 1.0}, served=6.0)
    assert queue.is_within_share("calm", 10.0)
    assert queue.is_within_share("small", 10.0)
    assert not queue.is_within_share("burst", 10.0)


def test_no_customer_is_within_its_share_when_all_ask_for_too_much():
    """Guards against a common overload that passes the limit as if within the shares."""
    queue = FairQueue()
    observe_rates(queue, dict.fromkeys("abc", 10.0), served=5.0)
    assert not any(queue.is_within_share(name, 10.0) for name in "abc")


def test_single_customer_is_never_within_its_share():
    """Guards against a sole customer that exceeds the limit."""
    queue = FairQueue()
    observe_rates(queue, {"a": 10.0}, served=10.0)
    assert not queue.is_within_share("a", 10.0)


@pytest.fixture
def filled_gate():
    """Return a gate with a limit of four, filled by one customer; two others send 1/s each."""
    gate = Gate(AdaptiveLimit(4.0))
    for tick in range(100):
        now = tick / 10
        customers = ["burst"] * 10 + ["calm"] * (tick % 10 == 0) + ["small"] * (tick % 10 == 5)
        for number, customer in enumerate(customers):
            gate.submit(entry((tick, number), customer), now)
        if tick % 2 and gate.in_flight:
            gate.finish(1.0, EntryOutcome.FAILED, now)
    return gate


def test_customer_within_its_share_passes_a_limit_that_another_fills(filled_gate):
    """Guards against queueing or shedding behind another customer's burst at a lowered limit."""
    assert filled_gate.queued > 0
    assert filled_gate.in_flight >= 4
    assert filled_gate.submit(entry("mine", "calm"), 10.0) == [Admitted(entry("mine", "calm"))]


def test_customers_within_their_share_pass_a_limit_up_to_a_bound(filled_gate):
    """Guards against unbounded concurrency of customers within their share."""
    for index in range(100):
        filled_gate.submit(entry(index, "calm"), 10.0)
    assert filled_gate.in_flight <= OVERCOMMIT_FACTOR * 4


def test_small_limit_recovers_under_a_congestion_that_lowers_a_large_one():
    """Guards against a small limit that never catches up with a large one."""
    limits = [AdaptiveLimit(8.0), AdaptiveLimit(64.0)]
    for limit in limits:
        feed_limit(limit, 0.0, 2, rate=limit.initial, latency=1.0)
        for second in range(2, 22):
            feed_limit(limit, float(second), 1, rate=limit.limit / 1.6, latency=1.6)
    ratio = limits[1].limit / limits[0].limit
    assert ratio < 4.0


def test_waiting_customer_within_its_share_goes_first(filled_gate):
    """Guards against a customer within its share that waits until usage falls below the limit."""
    for index in range(12):
        filled_gate.submit(entry(index, "calm"), 10.0)
    started = filled_gate.finish(1.0, EntryOutcome.FAILED, 10.0)
    assert [v.entry.customer for v in started if isinstance(v, Admitted)] == ["calm"]
