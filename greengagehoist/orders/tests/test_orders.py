"""Guards against orders that are missing, redundant or unsafe to repeat."""

import pytest

from greengagehoist.orders import (
    DesiredState,
    EngineReport,
    LeaseRow,
    LoadAdapter,
    LoadModel,
    OrderLease,
    Restart,
    SetRole,
    Wait,
    Write,
    choose_orders,
    covers_send,
    decide_lease,
    is_idempotent,
)

DESIRED = DesiredState(("a", "b"), ("x",), "decode", restart_before=2)


def report(checks_fence):
    return EngineReport(("a",), (), "prefill", 1, 0, checks_fence)


def test_orders_cover_the_missing_state_and_nothing_else():
    idempotent = (LoadModel("b"), LoadAdapter("x"), SetRole("decode"))
    assert choose_orders(DESIRED, report(True)) == (Restart(), *idempotent)
    assert choose_orders(DESIRED, report(False)) == idempotent
    assert all(map(is_idempotent, idempotent))
    reached = EngineReport(("a", "b", "c"), ("x",), "decode", 2, 0, True)
    assert choose_orders(DESIRED, reached) == ()


@pytest.mark.parametrize(
    ("holder", "incarnation", "now", "expected"),
    [
        ("vm0", 1, 100.0, Write(4, 9)),
        ("vm0", 2, 100.0, Wait(34.0)),
        ("vm1", 1, 133.0, Wait(1.0)),
        ("vm1", 1, 134.0, Write(5, 9)),
    ],
)
def test_takeover_waits_for_the_lease_and_the_longest_send(holder, incarnation, now, expected):
    row = LeaseRow("vm0", 1, 4, 30.0, 9, 100.0)
    assert decide_lease(row, holder, incarnation, now) == expected


def test_first_holder_gets_the_first_fencing_number():
    assert decide_lease(None, "vm0", 1, 0.0) == Write(1, 0)


@pytest.mark.parametrize(
    ("monotonic", "wall", "covered"),
    [(26.0, 1026.0, True), (26.1, 1000.0, False), (0.0, 1026.1, False)],
)
def test_lease_expires_by_the_larger_elapsed_time(monotonic, wall, covered):
    assert covers_send(OrderLease(1, 1, 30.0, 0.0, 1000.0), monotonic, wall) is covered
