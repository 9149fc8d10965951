"""Guards against versions that are lost, applied twice, reverted or reported wrongly.

The decisions of several daemons run against a table and links that lose, delay, reorder and
duplicate messages.
"""

from typing import Any, NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from greengagehoist.config import (
    EMPTY_CONFIG,
    Absent,
    Accepted,
    CatchUp,
    Change,
    Conflict,
    Effective,
    Insert,
    Log,
    Lost,
    NeverSent,
    NotAccepted,
    Occupied,
    ReadBack,
    Snapshot,
    Undetermined,
    _versions,
    apply_changes,
    apply_snapshot,
    apply_versions,
    begin_proposal,
    digest_lists,
    next_step,
    parse_version,
    take_snapshot,
    version_to_dict,
    versions_after,
)
from greengagehoist.standins._profiles import property_settings

DAEMONS = 3
# Versions and operations that a daemon retains; few, so that the runs exceed the limit.
RETAINED = 2
LIMITS = {"requests_per_minute": 1, "tokens_per_minute": 1, "concurrency": 1}
CHANGES = tuple(
    (Change("usage", f"plan-{index}", {"deadline_ms": 1 + amount, "limits": LIMITS}),)
    for index in range(2)
    for amount in range(2)
)
daemons = st.integers(0, DAEMONS - 1)
picks = st.integers(0, 10**6)


class Attempt(NamedTuple):
    """One proposal at one daemon."""

    daemon: int
    op_id: str
    base: int
    changes: tuple[Change, ...]
    proposal: Any
    step: Any
    sent: bool = False


