"""Guards against faults after which two daemons use the same share of a limit."""

from datetime import timedelta

import pytest

from greengagehoist.config import Config, Holding, Limits, PlanUsage
from greengagehoist.quota import (
    SLOTS,
    Coordinator,
    GiveAmount,
    Instant,
    Key,
    LeaseBook,
    Ledger,
    ObservedRow,
    Request,
    Reservation,
    Shortage,
    apportion,
    fair_counts,
    has_long_lease,
    order_peers,
    size_transfer,
)

START = 1_767_225_600.0
MEMBERS = {"entry-0": "dc0"}


def make_config(version=1, requests=64, tokens=640, units=64):
    usage = PlanUsage(
        "crew", (), (), timedelta(seconds=10), 1, 0, Limits(requests, tokens, units), None
    )
    return Config(version, {"depot": Holding("depot", "crew", "")}, {"crew": usage}, {}, {})


def at(seconds):
    return Instant(START + seconds, seconds)


def write_all(leases, rows, seconds, *, draining=False, longest_use=0.0):
    """Apply all planned writes of ``leases`` to ``rows`` at one instant."""
    now = at(seconds)
    leases.observe_rows(list(rows.values()), now.wall, now, now)
    members = leases.members(now, {})
    while writes := leases.plan_writes(now, members, draining=draining, longest_use=longest_use):
        for write in writes:
            version = write.expect + 1
            rows[write.slot] = ObservedRow(write.slot, version, write.row, now.wall)
            leases.observe_written(write, version, now.wall, now, now)


@pytest.fixture
def rows():
    return {}


@pytest.fixture
def leases(rows):
    """Return the leases of a daemon that acquired all slots at second 0."""
    book = LeaseBook("entry-0", "dc0", 1)
    write_all(book, rows, 0)
    assert len(book.held) == SLOTS
    return book


@pytest.fixture
def ledger(leases):
    return Ledger(leases, make_config())


@pytest.mark.parametrize("limit", [0, 1, 3, 63, 64, 65, 1000, 10**9])
def test_shares_sum_to_the_limit_and_do_not_decrease_when_it_increases(limit):
    for customer in ("depot", "clerks", "crew-7"):
        shares = [apportion(limit, slot, customer) for slot in range(SLOTS)]
        assert sum(shares) == limit
        raised = [apportion(limit + 1, slot, customer) for slot in range(SLOTS)]
        assert all(after >= before for before, after in zip(shares, raised, strict=True))


def test_fair_counts_are_even_among_data_centres():
    members = {f"entry-{n}": f"dc{n % 4}" for n in range(7)}
    counts = fair_counts(40, members)
    by_centre = [sum(c for vm, c in counts.items() if members[vm] == f"dc{n}") for n in range(4)]
    assert by_centre == [10, 10, 10, 10]
    assert sum(has_long_lease(slot) for slot in range(SLOTS)) == 24


def test_paused_holder_opens_no_window_after_its_lease(leases):
    short = [slot for slot in range(SLOTS) if not has_long_lease(slot)]
    assert set(short) <= set(leases.open_slots(int(START)))
    assert not set(short) & set(leases.open_slots(int(START) + 60))


def test_new_holder_opens_only_windows_after_the_previous_lease(leases, rows):
    other = LeaseBook("entry-1", "dc0", 1)
    write_all(other, rows, 62.1)
    assert other.held
    assert other.open_slots(int(START) + 60) == ()
    assert set(other.open_slots(int(START) + 120)) == other.held


def test_released_window_is_not_opened_again_and_the_next_one_is(leases, rows):
    leases.open_slots(int(START))
    write_all(leases, rows, 1, draining=True)
    assert not leases.holds_any
    other = LeaseBook("entry-1", "dc0", 1)
    write_all(other, rows, 2)
    assert other.open_slots(int(START)) == ()
    assert len(other.open_slots(int(START) + 60)) == SLOTS


def test_release_that_may_have_taken_effect_is_not_cancelled(leases):
    now = at(1)
    writes = leases.plan_writes(now, MEMBERS, draining=True, longest_use=0.0)
    for write in writes:
        leases.observe_failed(write, now)
    assert not {write.slot for write in writes} & set(leases.open_slots(int(START)))


def test_holder_does_not_rely_on_a_renewal_whose_reply_was_lost(leases, rows):
    now = at(16)
    for write in leases.plan_writes(now, MEMBERS, draining=False, longest_use=0.0):
        leases.observe_failed(write, now)
    slot = next(slot for slot in range(SLOTS) if not has_long_lease(slot))
    assert slot not in leases.open_slots(int(START) + 60)
    rows[slot] = rows[slot]._replace(version=2, written_at=START + 16)
    leases.observe_rows(list(rows.values()), START + 17, at(17), at(17))
    assert slot in leases.open_slots(int(START) + 60)
    other = LeaseBook("entry-1", "dc0", 1)
    write_all(other, rows, 70)
    assert slot not in other.held


