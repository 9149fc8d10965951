"""Guards against new work on targets that are leaving, and against lost leave marks."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from greengagehoist.membership import Listing, Mark, TargetRoster, TargetState
from greengagehoist.standins._profiles import property_settings

DAEMONS = 3
TARGETS = ("t0", "t1", "t2")

daemons = st.integers(0, DAEMONS - 1)
targets = st.sampled_from(TARGETS)


class LeaveMarkMachine(RuleBasedStateMachine):
    """Several daemons, a VM list that may be stale when read, and a lossy network.

    The oracle records, for each daemon, every leaving incarnation that it was told of.
    """

    @initialize()
    def start(self):
        self.now = 0.0
        self.truth = dict.fromkeys(TARGETS, (1, False))
        self.lists = [dict(self.truth)]
        self.rosters = [TargetRoster() for _ in range(DAEMONS)]
        self.learned = [set() for _ in range(DAEMONS)]
        self.network = []
        self.reports = []
        self.highest = [dict.fromkeys(TARGETS, 0) for _ in range(DAEMONS)]

    def record_mark(self, daemon, mark, is_new):
        self.learned[daemon].add(mark)
        if is_new:
            self.network.extend((other, mark) for other in range(DAEMONS) if other != daemon)

    @rule(name=targets)
    def leave(self, name):
        incarnation, _ = self.truth[name]
        self.truth[name] = (incarnation, True)
        self.reports.append(Mark(name, incarnation))
        self.lists.append(dict(self.truth))

    @rule(name=targets)
    def restart(self, name):
        incarnation, _ = self.truth[name]
        self.truth[name] = (incarnation + 1, False)
        self.lists.append(dict(self.truth))

    @rule(name=targets)
    def remove_from_list(self, name):
        self.lists.append({other: v for other, v in self.lists[-1].items() if other != name})

    @rule(daemon=daemons, data=st.data())
    def read_list(self, daemon, data):
        listed = data.draw(st.sampled_from(self.lists))
        self.now += 0.5
        listings = [Listing(name, *state) for name, state in listed.items()]
        new = self.rosters[daemon].apply_list(listings, self.now)
        for name, (incarnation, leaving) in listed.items():
            self.highest[daemon][name] = max(self.highest[daemon][name], incarnation)
            if leaving:
                mark = Mark(name, incarnation)
                self.record_mark(daemon, mark, mark in new)

    @rule(daemon=daemons, data=st.data())
    def read_report_or_refusal(self, daemon, data):
        if self.reports:
            mark = data.draw(st.sampled_from(self.reports))
            self.record_mark(daemon, mark, self.rosters[daemon].apply_mark(mark, self.now))

    @rule(data=st.data(), repeated=st.booleans())
    def deliver(self, data, repeated):
        if self.network:
            index = data.draw(st.integers(0, len(self.network) - 1))
            daemon, mark = self.network[index] if repeated else self.network.pop(index)
            self.record_mark(daemon, mark, self.rosters[daemon].apply_mark(mark, self.now))

    @rule(data=st.data())
    def lose_message(self, data):
        if self.network:
            self.network.pop(data.draw(st.integers(0, len(self.network) - 1)))

    @rule(sender=daemons, receiver=daemons)
    def heartbeat(self, sender, receiver):
        for mark in self.rosters[sender].marks.recent(self.now):
            self.record_mark(receiver, mark, self.rosters[receiver].apply_mark(mark, self.now))

    @rule(daemon=daemons, name=targets)
    def release(self, daemon, name):
        if self.rosters[daemon].status(name) is not None:
            self.rosters[daemon].release(name, self.now)

    @invariant()
    def no_new_work_after_a_mark(self):
        for roster, learned in zip(self.rosters, self.learned, strict=True):
            for target in TARGETS:
                limit = max((m.incarnation for m in learned if m.target == target), default=0)
                for incarnation in range(limit + 1):
                    assert not roster.is_routable(target, incarnation), (target, incarnation)

    @invariant()
    def marks_never_vanish(self):
        for roster, learned in zip(self.rosters, self.learned, strict=True):
            assert all(roster.marks.covers(*mark) for mark in learned)

    @invariant()
    def only_listed_incarnations_are_routable(self):
        for roster, highest in zip(self.rosters, self.highest, strict=True):
            for target in TARGETS:
                for incarnation in range(self.truth[target][0] + 1):
                    if roster.is_routable(target, incarnation):
                        assert incarnation == highest[target]


LeaveMarkMachine.TestCase.settings = property_settings(200, stateful_step_count=40)
test_leave_marks = LeaveMarkMachine.TestCase


@pytest.fixture
def roster():
    """Return a roster with the live targets ``t`` and ``u``, both with incarnation 1."""
    result = TargetRoster()
    result.apply_list([Listing("t", 1, False), Listing("u", 1, False)], 0.0)
    return result


def test_higher_incarnation_is_routable_again(roster):
    assert roster.apply_mark(Mark("t", 1), 1.0)
    assert not roster.apply_mark(Mark("t", 1), 2.0)
    roster.apply_list([Listing("t", 1, False)], 3.0)
    assert not roster.is_routable("t", 1)
    roster.apply_list([Listing("t", 2, False)], 4.0)
    assert roster.is_routable("t", 2) and not roster.is_routable("t", 1)


def test_mark_that_arrives_before_the_target_holds(roster):
    roster.apply_mark(Mark("late", 5), 1.0)
    roster.apply_list([Listing("late", 5, False)], 2.0)
    assert not roster.is_routable("late", 5)


def test_target_missing_from_two_lists_gets_no_work_until_listed_again(roster):
    others = [Listing("u", 1, False)]
    roster.apply_list(others, 1.0)
    assert roster.is_routable("t", 1)
    roster.apply_list(others, 2.0)
    assert roster.status("t").state is TargetState.SUSPECT and not roster.is_routable("t", 1)
    roster.release("t", 3.0)
    roster.apply_list([Listing("t", 1, False)], 4.0)
    assert roster.is_routable("t", 1)


def test_empty_list_removes_nothing(roster):
    for now in (1.0, 2.0, 3.0):
        roster.apply_list([], now)
    assert roster.is_routable("t", 1) and roster.is_routable("u", 1)


def test_marks_do_not_depend_on_their_order():
    marks = [Mark(target, incarnation) for target in TARGETS for incarnation in range(4)]
    results = set()
    for seed in range(10):
        roster, shuffled = TargetRoster(), list(marks)
        random.Random(seed).shuffle(shuffled)
        for mark in shuffled:
            roster.apply_mark(mark, 0.0)
        results.add(tuple(roster.marks.covers(t, i) for t in TARGETS for i in range(6)))
    assert results == {(True, True, True, True, False, False) * len(TARGETS)}


def test_recent_marks_are_bounded_in_time_and_number():
    roster = TargetRoster()
    for index in range(100):
        roster.apply_mark(Mark(f"t{index}", 1), float(index))
    recent = roster.marks.recent(100.0)
    assert recent[0] == Mark("t99", 1) and len(recent) == 30
    assert len(roster.marks.recent(100.0, within=1000.0)) == 64


def test_targets_are_counted_by_role_and_state():
    roster = TargetRoster()
    roster.apply_list([Listing("a", 1, False), Listing("b", 1, True), Listing("c", 1, False)], 0.0)
    counts = roster.count_states({"a": "encoder", "b": "encoder", "c": "engine", "unknown": "x"})
    assert counts == {"encoder": {"live": 1, "leaving": 1}, "engine": {"live": 1}}