class ConfigMachine(RuleBasedStateMachine):
    """Model of the table, the links and the daemons; each rule is an event of the system."""

    def __init__(self):
        super().__init__()
        self.table: dict[int, dict] = {}
        self.delayed: list[tuple[int, dict]] = []
        self.pushes: list[tuple[int, int, Any]] = []
        self.logs = [Log()] * DAEMONS
        self.min_versions = [0] * DAEMONS
        self.open: list[Attempt] = []
        self.finished: list[Attempt] = []
        self.stored: list[Snapshot] = []

    # Proposals

    @rule(daemon=daemons, pick=picks, behind=st.sampled_from([0, 0, 0, 1, -1]))
    def propose(self, daemon, pick, behind):
        base = max(0, self.logs[daemon].cfg.version - behind)
        op_id = f"op-{len(self.open) + len(self.finished)}"
        self.begin(daemon, op_id, base, CHANGES[pick % len(CHANGES)])

    @precondition(lambda self: self.open or self.finished)
    @rule(daemon=daemons, pick=picks)
    def repeat(self, daemon, pick):
        attempts = self.open + self.finished
        again = attempts[pick % len(attempts)]
        self.begin(daemon, again.op_id, again.base, again.changes)

    @rule(daemon=daemons, pick=picks)
    def accept(self, daemon, pick):
        """Complete a proposal without a fault, so that versions accumulate."""
        before = len(self.open)
        self.propose(daemon, pick, 0)
        while len(self.open) > before:
            self.advance(len(self.open) - 1, "none", True)

    def begin(self, daemon, op_id, base, changes):
        log = self.logs[daemon]
        proposal, step = begin_proposal(log, op_id, f"author-{daemon}", base, changes)
        self.record_step(Attempt(daemon, op_id, base, changes, proposal, step))

    def record_step(self, attempt):
        if isinstance(attempt.step, Insert | ReadBack):
            self.open.append(attempt)
            return
        self.finished.append(attempt)
        if isinstance(attempt.step, Accepted) and attempt.step.row is not None:
            self.apply_versions(attempt.daemon, (attempt.step.row,))
            row = attempt.step.row
            for daemon in range(DAEMONS):
                self.pushes.append((daemon, row.version, version_to_dict(row)))

    @precondition(lambda self: self.open)
    @rule(
        pick=picks,
        fault=st.sampled_from(["none", "none", "answer", "request", "delay", "unsent"]),
        in_time=st.sampled_from([True, True, True, False]),
    )
    def advance(self, pick, fault, in_time):
        attempt = self.open.pop(pick % len(self.open))
        reading = isinstance(attempt.step, ReadBack)
        sent = attempt.sent or not (reading or fault == "unsent")
        answer = self.read(attempt, fault) if reading else self.insert(attempt, fault)
        proposal, step = next_step(attempt.proposal, answer, reading=reading, in_time=in_time)
        self.record_step(attempt._replace(proposal=proposal, step=step, sent=sent))

    def insert(self, attempt, fault):
        row = attempt.proposal.row
        if fault == "unsent":
            return NeverSent()
        if fault == "request":
            return Lost()
        if fault == "delay":
            self.delayed.append((row.version, version_to_dict(row)))
            return Lost()
        existed = row.version in self.table
        value = self.table.setdefault(row.version, version_to_dict(row))
        if fault == "answer":
            return Lost()
        return Occupied(parse_version(row.version, value)) if existed else Effective()

    def read(self, attempt, fault):
        if fault != "none":
            return Lost()
        version = attempt.proposal.row.version
        if version not in self.table:
            return Absent()
        return Occupied(parse_version(version, self.table[version]))

    @precondition(lambda self: self.delayed)
    @rule(pick=picks)
    def complete_delayed_insert(self, pick):
        version, value = self.delayed.pop(pick % len(self.delayed))
        self.table.setdefault(version, value)

    # Propagation

    def apply_versions(self, daemon, versions):
        self.logs[daemon] = apply_versions(self.logs[daemon], tuple(versions)).log

    @precondition(lambda self: self.pushes)
    @rule(pick=picks, repeated=st.booleans())
    def deliver(self, pick, repeated):
        index = pick % len(self.pushes)
        daemon, version, value = self.pushes[index]
        if not repeated:
            del self.pushes[index]
        if isinstance(value, Snapshot):
            self.logs[daemon] = apply_snapshot(self.logs[daemon], value).log
        else:
            self.apply_versions(daemon, (parse_version(version, value),))

    @precondition(lambda self: self.table)
    @rule(daemon=daemons, pick=picks)
    def deliver_altered(self, daemon, pick):
        version = 1 + pick % len(self.table)
        value = {**self.table[version], "changes": [["settings", "attainment_weight", 0.25]]}
        self.apply_versions(daemon, (parse_version(version, value),))

    @rule(daemon=daemons, peer=daemons)
    def request_versions(self, daemon, peer):
        self.send_versions(daemon, self.logs[daemon].cfg.version, peer)

    def send_versions(self, daemon, after, peer):
        versions = versions_after(self.logs[peer], after)
        if versions is None:
            snapshot = take_snapshot(self.logs[peer])
            self.pushes.append((daemon, snapshot.version, snapshot))
        for item in versions or ():
            self.pushes.append((daemon, item.version, version_to_dict(item)))

    @rule(daemon=daemons)
    def poll(self, daemon):
        after = self.logs[daemon].cfg.version
        rows = [parse_version(v, self.table[v]) for v in sorted(self.table) if v > after]
        self.apply_versions(daemon, rows)

    @rule(daemon=daemons, peer=daemons, from_peer=st.booleans())
    def restart(self, daemon, peer, from_peer):
        snapshot = take_snapshot(self.logs[peer])
        self.logs[daemon] = Log()
        self.min_versions[daemon] = 0
        if from_peer and snapshot.version:
            self.logs[daemon] = apply_snapshot(Log(), snapshot).log

    @rule(daemon=daemons)
    def store_snapshot(self, daemon):
        """Store a snapshot, which a daemon that is behind may overwrite with an older one."""
        snapshot = take_snapshot(self.logs[daemon])
        if snapshot.version:
            self.stored.append(snapshot)

    @precondition(lambda self: self.stored)
    @rule(daemon=daemons, pick=picks)
    def load_snapshot(self, daemon, pick):
        """Apply a snapshot that was read from the object store at any earlier time."""
        snapshot = self.stored[pick % len(self.stored)]
        self.logs[daemon] = apply_snapshot(self.logs[daemon], snapshot).log

    # Oracle

    @invariant()
    def daemons_match_the_table(self):
        oracle = {0: EMPTY_CONFIG}
        for version in range(1, len(self.table) + 1):
            row = parse_version(version, self.table[version])
            oracle[version] = apply_changes(oracle[version - 1], version, row.changes)
        for index, log in enumerate(self.logs):
            assert log.cfg.version >= self.min_versions[index]
            self.min_versions[index] = log.cfg.version
            assert log.cfg == oracle[log.cfg.version]
            assert log.cfg.digest == digest_lists(log.cfg)
            assert all(item.version > log.cfg.version for item in log.pending)

    @invariant()
    def operations_are_accepted_once(self):
        ids = [row["op_id"] for row in self.table.values()]
        assert len(ids) == len(set(ids))

    @invariant()
    def reported_outcomes_are_true(self):
        made = {row["op_id"]: version for version, row in self.table.items()}
        for attempt in self.finished:
            match attempt.step:
                case Accepted(version):
                    assert made[attempt.op_id] == version
                case Conflict(others=others):
                    assert attempt.op_id not in made
                    assert all(made[item.op_id] == item.version for item in others)
                case NotAccepted():
                    assert not attempt.sent
                case Undetermined() | CatchUp():
                    pass
                case other:
                    raise AssertionError(other)

    def teardown(self):
        """Check that daemons converge through peers alone, then through the table."""
        before, highest = -1, max(log.cfg.version for log in self.logs)
        # A daemon with pending versions may advance beyond the source and become the next source.
        while before < highest:
            before = highest
            source = max(range(DAEMONS), key=lambda index: self.logs[index].cfg.version)
            self.pushes = []
            for daemon in range(DAEMONS):
                self.send_versions(daemon, self.logs[daemon].cfg.version, source)
            while self.pushes:
                self.deliver(len(self.pushes) - 1, False)
            highest = max(log.cfg.version for log in self.logs)
        assert {log.cfg.version for log in self.logs} == {highest}
        while self.delayed:
            self.complete_delayed_insert(0)
        for daemon in range(DAEMONS):
            self.poll(daemon)
        self.daemons_match_the_table()
        self.operations_are_accepted_once()
        self.reported_outcomes_are_true()
        assert {log.cfg.version for log in self.logs} == {len(self.table)}


def test_convergence(monkeypatch):
    monkeypatch.setattr(_versions, "RECENT_VERSIONS", RETAINED)
    monkeypatch.setattr(_versions, "RECENT_OPERATIONS", RETAINED)
    run_state_machine_as_test(
        ConfigMachine, settings=property_settings(200, stateful_step_count=40)
    )
