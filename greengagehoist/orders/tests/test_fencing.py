"""Guards against an order of a former lease holder that takes effect after one of a newer holder."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from greengagehoist.orders import (
    LEASE_TTL_S,
    MAX_SEND_S,
    DesiredState,
    EngineReport,
    LeaseRow,
    OrderLease,
    SetRole,
    Write,
    choose_orders,
    covers_send,
    decide_lease,
)
from greengagehoist.standins._profiles import property_settings

ISSUERS = ("vm0", "vm1")
ROLES = ("prefill", "decode", "both")
issuers = st.sampled_from(ISSUERS)
roles = st.sampled_from(ROLES)


class Engine:
    """An engine with one role that records the term of the lease behind each applied order."""

    def __init__(self, checks_fence):
        self.checks_fence = checks_fence
        self.role, self.fence, self.applied = "", 0, []

    def apply(self, order, fence, term):
        if self.checks_fence and fence < self.fence:
            return
        self.fence = max(self.fence, fence)
        self.role = order.role
        self.applied.append(term)

    def report(self):
        return EngineReport((), (), self.role, 1, self.fence, self.checks_fence)


class FencingMachine(RuleBasedStateMachine):
    """Models daemons that pause anywhere, lost answers, differing clocks and two kinds of engine.

    ``all_on_time`` is True as long as every order was delivered within ``MAX_SEND_S``.
    """

    @initialize()
    def start(self):
        self.now = 1000.0
        self.row = None
        self.leases = {}
        self.term = 0
        self.terms = {}
        self.pending_write = {}
        self.desired = "both"
        self.views = dict.fromkeys(ISSUERS, "both")
        self.engines = (Engine(True), Engine(False))
        self.in_flight = []
        self.all_on_time = True

    def offset(self, issuer):
        return 0.2 * ISSUERS.index(issuer)

    def clocks(self, issuer):
        return self.now + 5000.0 * ISSUERS.index(issuer), self.now + self.offset(issuer)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, LEASE_TTL_S, LEASE_TTL_S + 5.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(role=roles)
    def change_desired(self, role):
        self.desired = role

    @rule(issuer=issuers)
    def learn_desired(self, issuer):
        self.views[issuer] = self.desired

    @rule(issuer=issuers)
    def begin_lease_write(self, issuer):
        decision = decide_lease(self.row, issuer, 1, self.now)
        if isinstance(decision, Write):
            self.pending_write[issuer] = (decision, self.clocks(issuer))

    @rule(issuer=issuers, answer_lost=st.booleans())
    def end_lease_write(self, issuer, answer_lost):
        if issuer not in self.pending_write:
            return
        decision, before = self.pending_write.pop(issuer)
        version = self.row.version if self.row else 0
        if version == decision.expect:
            self.term += self.row is None or self.row.holder != issuer
            self.terms[issuer] = self.term
            self.row = LeaseRow(
                issuer, 1, decision.fence, LEASE_TTL_S, decision.expect + 1, self.now
            )
            if not answer_lost:
                self.leases[issuer] = OrderLease(
                    decision.fence, decision.expect + 1, LEASE_TTL_S, *before
                )

    @rule(issuer=issuers)
    def take_over(self, issuer):
        self.now += LEASE_TTL_S + 5.0
        self.begin_lease_write(issuer)
        self.end_lease_write(issuer, False)
        self.send(issuer)

    @rule(issuer=issuers)
    def send(self, issuer):
        lease = self.leases.get(issuer)
        if lease is None or not covers_send(lease, *self.clocks(issuer)):
            return
        for engine in self.engines:
            for order in choose_orders(DesiredState(role=self.views[issuer]), engine.report()):
                sent = (self.now, engine, order, lease.fence, self.terms[issuer])
                self.in_flight.append(sent)

    @rule(data=st.data(), answer_lost=st.booleans())
    def deliver(self, data, answer_lost):
        if self.in_flight:
            index = data.draw(st.integers(0, len(self.in_flight) - 1))
            sent, engine, order, fence, term = self.in_flight[index]
            if not answer_lost:
                self.in_flight.pop(index)
            self.all_on_time &= self.now - sent <= MAX_SEND_S
            engine.apply(order, fence, term)

    def teardown(self):
        """Deliver every message, then reconcile once without faults and compare the roles."""
        if not hasattr(self, "in_flight"):
            return
        for sent, engine, order, fence, term in self.in_flight:
            self.all_on_time &= self.now - sent <= MAX_SEND_S
            engine.apply(order, fence, term)
        self.in_flight.clear()
        self.pending_write.clear()
        self.now += LEASE_TTL_S + 10.0
        self.learn_desired("vm0")
        self.begin_lease_write("vm0")
        self.end_lease_write("vm0", False)
        self.send("vm0")
        for _, engine, order, fence, term in self.in_flight:
            engine.apply(order, fence, term)
        self.in_flight.clear()
        assert [engine.role for engine in self.engines] == [self.desired, self.desired]

    @invariant()
    def at_most_one_daemon_may_send(self):
        holders = [i for i, lease in self.leases.items() if covers_send(lease, *self.clocks(i))]
        assert len(holders) <= 1, holders

    @invariant()
    def engine_that_checks_fencing_numbers_applies_orders_by_term(self):
        applied = self.engines[0].applied
        assert applied == sorted(applied)

    @invariant()
    def other_engine_applies_timely_orders_by_term(self):
        applied = self.engines[1].applied
        assert not self.all_on_time or applied == sorted(applied)


FencingMachine.TestCase.settings = property_settings(300, stateful_step_count=40)
test_fencing = FencingMachine.TestCase


def test_late_order_of_a_paused_daemon_is_rejected_or_corrected():
    checking, other = Engine(True), Engine(False)
    for engine in (checking, other):
        engine.apply(SetRole("decode"), 2, 2)
        engine.apply(SetRole("prefill"), 1, 1)
    assert (
        checking.role == "decode"
        and choose_orders(DesiredState(role="decode"), checking.report()) == ()
    )
    assert choose_orders(DesiredState(role="decode"), other.report()) == (SetRole("decode"),)