def test_new_incarnation_waits_for_the_lease_of_the_previous_one(rows, leases):
    restarted = LeaseBook("entry-0", "dc0", 2)
    write_all(restarted, rows, 30)
    assert not restarted.holds_any
    write_all(restarted, rows, 63)
    assert len(restarted.held) == 40


def test_unit_is_used_only_if_the_lease_covers_the_deadline(ledger):
    assert isinstance(ledger.reserve(Request("a", "depot", 0, 50.0), at(1)), Reservation)
    slots = ledger.leases.unit_slots(at(1), 58.0)
    assert slots and all(has_long_lease(slot) for slot in slots)
    wall_jumped = Instant(START + 100, 1)
    assert all(has_long_lease(slot) for slot in ledger.leases.unit_slots(wall_jumped, 1.0))


def test_released_units_are_available_to_others_after_the_last_use(leases, rows):
    write_all(leases, rows, 1, draining=True, longest_use=30.0)
    other = LeaseBook("entry-1", "dc0", 1)
    write_all(other, rows, 2)
    assert other.unit_slots(at(20), 1.0) == ()
    assert len(other.unit_slots(at(34), 1.0)) == SLOTS


def test_all_resources_are_drawn_or_none(leases):
    ledger = Ledger(leases, make_config(requests=10, tokens=100, units=64))
    assert isinstance(ledger.reserve(Request("a", "depot", 90, 5.0), at(1)), Reservation)
    short = ledger.reserve(Request("b", "depot", 20, 5.0), at(1))
    assert isinstance(short, Shortage)
    assert [(draw.key.resource, draw.amount) for draw in short.draws] == [("tokens", 10)]
    assert ledger.balances.open(Key("depot", "requests", int(START)), 10, START + 1) == 9
    assert ledger.units.longest_remaining(at(1)) == 7.0


def test_draw_near_a_boundary_is_charged_to_both_windows(ledger):
    result = ledger.reserve(Request("a", "depot", 0, 5.0), at(59.9))
    windows = {draw.key.window - int(START) for draw in result.draws}
    assert windows == {0, 60}


def test_lowered_limit_blocks_new_draws_and_a_raised_one_admits_them(leases):
    ledger = Ledger(leases, make_config(requests=10))
    for n in range(8):
        assert isinstance(ledger.reserve(Request(f"r{n}", "depot", 0, 1.0), at(1)), Reservation)
    ledger.cfg = make_config(2, requests=5)
    assert isinstance(ledger.reserve(Request("s", "depot", 0, 1.0), at(1)), Shortage)
    ledger.cfg = make_config(3, requests=9)
    assert isinstance(ledger.reserve(Request("t", "depot", 0, 1.0), at(1)), Reservation)
    assert isinstance(ledger.reserve(Request("u", "depot", 0, 1.0), at(1)), Shortage)


def test_lowered_limit_holds_in_the_window_after_the_change(leases):
    """A peer that receives the new configuration late transfers by the older limit.

    This is allowed until the window of the change ends, and not in later windows.
    """
    sender = Ledger(leases, make_config(version=1, requests=6400))
    receiver = Ledger(LeaseBook("entry-1", "dc0", 1), make_config(version=2, requests=5))
    key = Key("depot", "requests", int(START))
    amount = sender.give(key, 1, 1, at(1))
    assert receiver.credit(key, "t1", amount, at(1))
    assert 5 < receiver.balances.open(key, 5, at(1).wall) <= 6400
    sender.cfg = make_config(version=2, requests=5)
    following = key._replace(window=key.window + 60)
    remainder = sender.give(following, 1000, 1, at(60))
    assert receiver.credit(following, "t2", remainder, at(60))
    assert receiver.balances.open(following, 5, at(60).wall) <= 5
    assert sender.balances.open(following, 5, at(60).wall) == 0


def test_settlement_after_the_window_returns_nothing(ledger):
    first = ledger.reserve(Request("a", "depot", 100, 90.0), at(1))
    assert [draw.amount for draw in ledger.settle(first, 30, at(30))] == [70]
    second = ledger.reserve(Request("b", "depot", 100, 90.0), at(31))
    assert ledger.settle(second, 30, at(61)) == ()


def test_transfer_is_credited_once_and_never_after_the_window(leases):
    coordinator = Coordinator(leases, make_config())
    balances = coordinator.ledger.balances
    key = Key("depot", "requests", int(START))
    for _ in range(2):
        coordinator.receive("entry-1", GiveAmount("t1", key, 5), at(1))
    assert balances.open(key, 64, START + 1) == 69
    balances.close_expired(START + 181)
    coordinator.receive("entry-1", GiveAmount("t1", key, 5), at(181))
    assert balances.open(key, 64, START + 181) == 0


def test_transfer_size_and_order_of_peers():
    assert [size_transfer(*args) for args in ((100, 3, 6), (2, 3, 6), (0, 1, 6), (-4, 1, 6))] == [
        8,
        2,
        0,
        0,
    ]
    peers = {"a": "dc1", "b": "dc0", "c": "dc1", "d": "dc0"}
    assert order_peers(peers, "dc0", 1, ["c"]) == ["d", "b", "a"]
