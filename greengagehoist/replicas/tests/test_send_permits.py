"""Guards against permits beyond a replica's limit, out of order, or withheld although there is room."""

from bisect import bisect_left

from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.replicas import Granted, PermitQueue, Queued, Refused
from greengagehoist.standins._profiles import property_settings

# The rule: in four seconds one and a half times what the limit allows, and five requests.
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
NOW = 100.0


def ask_many(queue, count, now, max_wait_s=0.0, rank=1):
    return [queue.ask(rank, "vm", number, max_wait_s, now) for number in range(count)]


def most_in_window(times):
    return max((bisect_left(times, at + WINDOW_S) - n for n, at in enumerate(times)), default=0)


def test_first_permit_comes_after_the_time_of_one_request():
    queue = PermitQueue(2.0, NOW)
    assert ask_many(queue, 1, NOW) == [Refused(0.5)]
    assert ask_many(queue, 2, NOW + 0.5) == [Granted(), Refused(0.5)]


def test_waiting_sends_get_permits_in_the_order_of_their_rank():
    queue = PermitQueue(1.0, NOW)
    for number, rank in enumerate((5, 0, 5, 3)):
        assert queue.ask(rank, "vm", number, 10.0, NOW) == Queued()
    granted = [item.number for n in range(1, 5) for item in queue.grant_due(NOW + n)]
    assert granted == [1, 3, 0, 2]


def test_send_that_would_wait_too_long_is_refused_at_once():
    queue = PermitQueue(1.0, NOW)
    assert ask_many(queue, 3, NOW, max_wait_s=2.5) == [Queued(), Queued(), Refused(3.0)]


def test_urgent_send_counts_only_what_is_ahead_of_it():
    queue = PermitQueue(1.0, NOW)
    ask_many(queue, 2, NOW, max_wait_s=2.5, rank=4)
    assert queue.ask(0, "vm", 9, 1.5, NOW) == Queued()


def test_send_that_was_dropped_or_is_too_late_takes_no_permit():
    queue = PermitQueue(1.0, NOW)
    queue.ask(1, "vm", 1, 1.0, NOW)
    queue.ask(1, "vm", 2, 9.0, NOW)
    queue.ask(1, "other", 3, 9.0, NOW)
    queue.drop("vm", 2)
    assert [item.number for item in queue.grant_due(NOW + 1.5)] == [3]


@property_settings()
@given(
    limit=st.floats(0.2, 50.0),
    changes=st.lists(st.tuples(st.floats(0.05, 2.0), st.floats(0.0, 1.0)), max_size=20),
    waits=st.sampled_from([0.0, 0.3, 5.0]),
)
def test_permits_keep_the_rule_while_the_share_changes(limit, changes, waits):
    """The owner's share falls and rises with the daemons that it reaches."""
    queue, now, number, granted = PermitQueue(limit, NOW), NOW, 0, []
    for length_s, share in [(6.0, 1.0), *changes]:
        queue.set_rate(limit * max(0.1, share), now)
        end = now + length_s
        while now < end:
            granted += [now] * len(queue.grant_due(now))
            number += 1
            granted += [now] * (queue.ask(number % 3, "vm", number, waits, now) == Granted())
            now += 0.05
    assert most_in_window(granted) <= FACTOR * WINDOW_S * limit + SLACK


def test_all_of_the_limit_is_granted_while_sends_wait():
    queue, granted = PermitQueue(5.0, NOW), 0
    for step in range(1000):
        now = NOW + step / 100
        granted += len(queue.grant_due(now))
        queue.ask(1, "vm", step, 1.0, now)
    assert granted >= 0.95 * 5.0 * 10
